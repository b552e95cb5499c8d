// Package worker is the client of the workers. It is the only package that knows their
// wire (api/worker.yaml).
//
// A command to a worker carries the shard, its epoch, a sequence number and a time after
// which the worker must refuse it. That time is on the worker's own clock: each status
// tells the worker's clock, and the client reckons from the moment the status arrived,
// so that the command never counts as valid after the authority of its sender has ended,
// and no two clocks need to agree.
//
// # Usage
//
//	c := worker.New(dialer)
//	status, err := c.Status(ctx, address)
//	status, err = c.Command(ctx, address, worker.Commands{
//		Shard: shard, Epoch: 4, ValidUntil: grantEnd, Known: status,
//		Start: []worker.Task{{ID: "fit-17", …}},
//	})
//	errors.Is(err, worker.ErrStale)  // a higher epoch is known there, or it came too late
//	errors.Is(err, worker.ErrLost)   // it may have been carried out
package worker
