package placement

// The index keeps workers in buckets by free processors, so that the search for a task
// begins where it just fits (pack) or where most is free (spread).

const (
	bucketMillis = 500
	nBuckets     = 130 // up to 64 processors free; more share the last bucket
)

type index struct {
	buckets [nBuckets][]*worker
}

func bucketOf(freeMillis int64) int {
	return int(min(max(freeMillis, 0)/bucketMillis, nBuckets-1))
}

func (x *index) add(w *worker) {
	w.bucket = bucketOf(w.free().CPUMillis)
	w.at = len(x.buckets[w.bucket])
	x.buckets[w.bucket] = append(x.buckets[w.bucket], w)
}

func (x *index) remove(w *worker) {
	b := x.buckets[w.bucket]
	last := b[len(b)-1]
	b[w.at] = last
	last.at = w.at
	x.buckets[w.bucket] = b[:len(b)-1]
}

// update moves a worker after its free processors have changed.
func (x *index) update(w *worker) {
	if bucketOf(w.free().CPUMillis) != w.bucket {
		x.remove(w)
		x.add(w)
	}
}
