// Package control defines the interfaces of the control plane. The leader grants
// leases, divides the capacity of targets among instances and accepts changes;
// every instance locates the leader and forwards requests to it.
package control

import (
	"context"
	"time"

	"github.com/google/uuid"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/view"
)

// Admin is the interface for operators. Any instance serves it and forwards
// requests to the leader. Errors are *failure.Error.
type Admin interface {
	// ApplyRules replaces the rules if Base is the newest revision. It is
	// idempotent: a repeated request returns the first result. A different
	// request on the same Base fails with code conflict, and the message names
	// the change that was accepted.
	ApplyRules(ctx context.Context, r ApplyRequest) (*Change, error)
	// Rules returns the newest accepted change. Its Revision is 0 before the
	// first one.
	Rules(ctx context.Context) (*Change, error)
	// History returns up to limit accepted changes, newest first.
	History(ctx context.Context, limit int) ([]Change, error)
	// InForce returns the instances at which a revision is in force.
	InForce(ctx context.Context, revision model.Revision) (*InForce, error)
	// Moves returns all recorded moves: those of the newest rules and those that
	// operators requested directly.
	Moves(ctx context.Context) ([]move.State, error)
	// Quarantined returns the quarantined request fingerprints.
	Quarantined(ctx context.Context) ([]Quarantine, error)
	// Lift ends the quarantine of a fingerprint.
	Lift(ctx context.Context, call Call, f model.Fingerprint, author string) error
	// Instances returns the instances that hold a lease.
	Instances(ctx context.Context) ([]LeaseHolder, error)
	// Members returns the control group as the leader sees it.
	Members(ctx context.Context) (*replica.Status, error)
	// AddMember adds the disk of an instance as a learner.
	AddMember(ctx context.Context, id model.InstanceID) error
	// ReplaceMember replaces a voter by the new disk of an instance or by another
	// instance, once the replacement has caught up.
	ReplaceMember(ctx context.Context, old replica.Member, next model.InstanceID) error
	// RemoveMember removes a voter or learner.
	RemoveMember(ctx context.Context, m replica.Member) error
}

// TrafficAdmin is the interface for operators to the routing table, the
// evacuation of availability zones and the moves of services. Any instance
// serves it and forwards requests to the leader. Errors are *failure.Error.
type TrafficAdmin interface {
	// PutTable replaces the routing table if its version is higher, and returns
	// the version in force afterwards. An invalid table is rejected.
	PutTable(ctx context.Context, t *routing.Table) (uint64, error)
	// Table returns the newest accepted table, or nil before the first one. It
	// returns an error rather than a table that may be stale.
	Table(ctx context.Context) (*routing.Table, error)
	// Evacuate starts or ends the evacuation of an availability zone.
	Evacuate(ctx context.Context, call Call, zone model.AvailabilityZoneID, end bool) error
	// StartMove starts to move the traffic of a service to a version. It is
	// idempotent.
	StartMove(ctx context.Context, call Call, o MoveRequest) error
	// Move returns the latest move of a service. It returns an error rather than
	// a move that may be stale.
	Move(ctx context.Context, service model.ServiceID) (*move.State, error)
}

// CallID identifies one call of an operator in the log events of every instance that
// takes part in it.
type CallID string

// OperatorPatience is how long an operator waits for a reply at least. An operator who
// gets none gives the call up and may then ask for the opposite.
const OperatorPatience = time.Second

// sendWithin is how long after its arrival the change of a call may be sent to the
// leader. With the longest pause that an instance does not notice
// (boottime.PauseLimit) it is shorter than OperatorPatience, so that the state which the
// change builds on was read before the operator can have made another call.
const sendWithin = 700 * time.Millisecond

// Call is an operator's call that asks for a change. It is carried out only while its
// operator waits, and only if no newer one on the same item was.
type Call struct {
	ID      CallID
	arrived time.Time
	// waits reports whether the operator still waits for the reply, as far as is known.
	waits func() bool
}

// NewCall returns a call that arrives now, with an ID of its own. Waits reports whether
// the operator still waits for the reply, as far as this instance knows.
func NewCall(waits func() bool) Call {
	return Call{ID: CallID(uuid.NewString()), arrived: time.Now(), waits: waits}
}

// MayBeSent reports whether the change that the call asks for may be sent. It is to be
// asked after the state was read that the change builds on.
func (c Call) MayBeSent() bool { return time.Since(c.arrived) < sendWithin && c.waits() }

// MoveRequest asks to move the traffic of a service to a version.
type MoveRequest struct {
	Service model.ServiceID `cbor:"1,keyasint"`
	To      model.VersionID `cbor:"2,keyasint"`
	// Duration is the time within which the move has to be complete.
	Duration time.Duration `cbor:"3,keyasint"`
	// Call and Expected are set by control; Expected is the revision of the newest
	// move of the service that the call builds on.
	Call     CallID         `cbor:"4,keyasint,omitempty"`
	Expected model.Revision `cbor:"5,keyasint,omitempty"`
}

// ApplyRequest asks for a change of the rules.
type ApplyRequest struct {
	// Base is the revision that the change is based on.
	Base   model.Revision `json:"base" cbor:"1,keyasint"`
	Text   string         `json:"text" cbor:"2,keyasint"`
	Author string         `json:"author" cbor:"3,keyasint"`
}

// Change is an accepted change of the rules.
type Change struct {
	Revision model.Revision `json:"revision" cbor:"1,keyasint"`
	// Hash is the SHA-256 of the text, in hexadecimal.
	Hash   string    `json:"hash" cbor:"2,keyasint"`
	Text   string    `json:"text" cbor:"3,keyasint"`
	Author string    `json:"author" cbor:"4,keyasint"`
	At     time.Time `json:"at" cbor:"5,keyasint"`
	Rules  rules.Set `json:"rules" cbor:"6,keyasint"`
}

// InForce lists the instances at which a revision is in force. It is in force
// everywhere when Missing is empty: each lease holder has acknowledged it or its
// lease has expired.
type InForce struct {
	Revision     model.Revision     `json:"revision" cbor:"1,keyasint"`
	Acknowledged []model.InstanceID `json:"acknowledged" cbor:"2,keyasint"`
	Missing      []model.InstanceID `json:"missing" cbor:"3,keyasint"`
}

// Quarantine is a quarantined request fingerprint.
type Quarantine struct {
	Fingerprint model.Fingerprint `json:"fingerprint" cbor:"1,keyasint"`
	// Deaths lists the targets that crashed while they ran such a request.
	Deaths []model.TargetID `json:"deaths" cbor:"2,keyasint"`
	At     time.Time        `json:"at" cbor:"3,keyasint"`
	// Until is when the quarantine ends, on the group clock: the time since the
	// control group was formed, see state.State.Clock. 0 means that it lasts until
	// an operator lifts it.
	Until time.Duration `json:"until,omitempty" cbor:"4,keyasint,omitempty"`
}

// LeaseHolder is an instance that holds a lease.
type LeaseHolder struct {
	Instance model.Instance `json:"instance" cbor:"1,keyasint"`
	// Remaining is the time until the lease expires on the leader's clock.
	Remaining    time.Duration  `json:"left" cbor:"2,keyasint"`
	Acknowledged model.Revision `json:"acknowledged" cbor:"3,keyasint"`
}

// EvidenceSink receives the evidence that entry instances report with their
// renewals.
// Only the leader calls it, from many goroutines at once; it must not block.
type EvidenceSink interface {
	Evidence(from model.InstanceID, e view.Evidence)
}

// Leader is the interface for modules that act on the leader only.
type Leader interface {
	// IsLeader reports whether this instance holds a valid leader lease of the
	// control group; see replica.Group.
	IsLeader() bool
	// Subscribe adds a sink. It may be called only while modules are provisioned.
	Subscribe(s EvidenceSink)
	// LocalMoves returns the moves as applied on this instance.
	LocalMoves() []move.State
	// ProposeStep proposes a step of a move. It fails with code not-leader on
	// other instances, and with code conflict when Expect does not match.
	ProposeStep(ctx context.Context, s move.Step) error
}
