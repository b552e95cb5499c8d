// Package batch keeps the batch requests of one shard: Book is what the owner knows of
// them, Journal writes what must not be lost into the platform store.
//
// A request is acknowledged when the segment with its submission is stored, and not
// before. Segments are written by group commit: whatever comes in while one is written
// goes into the next, and Interval lies between two writes, so that all shards of a cell
// together stay within the store's rate. Three kinds of entry are written: a submission;
// for a request that is not repeatable the intention to start it, before it is started;
// and its end with the result. No placement of a repeatable request is written: a new
// owner learns from the workers what runs.
//
// What a new owner concludes of a request that is neither ended nor known to any worker:
// a repeatable one runs (again, its former run being certainly over), one that is not
// repeatable runs if no intention was written, and is of unknown outcome otherwise.
//
// A segment is removed when all its requests ended long enough ago; one that tells the end
// of a request goes after those that tell of its submission.
//
// # Usage
//
//	book := batch.NewBook()
//	segments, err := batch.Load(ctx, store, shard)
//	for _, s := range segments {
//		for _, e := range s.Entries {
//			book.Apply(e)
//		}
//	}
//	j := batch.NewJournal(shard, interval, deps)
//	go j.Run(ctx)
//	err = j.Append(ctx, batch.Entry{Submitted: &request})
package batch
