// Package wire defines the messages between instances for control: renewals of
// leases, order claims and the requests of operators.
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
	"radishturn.example/radishturn/pkg/view"
)

// Kinds that the leader serves.
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

// Kinds for routing tables and for members that join by themselves.
const (
	KindPutTable mesh.Kind = "table.put"
	KindTable    mesh.Kind = "table.get"
	KindEvacuate mesh.Kind = "zone.evacuate"
	KindOffer    mesh.Kind = "member.offer"
	// KindStartMove and KindMove are about moves of one service.
	KindStartMove mesh.Kind = "move.start"
	KindMove      mesh.Kind = "move.get"
)

// Kinds that every instance serves.
const (
	// KindRelay passes a request on to the leader.
	KindRelay mesh.Kind = "control.relay"
	// KindHoldsLease asks whether the instance holds a lease.
	KindHoldsLease mesh.Kind = "lease.holds"
	// KindClaimStatus asks a claimer what became of its claim.
	KindClaimStatus mesh.Kind = "order.ask"
)

// LeaderKinds are the kinds that a relay passes on.
var LeaderKinds = map[mesh.Kind]bool{
	KindRenew: true, KindRelease: true, KindOrders: true, KindApply: true, KindRules: true,
	KindHistory: true, KindInForce: true, KindMoves: true, KindQuarantined: true, KindLift: true,
	KindInstances: true, KindMembers: true, KindAddMember: true, KindReplaceMember: true, KindRemoveMember: true,
	KindPutTable: true, KindTable: true, KindEvacuate: true, KindOffer: true,
	KindStartMove: true, KindMove: true,
}

// Relay is a request to the leader that goes through another instance.
type Relay struct {
	Kind    mesh.Kind `cbor:"1,keyasint"`
	Payload []byte    `cbor:"2,keyasint"`
}

// RelayReply is the leader's reply to a relayed request.
type RelayReply struct {
	Payload []byte `cbor:"1,keyasint"`
}

// Empty is a message without content.
type Empty struct{}

// Renewal asks for a lease, or for more time on it.
type Renewal struct {
	Instance model.Instance `cbor:"1,keyasint"`
	// Boot differs between processes of one instance.
	Boot     string `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	// Version and Revision are in force at the holder.
	Version  uint64         `cbor:"4,keyasint"`
	Revision model.Revision `cbor:"5,keyasint"`
	// Session and GrantSequence acknowledge deltas of grants.
	Session       uint64 `cbor:"6,keyasint"`
	GrantSequence uint64 `cbor:"7,keyasint"`
	// Reported is set when Held lists all that the instance holds.
	Reported bool          `cbor:"8,keyasint,omitempty"`
	Held     []grant.Entry `cbor:"9,keyasint,omitempty"`
	// Evidence is sent again under the same EvidenceSequence until a reply comes.
	EvidenceSequence uint64         `cbor:"10,keyasint,omitempty"`
	Evidence         *view.Evidence `cbor:"11,keyasint,omitempty"`
	// Answered is the sequence of the newest renewal whose reply came.
	Answered uint64 `cbor:"12,keyasint,omitempty"`
	// Reset is set if the holder has no grants and starts anew.
	Reset bool `cbor:"13,keyasint,omitempty"`
	// Catalog is how far the holder has followed the leader's list of targets.
	Catalog catalog.Position `cbor:"14,keyasint"`
	// CostPosition is how far the holder has followed the leader's picture of dear targets.
	CostPosition catalog.Position `cbor:"15,keyasint"`
	// CatalogBuckets are told when the leader has asked for them.
	CatalogBuckets catalog.Buckets `cbor:"16,keyasint,omitempty"`
}

// RenewalReply grants the lease for the duration in the settings, counted from
// when the holder sent the renewal.
type RenewalReply struct {
	Leader   model.InstanceID `cbor:"1,keyasint"`
	Sequence uint64           `cbor:"2,keyasint"`
	// Delta is nil if nothing changed since the holder's version.
	Delta *state.Delta `cbor:"3,keyasint,omitempty"`
	// Session numbers the leader's record of what this holder was granted. In a
	// session that is new to the holder it keeps its grants and reports them if
	// Report is set, and otherwise starts with none.
	Session uint64       `cbor:"4,keyasint"`
	Report  bool         `cbor:"5,keyasint,omitempty"`
	Grants  *grant.Delta `cbor:"6,keyasint,omitempty"`
	// Challenge is set when no lease was granted: the renewal may be a delayed
	// one. The next renewal in the given session starts anew.
	Challenge bool `cbor:"7,keyasint,omitempty"`
	// Catalog is what changed in the leader's list of targets.
	Catalog *catalog.Delta `cbor:"8,keyasint,omitempty"`
	// Voters are the control members, so that holders find a later leader.
	Voters []model.InstanceID `cbor:"9,keyasint,omitempty"`
	// CostHints are the dear targets; nil if they are as the holder knows them.
	CostHints *catalog.Hints `cbor:"10,keyasint,omitempty"`
}

// Release hands a lease back.
type Release struct {
	Instance model.InstanceID `cbor:"1,keyasint"`
	Boot     string           `cbor:"2,keyasint"`
}

// HoldsLeaseReply says how an instance stands with its lease.
type HoldsLeaseReply struct {
	// Lost is set if it held a lease that has run out.
	Lost bool `cbor:"1,keyasint"`
	// Membership is the version of the set of instances that it knows.
	Membership uint64 `cbor:"2,keyasint"`
}

// OrderResults has one result for each change of an order.
type OrderResults struct {
	Results []state.OrderResult `cbor:"1,keyasint"`
}

// ClaimStatusRequest asks a claimer what became of its claim.
type ClaimStatusRequest struct {
	ID state.ClaimID `cbor:"1,keyasint"`
	// Wait bounds how long the claimer may wait for the outcome.
	Wait time.Duration `cbor:"2,keyasint"`
}

// ClaimStatusReply says what became of a claim.
type ClaimStatusReply struct {
	// Known is false if the claimer does not remember the claim, such as after
	// a restart.
	Known        bool        `cbor:"1,keyasint"`
	Phase        state.Phase `cbor:"2,keyasint"`
	Confirmation string      `cbor:"3,keyasint,omitempty"`
}

// History asks for accepted changes.
type History struct {
	Limit int `cbor:"1,keyasint"`
}

// HistoryReply holds accepted changes, newest first.
type HistoryReply struct {
	Changes []control.Change `cbor:"1,keyasint"`
}

// InForce asks where a revision is in force.
type InForce struct {
	Revision model.Revision `cbor:"1,keyasint"`
}

// MovesReply holds the moves of the newest rules.
type MovesReply struct {
	Moves []move.State `cbor:"1,keyasint"`
}

// QuarantinedReply holds the condemned fingerprints.
type QuarantinedReply struct {
	Quarantined []control.Quarantine `cbor:"1,keyasint"`
}

// InstancesReply holds the holders of leases.
type InstancesReply struct {
	Holders []control.LeaseHolder `cbor:"1,keyasint"`
}

// AddMember asks for a new learner.
type AddMember struct {
	Instance model.InstanceID `cbor:"1,keyasint"`
}

// ReplaceMember asks for a change of a voter.
type ReplaceMember struct {
	Old  replica.Member   `cbor:"1,keyasint"`
	Next model.InstanceID `cbor:"2,keyasint"`
}

// RemoveMember asks to take a member out.
type RemoveMember struct {
	Member replica.Member `cbor:"1,keyasint"`
}

// TableVersion is the version of the routing table in force.
type TableVersion struct {
	Version uint64 `cbor:"1,keyasint"`
}

// TableReply holds the newest routing table; nil before the first one.
type TableReply struct {
	Table *routing.Table `cbor:"1,keyasint,omitempty"`
}

// MoveQuery asks for the latest move of a service.
type MoveQuery struct {
	Service model.ServiceID `cbor:"1,keyasint"`
}

// Offer tells the leader that an instance with a disk can be a member.
type Offer struct {
	Member replica.Member `cbor:"1,keyasint"`
	// Leaving is set while the instance stops.
	Leaving bool `cbor:"2,keyasint,omitempty"`
}

// OfferReply names the control members.
type OfferReply struct {
	Voters []model.InstanceID `cbor:"1,keyasint,omitempty"`
}
