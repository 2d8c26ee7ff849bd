// Package control is the control plane: on the leader it grants leases, shares
// out what targets bear and accepts changes; on every instance it finds the
// leader and passes requests on.
package control

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/view"
)

// Admin is what operators may ask. Any instance serves it and passes requests
// on to the leader. Errors are *failure.Error.
type Admin interface {
	// ApplyRules replaces the rules if Base is the newest revision. The same
	// request again returns the first answer; another request on the same
	// Base fails with code conflict and the winner in the message.
	ApplyRules(ctx context.Context, r ApplyRequest) (*Change, error)
	// Rules returns the newest accepted change; its Revision is 0 at first.
	Rules(ctx context.Context) (*Change, error)
	// History returns the accepted changes, newest first, at most limit.
	History(ctx context.Context, limit int) ([]Change, error)
	// InForce says where a revision is in force.
	InForce(ctx context.Context, revision model.Revision) (*InForce, error)
	// Moves returns the moves of the newest rules.
	Moves(ctx context.Context) ([]move.State, error)
	// Quarantined returns the condemned fingerprints.
	Quarantined(ctx context.Context) ([]Quarantine, error)
	// Lift ends the quarantine of a fingerprint.
	Lift(ctx context.Context, f model.Fingerprint, author string) error
	// Instances returns the holders of leases.
	Instances(ctx context.Context) ([]LeaseHolder, error)
	// Members returns the control group as the leader sees it.
	Members(ctx context.Context) (*replica.Status, error)
	// AddMember adds the disk of an instance as a learner.
	AddMember(ctx context.Context, id model.InstanceID) error
	// ReplaceMember puts the new disk of an instance, or another instance, in
	// place of a voter, after it has caught up.
	ReplaceMember(ctx context.Context, old replica.Member, next model.InstanceID) error
	// RemoveMember takes a voter or learner out.
	RemoveMember(ctx context.Context, m replica.Member) error
}

// Routing is what operators may ask about the routing table and about
// availability zones. Any instance serves it and passes requests on to the
// leader. Errors are *failure.Error.
type Routing interface {
	// PutTable replaces the routing table if its version is higher, and returns
	// the version in force afterwards. A table that fails its check is refused.
	PutTable(ctx context.Context, t *routing.Table) (uint64, error)
	// Table returns the newest accepted table, or nil before the first one. It
	// fails rather than answer with one that may be out of date.
	Table(ctx context.Context) (*routing.Table, error)
	// Evacuate begins or ends the evacuation of an availability zone.
	Evacuate(ctx context.Context, zone model.AvailabilityZoneID, end bool) error
	// StartMove begins to move the traffic of a service to a version. The same
	// order again changes nothing.
	StartMove(ctx context.Context, o MoveRequest) error
	// Move returns the latest move of a service. It fails rather than answer with
	// one that may be out of date.
	Move(ctx context.Context, service model.ServiceID) (*move.State, error)
}

// MoveRequest asks to move the traffic of a service to a version.
type MoveRequest struct {
	Service model.ServiceID `cbor:"1,keyasint"`
	To      model.VersionID `cbor:"2,keyasint"`
	// Duration is the time within which the move is to be done.
	Duration time.Duration `cbor:"3,keyasint"`
}

// ApplyRequest asks for a change of the rules.
type ApplyRequest struct {
	// Base is the revision that the change builds on.
	Base   model.Revision `json:"base" cbor:"1,keyasint"`
	Text   string         `json:"text" cbor:"2,keyasint"`
	Author string         `json:"author" cbor:"3,keyasint"`
}

// Change is an accepted configuration.
type Change struct {
	Revision model.Revision `json:"revision" cbor:"1,keyasint"`
	// Hash is the SHA-256 of the text, in hexadecimal.
	Hash   string    `json:"hash" cbor:"2,keyasint"`
	Text   string    `json:"text" cbor:"3,keyasint"`
	Author string    `json:"author" cbor:"4,keyasint"`
	At     time.Time `json:"at" cbor:"5,keyasint"`
	Rules  rules.Set `json:"rules" cbor:"6,keyasint"`
}

// InForce says where a revision is in force. It is in force everywhere when
// Missing is empty: each live lease has acknowledged it or has run out.
type InForce struct {
	Revision     model.Revision     `json:"revision" cbor:"1,keyasint"`
	Acknowledged []model.InstanceID `json:"acknowledged" cbor:"2,keyasint"`
	Missing      []model.InstanceID `json:"missing" cbor:"3,keyasint"`
}

// Quarantine is a condemned fingerprint.
type Quarantine struct {
	Fingerprint model.Fingerprint `json:"fingerprint" cbor:"1,keyasint"`
	Deaths      []model.TargetID  `json:"deaths" cbor:"2,keyasint"`
	At          time.Time         `json:"at" cbor:"3,keyasint"`
	// Until is when the quarantine ends, on the clock of the group; 0 means that
	// an operator has to lift it.
	Until time.Duration `json:"until,omitempty" cbor:"4,keyasint,omitempty"`
}

// LeaseHolder is an instance that holds a lease.
type LeaseHolder struct {
	Instance model.Instance `json:"instance" cbor:"1,keyasint"`
	// Remaining is how long the lease still holds on the leader's clock.
	Remaining    time.Duration  `json:"left" cbor:"2,keyasint"`
	Acknowledged model.Revision `json:"acknowledged" cbor:"3,keyasint"`
}

// EvidenceSink receives what entries report with their renewals. The control
// plane calls it on the leader only, from many goroutines; it must not block.
type EvidenceSink interface {
	Evidence(from model.InstanceID, e view.Evidence)
}

// Leader is what the plug-ins that run on the leader may use.
type Leader interface {
	// IsLeader reports whether this instance leads the control group.
	IsLeader() bool
	// Subscribe adds a sink; it is called while modules are provisioned.
	Subscribe(s EvidenceSink)
	// LocalMoves returns the moves as applied on this instance.
	LocalMoves() []move.State
	// ProposeStep proposes a step of a move. It fails with code not-leader on
	// other instances, and with code conflict when Expect does not match.
	ProposeStep(ctx context.Context, s move.Step) error
}
