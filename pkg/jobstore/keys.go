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
	HolderKey      = OwnerPrefix + "holder"
	AliveKey       = OwnerPrefix + "alive"
	RosterPrefix   = "foldarch/roster/"

	cancelSuffix = "/cancel"
	commitPrefix = "foldarch/commit/"
)

// CommitLanes is how many series of commits an owner may have. All of them are voided by the
// transaction that makes another host the owner.
const CommitLanes = 6

// CommitKey is replaced by each commit of a lane.
func CommitKey(lane int) string {
	return commitPrefix + strconv.Itoa(lane)
}

// JobKey is where a job's record stands.
func JobKey(id job.ID) string {
	return JobsPrefix + string(id)
}

// CancelKey stands when a job was cancelled.
func CancelKey(id job.ID) string {
	return JobKey(id) + cancelSuffix
}

// ProgressKey is where a job's progress stands.
func ProgressKey(id job.ID) string {
	return ProgressPrefix + string(id)
}

// RosterKey is where the roster's record of a worker stands, by the worker's name.
func RosterKey(worker string) string {
	return RosterPrefix + worker
}

// ParseRosterKey returns the worker's name of a key under RosterPrefix.
func ParseRosterKey(key string) (worker string) {
	return strings.TrimPrefix(key, RosterPrefix)
}

// ParseJobKey returns the job of a key under JobsPrefix and whether the key cancels it.
func ParseJobKey(key string) (id job.ID, cancel bool) {
	text := strings.TrimPrefix(key, JobsPrefix)
	name, cancel := strings.CutSuffix(text, cancelSuffix)
	return job.ID(name), cancel
}

// Holder is the record of the host that owns the pool.
type Holder struct {
	Name    string         `json:"name"`
	Life    string         `json:"life"` // of the process
	Address netip.AddrPort `json:"address"`
	// Term counts the owners.
	Term int64 `json:"term"`
	// NamedFrom is the first term from which on every owner has stored the names of a job's workers (job.Progress) before it started the job
	// there; 0 when this one does not. It holds of jobs that were accepted under that term or a later one.
	NamedFrom int64 `json:"named_from,omitempty"`
}

// Encode returns the record as the store keeps it.
func (h Holder) Encode() ([]byte, error) {
	text, err := json.Marshal(h)
	return text, errors.Wrap(err, "encode holder")
}

// DecodeHolder reads what Encode returned.
func DecodeHolder(text []byte) (Holder, error) {
	var h Holder
	err := json.Unmarshal(text, &h)
	return h, errors.Wrap(err, "holder record")
}
