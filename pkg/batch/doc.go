// Package batch keeps the batch requests of one shard. RequestTable holds the state of the requests in
// the shard's owner, Journal writes the changes that must not be lost into the platform's store, and
// SegmentIndex finds the stored segments that are no longer needed.
//
// A request is acknowledged only after the segment with its submission is stored. Segments are written
// by group commit: the entries that arrive during a write go into the next segment, and a fixed interval
// passes between two writes, so that all shards of a cell together stay within the store's write rate.
// There are three kinds of entries: the submission of a request; for a request that is not repeatable, the
// intention to start it, written before the start; and the end of a request with its result. Placements
// of repeatable requests are not written, since the workers report to a new owner what runs.
//
// A new owner treats a request that has not ended and that no worker reports as follows. A repeatable
// request is run again, as its previous run is certainly over. A request that is not repeatable is run if
// no intention to start it was written; otherwise its outcome is unknown.
//
// A segment is removed when all its requests ended long enough ago. A segment with the end of a request is
// removed after the segments with its submission or its start: otherwise the request would seem
// unfinished and would be run again.
//
// # Usage
//
//	requests := batch.NewRequestTable()
//	segments, err := batch.Load(ctx, store, shard)
//	for _, s := range segments {
//		for _, e := range s.Entries {
//			requests.Apply(e)
//		}
//	}
//	j := batch.NewJournal(shard, interval, deps)
//	go j.Run(ctx)
//	err = j.Append(ctx, batch.Entry{Submitted: &request})
package batch
