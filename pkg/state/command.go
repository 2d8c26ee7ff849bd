// Package state implements the replicated state of the tier: rules and their
// history, traffic moves, quarantined requests, order claims, the instances that may
// hold leases, the routing table, evacuations of availability zones, and the holders of
// duties with the usage to report. State is a deterministic state machine; Machine guards
// it with a lock.
package state

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/duty"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/rules"
)

// Command is one change of the state. At most one of the pointers is set. A command
// without one is a barrier, which changes nothing else.
type Command struct {
	// Clock is the group clock: the age of the group as known to the proposing
	// leader. Claims expire by it, so that a jump of a wall clock cannot expire
	// them.
	Clock           time.Duration    `cbor:"1,keyasint"`
	ApplyRules      *ApplyRules      `cbor:"2,keyasint,omitempty"`
	StepMove        *move.Step       `cbor:"3,keyasint,omitempty"`
	TargetCrashes   *TargetCrashes   `cbor:"4,keyasint,omitempty"`
	LiftQuarantine  *LiftQuarantine  `cbor:"5,keyasint,omitempty"`
	PutInstance     *PutInstance     `cbor:"6,keyasint,omitempty"`
	RemoveInstances *RemoveInstances `cbor:"7,keyasint,omitempty"`
	Orders          *Orders          `cbor:"8,keyasint,omitempty"`
	PutTable        *PutTable        `cbor:"9,keyasint,omitempty"`
	Evacuate        *Evacuate        `cbor:"10,keyasint,omitempty"`
	StartMove       *StartMove       `cbor:"11,keyasint,omitempty"`
	AcquireDuty     *AcquireDuty     `cbor:"12,keyasint,omitempty"`
	DecideUsage     *DecideUsage     `cbor:"13,keyasint,omitempty"`
	AcceptUsage     *AcceptUsage     `cbor:"14,keyasint,omitempty"`
	SaveUsage       *SaveUsage       `cbor:"15,keyasint,omitempty"`
}

// StartMove starts a move of one service that an operator requested outside the rules.
// Move.Collection is then the ID of the service. The move is stored with
// move.State.Ordered set.
type StartMove struct {
	Move rules.Move `cbor:"1,keyasint"`
	At   time.Time  `cbor:"2,keyasint"`
	// Call is the operator's call. Commands without one, of earlier builds, are applied
	// whatever Expected is.
	Call control.CallID `cbor:"3,keyasint,omitempty"`
	// Expected is the revision of the newest move of the service when the call arrived,
	// 0 if there was none. The command is refused if there is a newer one.
	Expected model.Revision `cbor:"4,keyasint,omitempty"`
}

// PutTable replaces the routing table if its version is higher.
type PutTable struct {
	Table routing.Table `cbor:"1,keyasint"`
}

// Evacuate starts or ends the evacuation of an availability zone.
type Evacuate struct {
	AvailabilityZone model.AvailabilityZoneID `cbor:"1,keyasint"`
	// End ends the evacuation.
	End bool `cbor:"2,keyasint,omitempty"`
	// Call is the operator's call. Commands without one, of earlier builds, are applied
	// whatever Expected is.
	Call control.CallID `cbor:"3,keyasint,omitempty"`
	// Expected is the index of the newest command on the zone when the call arrived, 0
	// if there was none. The command is refused if there is a newer one.
	Expected uint64 `cbor:"4,keyasint,omitempty"`
}

// ApplyRules replaces the rules if Base is the newest revision.
type ApplyRules struct {
	Base   model.Revision `cbor:"1,keyasint"`
	Hash   string         `cbor:"2,keyasint"`
	Text   string         `cbor:"3,keyasint"`
	Author string         `cbor:"4,keyasint"`
	At     time.Time      `cbor:"5,keyasint"`
	Rules  rules.Set      `cbor:"6,keyasint"`
}

// TargetCrashes reports targets that crashed with requests in flight.
type TargetCrashes struct {
	Crashes []TargetCrash `cbor:"1,keyasint"`
	At      time.Time     `cbor:"2,keyasint"`
}

// TargetCrash is the crash of one incarnation of a target.
type TargetCrash struct {
	Target   model.TargetID      `cbor:"1,keyasint"`
	Boot     model.BootID        `cbor:"2,keyasint"`
	Suspects []model.Fingerprint `cbor:"3,keyasint"`
	// Trial is set if the target was running a suspect request in isolation.
	Trial bool `cbor:"4,keyasint,omitempty"`
	// NeverAnswered is set if the reporting instance knows of no target that ever
	// answered the suspects.
	NeverAnswered bool `cbor:"5,keyasint,omitempty"`
}

// LiftQuarantine ends the quarantine of a fingerprint.
type LiftQuarantine struct {
	Fingerprint model.Fingerprint `cbor:"1,keyasint"`
	Author      string            `cbor:"2,keyasint"`
	// Began is control.Quarantine.At of the quarantine to lift, in Unix seconds, which is
	// how precisely instances tell each other. Commands of earlier builds have none and
	// lift any.
	Began int64 `cbor:"3,keyasint,omitempty"`
}

// PutInstance records an instance before its first lease.
type PutInstance struct {
	Instance model.Instance `cbor:"1,keyasint"`
}

// RemoveInstances removes instances that hold no lease and will not return.
type RemoveInstances struct {
	Instances []model.InstanceID `cbor:"1,keyasint"`
}

// Orders is a batch of changes to order claims, applied in sequence.
type Orders struct {
	Changes []OrderChange `cbor:"1,keyasint"`
}

// OrderChange is one change to an order claim. Exactly one pointer is set.
type OrderChange struct {
	Claim   *Claim        `cbor:"1,keyasint,omitempty"`
	Outcome *ClaimOutcome `cbor:"2,keyasint,omitempty"`
}

// OrderKey identifies an order across the tier.
type OrderKey struct {
	Collection     model.CollectionID `cbor:"1,keyasint"`
	IdempotencyKey string             `cbor:"2,keyasint"`
}

// ClaimID identifies one attempt to run an order.
type ClaimID string

// Claim asks for the right to dispatch an order, which is a request that must run at
// most once.
type Claim struct {
	Key OrderKey `cbor:"1,keyasint"`
	// ContentHash covers the caller, the leaf key and the order.
	ContentHash string           `cbor:"2,keyasint"`
	Claimer     model.InstanceID `cbor:"3,keyasint"`
	ID          ClaimID          `cbor:"4,keyasint"`
	Request     model.RequestID  `cbor:"5,keyasint"`
	// UndispatchedClaim is the ID of an earlier claim whose claimer has proved that it
	// has not dispatched the order and never will. The new claim replaces it.
	UndispatchedClaim ClaimID `cbor:"6,keyasint,omitempty"`
	// Retention is how long the claim is kept, on the group clock.
	Retention time.Duration `cbor:"7,keyasint"`
}

// ClaimOutcome records the outcome of a claim.
type ClaimOutcome struct {
	Key          OrderKey `cbor:"1,keyasint"`
	ID           ClaimID  `cbor:"2,keyasint"`
	Phase        Phase    `cbor:"3,keyasint"`
	Confirmation string   `cbor:"4,keyasint,omitempty"`
}

// Phase is the phase of a claim.
type Phase string

// Phases of a claim.
const (
	// PhaseClaimed: the claimer may have dispatched the order.
	PhaseClaimed Phase = "claimed"
	// PhaseRan: a target executed the order.
	PhaseRan Phase = "ran"
	// PhaseUnknown: the order was sent once, and no reply shows whether it was
	// executed.
	PhaseUnknown Phase = "unknown"
	// PhaseUndispatched: the order was never sent and may be claimed again.
	PhaseUndispatched Phase = "undispatched"
)

// ClaimRecord is a claim as stored in the state.
type ClaimRecord struct {
	ContentHash  string           `cbor:"1,keyasint"`
	Claimer      model.InstanceID `cbor:"2,keyasint"`
	ID           ClaimID          `cbor:"3,keyasint"`
	Request      model.RequestID  `cbor:"4,keyasint"`
	Phase        Phase            `cbor:"5,keyasint"`
	Confirmation string           `cbor:"6,keyasint,omitempty"`
	// Expires is a time on the group clock.
	Expires time.Duration `cbor:"7,keyasint"`
}

// Result is the result of a command. Refusal is set if the command was refused and
// changed nothing.
type Result struct {
	Refusal *Refusal        `cbor:"1,keyasint,omitempty"`
	Change  *control.Change `cbor:"2,keyasint,omitempty"`
	// Quarantined are the fingerprints that this command quarantined.
	Quarantined []model.Fingerprint `cbor:"3,keyasint,omitempty"`
	// Orders has one result per OrderChange, in the same order.
	Orders []OrderResult `cbor:"4,keyasint,omitempty"`
	// TableVersion is the version of the routing table in force after a PutTable.
	TableVersion uint64 `cbor:"5,keyasint,omitempty"`
	// Duty is the record of the duty after an AcquireDuty.
	Duty *duty.Record `cbor:"6,keyasint,omitempty"`
}

// Refusal explains why a command was refused.
type Refusal struct {
	Code    failure.Code `cbor:"1,keyasint"`
	Message string       `cbor:"2,keyasint"`
}

// OrderResult is the result of an OrderChange.
type OrderResult struct {
	// Applied is set if the change took effect, or the claim with the given ID
	// still holds the order.
	Applied bool     `cbor:"1,keyasint"`
	Refusal *Refusal `cbor:"2,keyasint,omitempty"`
	// Record is the claim of the order after the change.
	Record *ClaimRecord `cbor:"3,keyasint,omitempty"`
}

func refuse(code failure.Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

// encoding is deterministic, so that equal states yield identical snapshots.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(fmt.Sprintf("state: encode options: %v", err))
	}
	return mode
}

// decoding accepts the largest snapshot, with MaxClaims claims.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("state: decode options: %v", err))
	}
	return mode
}

// Encode returns the command as encoded in the log.
func (c *Command) Encode() ([]byte, error) {
	b, err := encoding.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return b, nil
}

// DecodeResult decodes the result of a command.
func DecodeResult(b []byte) (*Result, error) {
	r := new(Result)
	if err := decoding.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return r, nil
}
