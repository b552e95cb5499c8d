// Package traffic counts the bytes sent and received on a process's connections, by purpose. Operators use
// the counters to find out what uses the bandwidth of a host's link.
//
// A Meter has two counters in a metrics registry, "bytes.NAME.sent" and "bytes.NAME.received". They count
// the bytes written to and read from the connections. These include application protocol headers, but not
// those of TCP, IP and the link layer.
//
// # Usage
//
//	m := traffic.New("store", registry)
//	conn = m.Conn(conn)             // counts the bytes of the connection
//	listener = m.Listener(listener) // counts the bytes of all accepted connections
//
//	s := traffic.NewSampler(registry, now)
//	s.Sample(now).Sent["store"] // kilobits per second since the sample before
//
// A nil Meter counts nothing.
package traffic
