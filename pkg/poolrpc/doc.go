// Package poolrpc connects the owner of a pool with the other entry hosts, over drpc.
//
// Each host that is not the owner keeps one stream to the owner (Member). Over it the host reports the
// jobs that it has accepted, asks for the state of jobs, and makes the advice calls and worker calls that
// the owner requests. Both sides send heartbeats. A side that has received nothing for silenceLimit gives
// up the stream.
//
// # Usage
//
// On a host that is not the owner:
//
//	m := poolrpc.NewMember(handlers, clk)
//	go m.Run(ctx, conn) // until the stream ends
//	answer, err := m.Ask(ctx, &poolpb.Question{Job: id})
//
// On every host, since each may become the owner:
//
//	err := poolrpc.Serve(ctx, listener, owner, clk) // owner returns the OwnerHandlers
package poolrpc
