package taskset

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Interval is the numbers from From to To - 1.
type Interval struct {
	From, To int64
}

// Len returns how many numbers the interval has.
func (i Interval) Len() int64 {
	return i.To - i.From
}

// MarshalJSON encodes an interval as [from, to].
func (i Interval) MarshalJSON() ([]byte, error) {
	return json.Marshal([2]int64{i.From, i.To})
}

// UnmarshalJSON decodes what MarshalJSON returned.
func (i *Interval) UnmarshalJSON(text []byte) error {
	var bounds [2]int64
	if err := json.Unmarshal(text, &bounds); err != nil {
		return err
	}
	if bounds[0] < 0 || bounds[0] >= bounds[1] {
		return errors.Newf("interval [%d, %d]: want 0 <= from < to", bounds[0], bounds[1])
	}
	i.From, i.To = bounds[0], bounds[1]
	return nil
}

// intervals are disjoint intervals, none of which begins where another ends, sorted.
type intervals []Interval

// search returns the index of the first interval that ends after n.
func (l intervals) search(n int64) int {
	at, _ := slices.BinarySearchFunc(l, n, func(i Interval, n int64) int {
		if i.To <= n {
			return -1
		}
		return 1
	})
	return at
}

// nextAbsent returns the least number from n on that is in no interval.
func (l intervals) nextAbsent(n int64) int64 {
	if at := l.search(n); at < len(l) && l[at].From <= n {
		return l[at].To
	}
	return n
}

// add returns the intervals with those numbers of x that they did not have, too.
func (l intervals) add(x Interval) intervals {
	first, _ := slices.BinarySearchFunc(l, x.From, func(i Interval, n int64) int {
		if i.To < n {
			return -1
		}
		return 1
	})
	last := first
	for last < len(l) && l[last].From <= x.To {
		x.From, x.To = min(x.From, l[last].From), max(x.To, l[last].To)
		last++
	}
	return slices.Replace(l, first, last, x)
}
