// Package dialer opens TCP connections by IP address for all clients of foldarch.
//
// It has one duty besides dialling: a table of routes, for hosts behind address
// translation. A connection to the left side of a route goes to its right side.
//
// # Usage
//
//	d := dialer.New(routes, 500*time.Millisecond, bytes)
//	client := &http.Client{Transport: d.Transport(64)}
//
// NotSent tells whether a failed HTTP exchange is known not to have reached the server,
// which decides between "not run" and "outcome unknown".
package dialer
