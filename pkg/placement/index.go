package placement

const (
	bucketWidthMillis = 500 // free CPU millis that one bucket spans
	bucketCount       = 130 // up to 64.5 processors free; workers with more share the last bucket
)

// index holds the workers in buckets by free processors, so that the search for a worker
// can begin where a task just fits (pack) or where the most processors are free (spread).
type index struct {
	buckets [bucketCount][]*worker
}

func bucketOf(freeMillis int64) int {
	return int(min(max(freeMillis, 0)/bucketWidthMillis, bucketCount-1))
}

func (x *index) add(w *worker) {
	w.bucket = bucketOf(w.free().CPUMillis)
	w.position = len(x.buckets[w.bucket])
	x.buckets[w.bucket] = append(x.buckets[w.bucket], w)
}

func (x *index) remove(w *worker) {
	b := x.buckets[w.bucket]
	last := b[len(b)-1]
	b[w.position] = last
	last.position = w.position
	x.buckets[w.bucket] = b[:len(b)-1]
}

// update moves a worker to another bucket if a change of its free processors requires it.
func (x *index) update(w *worker) {
	if bucketOf(w.free().CPUMillis) != w.bucket {
		x.remove(w)
		x.add(w)
	}
}
