package poolowner

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
)

const (
	// membersJoinTime is how long the members may take to join a new owner. A host that joins later takes
	// over only if it was cut off.
	membersJoinTime = 10 * time.Second
	// oldMemberTime is how long a host of a build that reads no segments counts after it has joined or was
	// last a member: it may be cut off, and become the owner.
	oldMemberTime = time.Minute
)

// segmentReaders tracks which hosts can read segments of progress (job.SegmentIndex). Hosts of an earlier
// build can't, and may become the owner during a rolling update.
type segmentReaders struct {
	createdAt clock.Time
	// oldMembers are the hosts that can't, by name, with the time at which each was last a member.
	oldMembers map[string]clock.Time
}

func newSegmentReaders(now clock.Time) segmentReaders {
	return segmentReaders{createdAt: now, oldMembers: map[string]clock.Time{}}
}

// recordMember records that a host is a member.
func (r *segmentReaders) recordMember(name string, readsSegments bool, now clock.Time) {
	if readsSegments {
		delete(r.oldMembers, name)
		return
	}
	r.oldMembers[name] = now
}

// support returns what is known of the hosts, of which isMember says whether they are members now.
func (r *segmentReaders) support(isMember func(name string) bool, now clock.Time) dispatch.SegmentSupport {
	for name, at := range r.oldMembers {
		switch {
		case isMember(name):
			r.oldMembers[name] = now
		case now.Sub(at) > oldMemberTime:
			delete(r.oldMembers, name)
		}
	}
	switch {
	case len(r.oldMembers) > 0:
		return dispatch.SegmentsUnsupported
	case now.Sub(r.createdAt) < membersJoinTime:
		return dispatch.SegmentsUnknown
	}
	return dispatch.SegmentsSupported
}
