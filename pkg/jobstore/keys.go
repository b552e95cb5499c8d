package jobstore

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"

	"foldarch.dev/foldarch/pkg/job"
	"github.com/cockroachdb/errors"
)

// The keys and the prefixes that are listed or watched.
const (
	JobsPrefix     = "foldarch/jobs/"
	ProgressPrefix = "foldarch/progress/"
	OwnerPrefix    = "foldarch/owner/"
	OwnerRecordKey = OwnerPrefix + "holder"
	OwnerLeaseKey  = OwnerPrefix + "alive"
	SoleOwnerKey   = OwnerPrefix + "sole"
	RosterPrefix   = "foldarch/roster/"

	cancelSuffix = "/cancel"
	commitPrefix = "foldarch/commit/"
)

// MaxParallelCommits is how many independent sequences of commits an owner may have. The transaction that
// makes another host the owner replaces the commit keys of all of them, so that further commits of the
// previous owner fail.
const MaxParallelCommits = 6

// maxQuotedBytes is how much of an invalid value an error quotes at most.
const maxQuotedBytes = 40

// CommitKey returns the key that each commit of a sequence replaces.
func CommitKey(n int) string {
	return commitPrefix + strconv.Itoa(n)
}

// JobKey returns the key of a job's record.
func JobKey(id job.ID) string {
	return JobsPrefix + string(id)
}

// CancelKey returns the key that exists if a job was cancelled.
func CancelKey(id job.ID) string {
	return JobKey(id) + cancelSuffix
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(id job.ID) string {
	return ProgressPrefix + string(id)
}

// SegmentKey returns the key of a segment of a job's progress.
func SegmentKey(id job.ID, segment int64) string {
	return ProgressKey(id) + "/" + strconv.FormatInt(segment, 10)
}

// ParseProgressKey returns the job of a key under ProgressPrefix. If the key is that of a segment, it returns
// its number, and otherwise -1.
func ParseProgressKey(key string) (id job.ID, segment int64, err error) {
	name, number, isSegment := strings.Cut(strings.TrimPrefix(key, ProgressPrefix), "/")
	if !isSegment {
		return job.ID(name), -1, nil
	}
	segment, err = strconv.ParseInt(number, 10, 64)
	if err != nil || segment < 0 || segment >= job.MaxSegments {
		return job.ID(name), -1, errors.Newf("key %s: %q is not the number of a segment", key, number)
	}
	return job.ID(name), segment, nil
}

// RosterKey returns the key of a worker's entry in the roster.
func RosterKey(worker string) string {
	return RosterPrefix + worker
}

// ParseRosterKey returns the worker of a key under RosterPrefix.
func ParseRosterKey(key string) (worker string) {
	return strings.TrimPrefix(key, RosterPrefix)
}

// ParseJobKey returns the job of a key under JobsPrefix, and whether it is the key that cancels the job.
func ParseJobKey(key string) (id job.ID, cancel bool) {
	text := strings.TrimPrefix(key, JobsPrefix)
	name, cancel := strings.CutSuffix(text, cancelSuffix)
	return job.ID(name), cancel
}

// OwnerRecord describes the host that owns the pool.
type OwnerRecord struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"life"` // of the process
	Address     netip.AddrPort `json:"address"`
	// Term is the number of owners up to this one.
	Term int64 `json:"term"`
	// RecordWorkersFromTerm is the first term from which on every owner has recorded a job's workers
	// (job.Progress) before it started the job there; 0 if this owner does not record them. It applies to
	// jobs that were accepted under that term or a later one.
	RecordWorkersFromTerm int64 `json:"named_from,omitempty"`
	// RecordUnannouncedFromTerm is the same for jobs that were accepted without a link to the owner
	// (job.Record.Unannounced).
	RecordUnannouncedFromTerm int64 `json:"unannounced_from,omitempty"`
}

// EncodeSoleOwner returns the value of SoleOwnerKey that says that the owner whose record has the given revision is
// the only one with authority: that of all owners before it has ended.
func EncodeSoleOwner(recordRevision int64) []byte {
	return strconv.AppendInt(nil, recordRevision, 10)
}

// DecodeSoleOwner decodes what EncodeSoleOwner returned.
func DecodeSoleOwner(text []byte) (recordRevision int64, err error) {
	recordRevision, err = strconv.ParseInt(string(text), 10, 64)
	if err != nil || recordRevision <= 0 {
		return 0, errors.Newf("%q is not the revision of an owner's record", text[:min(len(text), maxQuotedBytes)])
	}
	return recordRevision, nil
}

// Encode returns the record as the store keeps it.
func (r OwnerRecord) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	return text, errors.Wrap(err, "encode owner record")
}

// DecodeOwnerRecord decodes what Encode returned.
func DecodeOwnerRecord(text []byte) (OwnerRecord, error) {
	var r OwnerRecord
	if err := json.Unmarshal(text, &r); err != nil {
		return OwnerRecord{}, errors.Wrap(err, "decode owner record")
	}
	for _, first := range []int64{r.RecordWorkersFromTerm, r.RecordUnannouncedFromTerm} {
		if first < 0 || first > r.Term {
			return OwnerRecord{}, errors.Newf("owner record of term %d: workers recorded from term %d on", r.Term, first)
		}
	}
	return r, nil
}
