// Package consensus is a replicated log after Raft, as a pure state machine. It
// reads no clock, takes no lock, starts no goroutine and does no I/O: time and
// randomness are handed in, and everything that has to be written, sent or
// applied comes out as Effects. One goroutine drives it.
//
// It differs from plain Raft in three points. A member is an instance together
// with the identity of its disk, so that a member which lost its disk is
// another member and holds no vote of the lost one. Votes are refused within
// the election timeout of the leader's last message, which gives the leader a
// lease. Membership changes by one voter at a time.
package consensus

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"radishturn.example/radishturn/pkg/model"
)

// Member is a voter or learner of the group. A member that lost its disk comes
// back with another Disk and is another member.
type Member struct {
	Instance model.InstanceID `json:"instance" cbor:"1,keyasint"`
	Disk     model.DiskID     `json:"disk" cbor:"2,keyasint"`
}

// String returns the member as "instance/disk".
func (m Member) String() string { return string(m.Instance) + "/" + string(m.Disk) }

// Membership is the configuration of the group.
type Membership struct {
	// Voters elect the leader and count towards a commit.
	Voters []Member `cbor:"1,keyasint"`
	// Learners receive the log and count for nothing.
	Learners []Member `cbor:"2,keyasint,omitempty"`
	// Group identifies the group by its founders and never changes. A member
	// ignores the messages of another group.
	Group string `cbor:"3,keyasint,omitempty"`
}

// IsVoter reports whether m has a vote.
func (c Membership) IsVoter(m Member) bool { return slices.Contains(c.Voters, m) }

// IsLearner reports whether m receives the log without a vote.
func (c Membership) IsLearner(m Member) bool { return slices.Contains(c.Learners, m) }

// Contains reports whether m is a voter or a learner.
func (c Membership) Contains(m Member) bool { return c.IsVoter(m) || c.IsLearner(m) }

func (c Membership) quorum() int { return len(c.Voters)/2 + 1 }

func (c Membership) clone() Membership {
	return Membership{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners), Group: c.Group}
}

// Entry is one position of the log. It carries a command, a membership, or
// neither: a new leader appends an empty entry to commit those before it.
type Entry struct {
	Term       uint64      `cbor:"1,keyasint"`
	Index      uint64      `cbor:"2,keyasint"`
	Command    []byte      `cbor:"3,keyasint,omitempty"`
	Membership *Membership `cbor:"4,keyasint,omitempty"`
}

// entryOverhead is what an entry costs in a message besides its command, in bytes.
const entryOverhead = 32

func (e Entry) size() int { return len(e.Command) + entryOverhead }

// HardState must be durable before a message that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate that has the vote of this member in Term.
	Vote Member `cbor:"2,keyasint"`
	// Commit need not be durable: it is learned again from the leader. Keeping
	// it lets a restarted member apply its log at once.
	Commit uint64 `cbor:"3,keyasint"`
}

// SnapshotMeta names the last entry that a snapshot covers.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// Snapshot is the applied state up to Meta.Index. Data is opaque here and empty
// in the founding snapshot.
type Snapshot struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint,omitempty"`
}

// Position of the founding snapshot: the first real entry has index 2.
const (
	BootstrapIndex = 1
	BootstrapTerm  = 1
	// groupBytes is the length of a group's identity.
	groupBytes = 8
)

// BootstrapSnapshot returns the snapshot from which every founding member starts.
func BootstrapSnapshot(voters []Member) Snapshot {
	m := Membership{Voters: slices.Clone(voters), Group: groupOf(voters)}
	return Snapshot{Meta: SnapshotMeta{Index: BootstrapIndex, Term: BootstrapTerm, Membership: m}}
}

func groupOf(founders []Member) string {
	h := sha256.New()
	for _, m := range founders {
		fmt.Fprintf(h, "%q %q\n", m.Instance, m.Disk)
	}
	return hex.EncodeToString(h.Sum(nil)[:groupBytes])
}

// Role is a member's part in the current term.
type Role uint8

// Roles. A pre-candidate asks whether it could win before it raises the term.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Effects are what the driver has to do, in this order: send EarlyMessages; write
// Snapshot, Entries and HardState and sync them; send Messages; restore the
// Snapshot; apply Committed; call Raft.Synced with Mark.
type Effects struct {
	// EarlyMessages may be sent before anything is synced: the leader's entries travel
	// while its own disk writes them.
	EarlyMessages []Message
	// Snapshot, if set, replaces the log and the applied state.
	Snapshot *Snapshot
	// Entries are appended after cutting the log before the first one's Index.
	Entries []Entry
	// HardState is set if it changed.
	HardState *HardState
	// Messages may be sent once all of the above is synced.
	Messages []Message
	// Committed entries follow each other without a gap.
	Committed []Entry
	// Mark is what Synced confirms.
	Mark SyncMark
}

// MustSync reports whether something has to be durable before Messages are sent.
func (e *Effects) MustSync() bool {
	return e.Snapshot != nil || len(e.Entries) > 0 || e.HardState != nil
}

// SyncMark says how far the log is durable once the Effects that carry it are synced.
type SyncMark struct {
	Term, Index uint64
}
