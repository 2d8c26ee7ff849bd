package consensus

import "time"

// Message is sent between members. Exactly one of the bodies is set. A member
// accepts a message only if To matches its own instance and disk.
type Message struct {
	From Member `cbor:"1,keyasint"`
	To   Member `cbor:"2,keyasint"`
	// Term is the sender's term. In a pre-vote it is the term of the election
	// that the sender would start.
	Term uint64 `cbor:"3,keyasint"`
	// GroupID is the ID of the sender's group. It is empty if the sender belongs to no
	// group.
	GroupID string `cbor:"11,keyasint,omitempty"`

	Vote          *VoteRequest     `cbor:"4,keyasint,omitempty"`
	VoteReply     *VoteReply       `cbor:"5,keyasint,omitempty"`
	Append        *AppendRequest   `cbor:"6,keyasint,omitempty"`
	AppendReply   *AppendReply     `cbor:"7,keyasint,omitempty"`
	Snapshot      *SnapshotRequest `cbor:"8,keyasint,omitempty"`
	SnapshotReply *SnapshotReply   `cbor:"9,keyasint,omitempty"`
	TimeoutNow    *TimeoutNow      `cbor:"10,keyasint,omitempty"`
}

// VoteRequest asks for a vote.
type VoteRequest struct {
	LastIndex uint64 `cbor:"1,keyasint"`
	LastTerm  uint64 `cbor:"2,keyasint"`
	// Pre is set for a pre-vote, which changes no state at the receiver.
	Pre bool `cbor:"3,keyasint,omitempty"`
	// Transfer is set if the leader itself requested the election, so that the
	// receiver need not wait for the leader lease to expire.
	Transfer bool `cbor:"4,keyasint,omitempty"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	Pre     bool `cbor:"2,keyasint,omitempty"`
	// Refusal says why the vote was not granted. It is only recorded; no decision
	// depends on it.
	Refusal Refusal `cbor:"3,keyasint,omitempty"`
}

// Refusal is the reason for which a member does not grant a vote.
type Refusal uint8

// Reasons of a refusal.
const (
	// RefusalUnknown is the reason of members that do not state one.
	RefusalUnknown Refusal = iota
	// RecentLeader means that the member has heard from a leader within the election
	// timeout, or has started within it.
	RecentLeader
	// LogBehind means that the candidate lacks entries that the member has.
	LogBehind
	// VotedForOther means that the member has voted for another candidate in this term,
	// or knows its leader.
	VotedForOther
	// OlderTerm means that the member has seen a higher term than the candidate's.
	OlderTerm
	// OtherGroup means that the candidate belongs to another group.
	OtherGroup
)

var refusalTexts = [...]string{"unknown", "recent leader", "log behind", "voted for another", "older term", "other group"}

// String returns the reason as text.
func (r Refusal) String() string {
	if int(r) < len(refusalTexts) {
		return refusalTexts[r]
	}
	return refusalTexts[RefusalUnknown]
}

// AppendRequest carries entries, or none as a heartbeat.
type AppendRequest struct {
	// PrevIndex and PrevTerm identify the entry before Entries.
	PrevIndex uint64  `cbor:"1,keyasint"`
	PrevTerm  uint64  `cbor:"2,keyasint"`
	Entries   []Entry `cbor:"3,keyasint,omitempty"`
	Commit    uint64  `cbor:"4,keyasint"`
	// SentAt is the leader's clock at the time of sending. The receiver only
	// echoes it in the reply.
	SentAt time.Duration `cbor:"5,keyasint"`
}

// AppendReply answers an AppendRequest. It is sent after the entries are synced.
type AppendReply struct {
	// Index is the last index known to match the leader's log. In a rejection it
	// is the request's PrevIndex, or 0 if the request is from an earlier term.
	Index    uint64 `cbor:"1,keyasint"`
	Rejected bool   `cbor:"2,keyasint,omitempty"`
	// Hint is the largest index at which the logs may still match.
	Hint   uint64        `cbor:"3,keyasint,omitempty"`
	SentAt time.Duration `cbor:"4,keyasint"`
}

// SnapshotRequest carries the leader's snapshot to a member that needs entries
// from before the start of the leader's log.
type SnapshotRequest struct {
	// Snapshot has no Data in Effects; the driver adds it before sending.
	Snapshot Snapshot      `cbor:"1,keyasint"`
	SentAt   time.Duration `cbor:"2,keyasint"`
}

// SnapshotReply answers a SnapshotRequest. It is sent after the snapshot is synced.
type SnapshotReply struct {
	Index  uint64        `cbor:"1,keyasint"`
	SentAt time.Duration `cbor:"2,keyasint"`
}

// TimeoutNow asks the receiver to start an election at once.
type TimeoutNow struct{}
