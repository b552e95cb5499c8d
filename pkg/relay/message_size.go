package relay

import (
	"cmp"
	"iter"
	"slices"

	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
)

const (
	// maxMessageBytes is the size from which a message gets no further items, and at most which an item has.
	// A stream ends at a message of 4 MiB, and the same orders or reports would follow on the next stream.
	maxMessageBytes = 1 << 20
	// maxFixedBytes is the size of an item or a row of it without the texts in it, and more.
	maxFixedBytes = 128
)

// chunks iterates over consecutive parts of items, each with at most maxMessageBytes unless it has only one
// item. bytes returns the size of an item that follows others in its part.
func chunks[T any](items []T, bytes func(part []T, item T) int) iter.Seq[[]T] {
	return func(yield func([]T) bool) {
		first, size := 0, 0
		for i, item := range items {
			n := bytes(items[first:i], item)
			if i > first && size+n > maxMessageBytes {
				if !yield(items[first:i]) {
					return
				}
				first, size = i, 0
				n = bytes(nil, item)
			}
			size += n
		}
		if first < len(items) {
			yield(items[first:])
		}
	}
}

// orderBytes returns the most that an order adds to a message of others, whose specs it shares.
func orderBytes(part []*poolpb.Order, o *poolpb.Order) int {
	n := maxFixedBytes + len(o.Worker) + len(o.Task) + len(o.Checkpoint) + len(o.Ticket)
	if len(part) == 0 || part[len(part)-1].Spec != o.Spec {
		n += len(o.Spec)
	}
	return n
}

// resultBytes returns the largest size of a result.
func resultBytes(r *poolpb.Result) int {
	n := maxFixedBytes
	for _, a := range r.Active {
		n += maxFixedBytes + len(a.Task) + len(a.Checkpoint)
	}
	for _, f := range r.Finished {
		n += maxFixedBytes + len(f.Task) + len(f.Checkpoint)
	}
	return n
}

// omitLargeCheckpoints removes the largest checkpoints from a result that is larger than a message may be. Their
// tasks start from an earlier one. It returns the size that the result had, or 0 if it was not too large.
func omitLargeCheckpoints(r *poolpb.Result) (tooLarge int) {
	size := resultBytes(r)
	if size <= maxMessageBytes {
		return 0
	}
	var checkpoints []*string
	for _, a := range r.Active {
		checkpoints = append(checkpoints, &a.Checkpoint)
	}
	for _, f := range r.Finished {
		checkpoints = append(checkpoints, &f.Checkpoint)
	}
	slices.SortFunc(checkpoints, func(a, b *string) int { return cmp.Compare(len(*b), len(*a)) })
	left := size
	for _, c := range checkpoints {
		if left <= maxMessageBytes {
			break
		}
		left -= len(*c)
		*c = ""
	}
	return size
}
