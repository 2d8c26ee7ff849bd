package consensus

import "time"

// Message travels between members. Exactly one of the bodies is set. A member
// takes a message only if To is itself, disk included.
type Message struct {
	From Member `cbor:"1,keyasint"`
	To   Member `cbor:"2,keyasint"`
	// Term is the sender's term; for a pre-vote it is the term that the sender
	// would campaign in.
	Term uint64 `cbor:"3,keyasint"`
	// Group is the sender's group; empty from a member of none.
	Group string `cbor:"11,keyasint,omitempty"`

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
	// Pre marks a question that changes nothing at the receiver.
	Pre bool `cbor:"3,keyasint,omitempty"`
	// Transfer is set when the leader itself asked for the election, so that
	// its lease need not run out first.
	Transfer bool `cbor:"4,keyasint,omitempty"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	Pre     bool `cbor:"2,keyasint,omitempty"`
}

// AppendRequest carries entries, or none as a heartbeat.
type AppendRequest struct {
	// PrevIndex and PrevTerm name the entry before Entries.
	PrevIndex uint64  `cbor:"1,keyasint"`
	PrevTerm  uint64  `cbor:"2,keyasint"`
	Entries   []Entry `cbor:"3,keyasint,omitempty"`
	Commit    uint64  `cbor:"4,keyasint"`
	// SentAt is the leader's time at sending. It comes back in the reply and
	// means nothing to the receiver.
	SentAt time.Duration `cbor:"5,keyasint"`
}

// AppendReply answers an AppendRequest after its entries are synced.
type AppendReply struct {
	// Index is the last entry known to equal the leader's; on a rejection it is
	// the request's PrevIndex.
	Index    uint64 `cbor:"1,keyasint"`
	Rejected bool   `cbor:"2,keyasint,omitempty"`
	// Hint is the largest index at which the logs may still agree.
	Hint   uint64        `cbor:"3,keyasint,omitempty"`
	SentAt time.Duration `cbor:"4,keyasint"`
}

// SnapshotRequest carries the leader's state to a member that is behind the
// start of the leader's log.
type SnapshotRequest struct {
	// Snapshot has no Data in Effects; the driver adds it when it sends.
	Snapshot Snapshot      `cbor:"1,keyasint"`
	SentAt   time.Duration `cbor:"2,keyasint"`
}

// SnapshotReply answers a SnapshotRequest after the snapshot is synced.
type SnapshotReply struct {
	Index  uint64        `cbor:"1,keyasint"`
	SentAt time.Duration `cbor:"2,keyasint"`
}

// TimeoutNow asks the receiver to campaign at once.
type TimeoutNow struct{}
