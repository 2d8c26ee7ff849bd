// Package consensus implements the Raft replicated log as a deterministic state
// machine. It reads no clock, takes no lock, starts no goroutine and does no
// I/O: the program that runs it (the driver) passes in the time and a source of
// randomness, and everything to be written, sent or applied is returned as Effects.
// It is not safe for concurrent use; the driver uses a single goroutine.
//
// It extends basic Raft in three points. A member is identified by its instance
// and its disk, so that an instance that lost its disk rejoins as a new member
// and does not inherit the vote of the old one. Voters refuse vote requests
// within the election timeout after the leader's last message, which gives the
// leader a lease (the leader lease, which is not one of the leases of pkg/lease).
// Membership changes add or remove one voter at a time.
package consensus

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"radishturn.example/radishturn/pkg/model"
)

// Member is a voter or learner of the group. An instance that lost its disk
// returns with a new Disk and therefore as a new member.
type Member struct {
	Instance model.InstanceID `json:"instance" cbor:"1,keyasint"`
	Disk     model.DiskID     `json:"disk" cbor:"2,keyasint"`
}

// String returns the member as "instance/disk".
func (m Member) String() string { return string(m.Instance) + "/" + string(m.Disk) }

// Membership holds the voters and learners of the group.
type Membership struct {
	// Voters elect the leader and count towards the commit quorum.
	Voters []Member `cbor:"1,keyasint"`
	// Learners receive the log but neither vote nor count towards a quorum.
	Learners []Member `cbor:"2,keyasint,omitempty"`
	// GroupID is derived from the initial voters and never changes. A member
	// ignores messages from other groups.
	GroupID string `cbor:"3,keyasint,omitempty"`
}

// IsVoter reports whether member has a vote.
func (m Membership) IsVoter(member Member) bool { return slices.Contains(m.Voters, member) }

// IsLearner reports whether member receives the log but has no vote.
func (m Membership) IsLearner(member Member) bool { return slices.Contains(m.Learners, member) }

// Contains reports whether member is a voter or a learner.
func (m Membership) Contains(member Member) bool { return m.IsVoter(member) || m.IsLearner(member) }

// LossesTolerated returns how many voters may be lost if all of them work.
func (m Membership) LossesTolerated() int { return len(m.Voters) - m.quorum() }

func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners), GroupID: m.GroupID}
}

// Entry is one log entry. It carries a command, a membership, or neither: a new
// leader appends an empty entry to commit the entries of earlier terms.
type Entry struct {
	Term       uint64      `cbor:"1,keyasint"`
	Index      uint64      `cbor:"2,keyasint"`
	Command    []byte      `cbor:"3,keyasint,omitempty"`
	Membership *Membership `cbor:"4,keyasint,omitempty"`
}

// entryOverhead is the encoded size of an entry without its command, in bytes.
const entryOverhead = 32

func (e Entry) size() int { return len(e.Command) + entryOverhead }

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate that this member voted for in Term.
	Vote Member `cbor:"2,keyasint"`
	// Commit need not be durable, since a member learns it again from the
	// leader. Storing it lets a restarted member apply its log at once.
	Commit uint64 `cbor:"3,keyasint"`
}

// SnapshotMeta describes the last entry that a snapshot covers.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// Snapshot is a Raft snapshot: the applied state up to Meta.Index. It is unrelated to
// the snapshots of the index that targets serve. Data is opaque to this package
// and empty in the bootstrap snapshot.
type Snapshot struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint,omitempty"`
}

// Position of the bootstrap snapshot; the first log entry has index 2.
const (
	BootstrapIndex = 1
	BootstrapTerm  = 1
	// groupIDBytes is the length of a group ID before hex encoding.
	groupIDBytes = 8
)

// BootstrapSnapshot returns the snapshot from which every initial voter starts.
func BootstrapSnapshot(voters []Member) Snapshot {
	m := Membership{Voters: slices.Clone(voters), GroupID: groupID(voters)}
	return Snapshot{Meta: SnapshotMeta{Index: BootstrapIndex, Term: BootstrapTerm, Membership: m}}
}

func groupID(initialVoters []Member) string {
	h := sha256.New()
	for _, m := range initialVoters {
		fmt.Fprintf(h, "%q %q\n", m.Instance, m.Disk)
	}
	return hex.EncodeToString(h.Sum(nil)[:groupIDBytes])
}

// Role is a member's role in the current term.
type Role uint8

// Roles. A pre-candidate runs a pre-vote before it increments the term.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Effects are the actions that the driver carries out, in this order: send
// EarlyMessages; write and sync Snapshot, Entries and HardState; send Messages;
// restore Snapshot; apply Committed; call Raft.Synced with Mark.
type Effects struct {
	// EarlyMessages may be sent before anything is synced, so that the leader
	// replicates entries while its own disk writes them.
	EarlyMessages []Message
	// Snapshot, if set, replaces the log and the applied state.
	Snapshot *Snapshot
	// Entries are appended after the log is truncated before the Index of the first.
	Entries []Entry
	// HardState is set if it must be written.
	HardState *HardState
	// Messages may be sent only after all of the above is synced.
	Messages []Message
	// Committed entries are to be applied; their indexes are contiguous.
	Committed []Entry
	// Mark is the position to pass to Synced.
	Mark SyncMark
}

// MustSync reports whether anything has to be synced before Messages are sent.
func (e *Effects) MustSync() bool {
	return e.Snapshot != nil || len(e.Entries) > 0 || e.HardState != nil
}

// SyncMark is the end of the durable log once the Effects that carry it are synced.
type SyncMark struct {
	Term, Index uint64
}
