// Package replay applies the events of a trace to the packages routing, placement and keys, without network
// or clock, and writes one line for each decision. The same trace gives the same lines on every run, byte for
// byte, so that a trace with its expected lines is a regression test.
//
// A trace has one JSON object on each line, with a time in milliseconds and one event:
//
//	{"at":0,"put_service":{"name":"scoring","queue":2}}
//	{"at":0,"put_endpoint":{"service":"scoring","id":"e0","slots":1}}
//	{"at":5,"arrive":{"id":"r1","service":"scoring","caller":"kbo","deadline":500}}
//	{"at":9,"release":{"id":"r1","outcome":"served","took":4}}
//
// gives
//
//	at=5 request=r1 decision=send endpoint=e0
//
// # Usage
//
//	err := replay.Run(os.Stdin, os.Stdout)
package replay
