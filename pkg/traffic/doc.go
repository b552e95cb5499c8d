// Package traffic counts the bytes of a process's connections, by what they are for.
//
// A Meter has two counters in a registry of figures, "bytes.NAME.sent" and "bytes.NAME.received". They count what is written to and read from
// the connections, with the heads of messages and without those of the network. So an operator sees what fills a host's link.
//
// # Usage
//
//	m := traffic.New("store", registry)
//	conn = m.Conn(conn)             // counts what goes over it
//	listener = m.Listener(listener) // counts what goes over the connections that it accepts
//
// A nil Meter counts nothing.
package traffic
