// Package poolrpc connects the owner of a pool with the other entry hosts, over drpc.
//
// Each host that is not the owner keeps one stream to it (Member). Over the stream it tells
// of jobs that it has accepted, asks for the state of jobs, and carries out calls for advice
// that the owner hands out. Both sides send heartbeats; a side that hears nothing for
// SilenceLimit gives the stream up.
//
// # Usage
//
//	m := poolrpc.NewMember(handlers, clk)
//	go m.Run(ctx, conn)         // until the stream ends
//	answer, err := m.Ask(ctx, &poolpb.Question{Job: id})
//
//	err := poolrpc.Serve(ctx, listener, join) // on every host; join takes a Session
package poolrpc
