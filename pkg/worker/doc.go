// Package worker is the client of the workers. It is the only package that depends on their protocol
// (api/worker.yaml).
//
// A command to a worker carries the shard, its epoch, a sequence number and a time after which the
// worker must refuse it. That time is on the worker's own clock. Each status contains a reading of that
// clock, and the client adds the time from the arrival of the status to the end of the sender's
// authority. So a worker never carries out a command after the authority of its sender has ended, and
// the clocks need not be synchronized.
//
// A clock belongs to one incarnation of a worker, that is, to one start of its process. A command names the
// incarnation whose clock it uses, and any other refuses it: the next incarnation has forgotten epochs and
// sequence numbers, and by its clock the deadline may be far in the future.
//
// # Usage
//
//	c := worker.New(dialer, clock.System())
//	status, err := c.Status(ctx, address)
//	status, err = c.Command(ctx, address, worker.Commands{
//		Shard: shard, Epoch: 4, ValidUntil: grantExpiry, LastStatus: status,
//		Start: []worker.Task{{ID: "fit-17", …}},
//	})
//	errors.Is(err, worker.ErrStale)       // the worker has seen a higher epoch, or the command came too late
//	errors.Is(err, worker.ErrRestarted)   // also ErrStale: the command was for an earlier incarnation
//	errors.Is(err, worker.ErrAnswerLost)  // the command may have been carried out
package worker
