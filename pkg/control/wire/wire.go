// Package wire defines the messages of the control plane: lease renewals, order
// claims and operators' requests.
package wire

import (
	"time"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/usage"
	"radishturn.example/radishturn/pkg/view"
)

// Message kinds that the leader serves.
const (
	KindRenew         mesh.Kind = "lease.renew"
	KindRelease       mesh.Kind = "lease.return"
	KindOrders        mesh.Kind = "order.change"
	KindApply         mesh.Kind = "admin.apply"
	KindRules         mesh.Kind = "admin.rules"
	KindHistory       mesh.Kind = "admin.history"
	KindInForce       mesh.Kind = "admin.in-force"
	KindMoves         mesh.Kind = "admin.moves"
	KindQuarantined   mesh.Kind = "admin.quarantined"
	KindLift          mesh.Kind = "admin.lift"
	KindInstances     mesh.Kind = "admin.instances"
	KindMembers       mesh.Kind = "admin.members"
	KindAddMember     mesh.Kind = "admin.add-member"
	KindReplaceMember mesh.Kind = "admin.replace-member"
	KindRemoveMember  mesh.Kind = "admin.remove-member"
)

// Message kinds for routing tables, moves, and members that join by themselves.
// The leader serves them too.
const (
	KindPutTable mesh.Kind = "table.put"
	KindTable    mesh.Kind = "table.get"
	KindEvacuate mesh.Kind = "zone.evacuate"
	// KindEvacuation reads which command on a zone is the newest.
	KindEvacuation mesh.Kind = "zone.get"
	KindOffer      mesh.Kind = "member.offer"
	// KindStartMove and KindMove start and read the move of one service.
	KindStartMove mesh.Kind = "move.start"
	KindMove      mesh.Kind = "move.get"
)

// Message kinds that every instance serves.
const (
	// KindRelay forwards a request to the leader.
	KindRelay mesh.Kind = "control.relay"
	// KindHoldsLease asks for the state of the instance's lease.
	KindHoldsLease mesh.Kind = "lease.holds"
	// KindClaimStatus asks a claimer for the state of its claim.
	KindClaimStatus mesh.Kind = "order.ask"
)

// LeaderKinds are the kinds that a relay forwards.
var LeaderKinds = map[mesh.Kind]bool{
	KindRenew: true, KindRelease: true, KindOrders: true, KindApply: true, KindRules: true,
	KindHistory: true, KindInForce: true, KindMoves: true, KindQuarantined: true, KindLift: true,
	KindInstances: true, KindMembers: true, KindAddMember: true, KindReplaceMember: true, KindRemoveMember: true,
	KindPutTable: true, KindTable: true, KindEvacuate: true, KindOffer: true,
	KindStartMove: true, KindMove: true, KindEvacuation: true,
}

// SecretKinds are the kinds whose messages hold the document of a routing table, and so
// the keys of callers. Only instances that may lead relay them.
var SecretKinds = map[mesh.Kind]bool{KindPutTable: true, KindTable: true}

// RelayRequest is a request to the leader that another instance forwards.
type RelayRequest struct {
	Kind    mesh.Kind `cbor:"1,keyasint"`
	Payload []byte    `cbor:"2,keyasint"`
}

// RelayReply is the leader's reply to a relayed request.
type RelayReply struct {
	Payload []byte `cbor:"1,keyasint"`
}

// Empty is a message without content.
type Empty struct{}

// Renewal asks for a new lease or for an extension.
type Renewal struct {
	Instance model.Instance `cbor:"1,keyasint"`
	// Boot identifies the process; it changes when the instance restarts.
	Boot     string `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	// Version of the state and Revision of the rules are in force at the holder.
	Version  uint64         `cbor:"4,keyasint"`
	Revision model.Revision `cbor:"5,keyasint"`
	// Session and GrantSequence acknowledge the newest delta of grants that the
	// holder has applied.
	Session       uint64 `cbor:"6,keyasint"`
	GrantSequence uint64 `cbor:"7,keyasint"`
	// Reported is set if Held lists all grants of the instance.
	Reported bool          `cbor:"8,keyasint,omitempty"`
	Held     []grant.Entry `cbor:"9,keyasint,omitempty"`
	// Evidence is sent again with the same EvidenceSequence until a reply arrives.
	EvidenceSequence uint64         `cbor:"10,keyasint,omitempty"`
	Evidence         *view.Evidence `cbor:"11,keyasint,omitempty"`
	// Answered is the sequence of the newest renewal whose reply has arrived.
	Answered uint64 `cbor:"12,keyasint,omitempty"`
	// Reset is set if the holder has no grants and asks for a new session.
	Reset bool `cbor:"13,keyasint,omitempty"`
	// Catalog is the holder's position in the leader's list of targets.
	Catalog catalog.Position `cbor:"14,keyasint"`
	// CostPosition is the holder's position in the leader's list of expensive
	// targets.
	CostPosition catalog.Position `cbor:"15,keyasint"`
	// CatalogBuckets are set if the leader has asked for them.
	CatalogBuckets catalog.BucketDigests `cbor:"16,keyasint,omitempty"`
	// Usage is how many calls of each caller targets ran; nil if no duty to report it is set.
	Usage *usage.Report `cbor:"17,keyasint,omitempty"`
	// WallClock is the holder's wall-clock time, since the start of 1970. It is set
	// together with Usage.
	WallClock time.Duration `cbor:"18,keyasint,omitempty"`
}

// RenewalReply grants the lease for the duration in the settings, counted from
// the time at which the holder sent the renewal.
type RenewalReply struct {
	Leader   model.InstanceID `cbor:"1,keyasint"`
	Sequence uint64           `cbor:"2,keyasint"`
	// Delta is nil if nothing changed since the holder's version.
	Delta *state.Delta `cbor:"3,keyasint,omitempty"`
	// Session numbers the leader's record of the holder's grants. In a session
	// that is new to the holder, the holder keeps and reports its grants if Report
	// is set; otherwise it starts without grants.
	Session uint64       `cbor:"4,keyasint"`
	Report  bool         `cbor:"5,keyasint,omitempty"`
	Grants  *grant.Delta `cbor:"6,keyasint,omitempty"`
	// Challenge is set if no lease was granted because the renewal may be a
	// delayed one. The next renewal has to set Reset in the given session.
	Challenge bool `cbor:"7,keyasint,omitempty"`
	// Catalog holds the changes of the leader's list of targets.
	Catalog *catalog.Delta `cbor:"8,keyasint,omitempty"`
	// Voters are the voting control members, from which holders find a later
	// leader.
	Voters []model.InstanceID `cbor:"9,keyasint,omitempty"`
	// CostHints holds the changes of the expensive targets; nil if the holder's
	// list is current.
	CostHints *catalog.HintDelta `cbor:"10,keyasint,omitempty"`
	// UsageTerm is the leader's term if it has processed the usage in the renewal.
	UsageTerm uint64 `cbor:"11,keyasint,omitempty"`
	// TrueTime is the leader's estimate of true time, since the start of 1970; 0 if it
	// has none yet.
	TrueTime time.Duration `cbor:"12,keyasint,omitempty"`
}

// Release gives up a lease before it expires.
type Release struct {
	Instance model.InstanceID `cbor:"1,keyasint"`
	Boot     string           `cbor:"2,keyasint"`
}

// LeaseStateReply is the state of an instance's lease.
type LeaseStateReply struct {
	// Lost is set if the instance held a lease that has expired.
	Lost bool `cbor:"1,keyasint"`
	// InstancesVersion is the version of the set of instances that it knows.
	InstancesVersion uint64 `cbor:"2,keyasint"`
}

// OrderResults holds one result for each change of an order claim.
type OrderResults struct {
	Results []state.OrderResult `cbor:"1,keyasint"`
}

// ClaimStatusRequest asks a claimer for the state of its claim.
type ClaimStatusRequest struct {
	ID state.ClaimID `cbor:"1,keyasint"`
	// Wait bounds how long the claimer may wait for the outcome.
	Wait time.Duration `cbor:"2,keyasint"`
}

// ClaimStatusReply is the state of a claim.
type ClaimStatusReply struct {
	// Known is false if the claimer has no record of the claim, for example after
	// a restart.
	Known        bool        `cbor:"1,keyasint"`
	Phase        state.Phase `cbor:"2,keyasint"`
	Confirmation string      `cbor:"3,keyasint,omitempty"`
}

// HistoryRequest asks for accepted changes.
type HistoryRequest struct {
	Limit int `cbor:"1,keyasint"`
}

// HistoryReply holds accepted changes, newest first.
type HistoryReply struct {
	Changes []control.Change `cbor:"1,keyasint"`
}

// InForceRequest asks where a revision is in force.
type InForceRequest struct {
	Revision model.Revision `cbor:"1,keyasint"`
}

// MovesReply holds all recorded moves.
type MovesReply struct {
	Moves []move.State `cbor:"1,keyasint"`
}

// QuarantinedReply holds the quarantined request fingerprints.
type QuarantinedReply struct {
	Quarantined []control.Quarantine `cbor:"1,keyasint"`
}

// InstancesReply holds the instances that hold a lease.
type InstancesReply struct {
	Holders []control.LeaseHolder `cbor:"1,keyasint"`
}

// AddMemberRequest asks to add the disk of an instance as a learner.
type AddMemberRequest struct {
	Instance model.InstanceID `cbor:"1,keyasint"`
}

// ReplaceMemberRequest asks to replace a voter by the disk of an instance.
type ReplaceMemberRequest struct {
	Old  replica.Member   `cbor:"1,keyasint"`
	Next model.InstanceID `cbor:"2,keyasint"`
}

// RemoveMemberRequest asks to remove a voter or learner.
type RemoveMemberRequest struct {
	Member replica.Member `cbor:"1,keyasint"`
}

// TableVersion is the version of the routing table in force.
type TableVersion struct {
	Version uint64 `cbor:"1,keyasint"`
}

// TableReply holds the newest routing table, or nil before the first one.
type TableReply struct {
	Table *routing.Table `cbor:"1,keyasint,omitempty"`
}

// MoveQuery asks for the latest move of a service.
type MoveQuery struct {
	Service model.ServiceID `cbor:"1,keyasint"`
}

// EvacuationQuery asks for the newest command on an availability zone.
type EvacuationQuery struct {
	AvailabilityZone model.AvailabilityZoneID `cbor:"1,keyasint"`
}

// EvacuationReply holds the log index of the newest command on a zone, 0 if there is
// none.
type EvacuationReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// Offer tells the leader that an instance with a disk can become a member.
type Offer struct {
	Member replica.Member `cbor:"1,keyasint"`
	// Leaving is set while the instance shuts down.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// DiskFull is set while the disk has no space.
	DiskFull bool `cbor:"3,keyasint,omitempty"`
}

// OfferReply lists the voting control members.
type OfferReply struct {
	Voters []model.InstanceID `cbor:"1,keyasint,omitempty"`
}
