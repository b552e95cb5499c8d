// Package dialer opens TCP connections to IP addresses for all clients in foldarch.
//
// A dialer has a table of routes for hosts behind network address translation. A route maps the address of
// a server to the address to which its connections are opened instead.
//
// # Usage
//
//	d := dialer.New(routes, 500*time.Millisecond, bytes)
//	client := &http.Client{Transport: d.Transport(64)}
//
// NotSent reports whether a failed HTTP request certainly did not reach the server. Callers use it to
// distinguish requests that were not run from those with an unknown outcome.
package dialer
