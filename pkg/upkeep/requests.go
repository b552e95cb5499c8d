package upkeep

import (
	"maps"
	"slices"
)

// Requests holds the waves that the operator requests, as far as this process knows. A process may read
// requests in several ways at once, such as by a watch and by lists, so changes can arrive out of order.
// Requests orders them by the store's revisions and ignores outdated ones. It is not safe for concurrent use.
type Requests struct {
	byNumber map[int64]request
}

// request is the latest known state of a wave's key.
type request struct {
	wave      Wave
	revision  int64 // the store's revision at which the key had this state
	withdrawn bool
}

// NewRequests returns a Requests without waves.
func NewRequests() *Requests {
	return &Requests{byNumber: map[int64]request{}}
}

// Put records a wave as it was written at its revision. It reports whether this is news.
func (r *Requests) Put(w Wave) (changed bool) {
	return r.apply(w.Number, request{wave: w, revision: w.Revision})
}

// Withdraw records that a wave's key was deleted at a revision. It reports whether this is news.
func (r *Requests) Withdraw(number, revision int64) (changed bool) {
	return r.apply(number, request{revision: revision, withdrawn: true})
}

// WithdrawOthers records that only the waves with the given numbers existed at a revision. It returns the
// numbers of those that this withdraws.
func (r *Requests) WithdrawOthers(numbers map[int64]bool, at int64) (withdrawn []int64) {
	for _, number := range slices.Sorted(maps.Keys(r.byNumber)) {
		if !numbers[number] && !r.byNumber[number].withdrawn && r.Withdraw(number, at) {
			withdrawn = append(withdrawn, number)
		}
	}
	return withdrawn
}

// Waves returns the requested waves, by number.
func (r *Requests) Waves() []Wave {
	var out []Wave
	for _, number := range slices.Sorted(maps.Keys(r.byNumber)) {
		if x := r.byNumber[number]; !x.withdrawn {
			out = append(out, x.wave)
		}
	}
	return out
}

func (r *Requests) apply(number int64, x request) (changed bool) {
	if old, known := r.byNumber[number]; known && old.revision >= x.revision {
		return false
	}
	r.byNumber[number] = x
	return true
}
