// Package state is the replicated state of the tier: rules and their history,
// moves of traffic, quarantined requests, order claims and the instances that
// may hold leases. State is a pure state machine; Machine puts it behind a lock.
package state

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/rules"
)

// Command is one change of the state. Exactly one of the pointers is set, or
// none for a barrier, which changes nothing.
type Command struct {
	// Clock is the age of the group, as the proposing leader knows it. Claims
	// expire by it, so that no step of a wall clock can expire them.
	Clock           time.Duration    `cbor:"1,keyasint"`
	ApplyRules      *ApplyRules      `cbor:"2,keyasint,omitempty"`
	StepMove        *move.Step       `cbor:"3,keyasint,omitempty"`
	Deaths          *Deaths          `cbor:"4,keyasint,omitempty"`
	LiftQuarantine  *LiftQuarantine  `cbor:"5,keyasint,omitempty"`
	PutInstance     *PutInstance     `cbor:"6,keyasint,omitempty"`
	RemoveInstances *RemoveInstances `cbor:"7,keyasint,omitempty"`
	Orders          *Orders          `cbor:"8,keyasint,omitempty"`
	PutTable        *PutTable        `cbor:"9,keyasint,omitempty"`
	Evacuate        *Evacuate        `cbor:"10,keyasint,omitempty"`
	StartMove       *StartMove       `cbor:"11,keyasint,omitempty"`
}

// StartMove begins a move of one service that an operator ordered by itself.
type StartMove struct {
	Move rules.Move `cbor:"1,keyasint"`
	At   time.Time  `cbor:"2,keyasint"`
}

// PutTable replaces the routing table if its version is higher.
type PutTable struct {
	Table routing.Table `cbor:"1,keyasint"`
}

// Evacuate begins or ends the evacuation of an availability zone.
type Evacuate struct {
	AvailabilityZone model.AvailabilityZoneID `cbor:"1,keyasint"`
	// End withdraws the evacuation.
	End bool `cbor:"2,keyasint,omitempty"`
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

// Deaths reports targets that died with requests in flight.
type Deaths struct {
	Deaths []Death   `cbor:"1,keyasint"`
	At     time.Time `cbor:"2,keyasint"`
}

// Death is the death of one incarnation of a target.
type Death struct {
	Target   model.TargetID      `cbor:"1,keyasint"`
	Boot     model.BootID        `cbor:"2,keyasint"`
	Suspects []model.Fingerprint `cbor:"3,keyasint"`
	// Trial is set if the target had been given a suspect request alone.
	Trial bool `cbor:"4,keyasint,omitempty"`
	// NeverAnswered is set if the reporting instance knows of no target that has
	// answered the suspects.
	NeverAnswered bool `cbor:"5,keyasint,omitempty"`
}

// LiftQuarantine ends a quarantine.
type LiftQuarantine struct {
	Fingerprint model.Fingerprint `cbor:"1,keyasint"`
	Author      string            `cbor:"2,keyasint"`
}

// PutInstance records an instance before its first lease.
type PutInstance struct {
	Instance model.Instance `cbor:"1,keyasint"`
}

// RemoveInstances removes instances that hold no lease and will not come back.
type RemoveInstances struct {
	Instances []model.InstanceID `cbor:"1,keyasint"`
}

// Orders is a batch of changes of order claims, carried out in order.
type Orders struct {
	Changes []OrderChange `cbor:"1,keyasint"`
}

// OrderChange is one change of an order claim; exactly one pointer is set.
type OrderChange struct {
	Claim   *Claim        `cbor:"1,keyasint,omitempty"`
	Outcome *ClaimOutcome `cbor:"2,keyasint,omitempty"`
}

// OrderKey names an order within the whole tier.
type OrderKey struct {
	Collection     model.CollectionID `cbor:"1,keyasint"`
	IdempotencyKey string             `cbor:"2,keyasint"`
}

// ClaimID names one attempt to run an order.
type ClaimID string

// Claim asks for the right to dispatch an order.
type Claim struct {
	Key OrderKey `cbor:"1,keyasint"`
	// ContentHash is the hash of the caller, the leaf key and the order.
	ContentHash string           `cbor:"2,keyasint"`
	Claimer     model.InstanceID `cbor:"3,keyasint"`
	ID          ClaimID          `cbor:"4,keyasint"`
	Request     model.RequestID  `cbor:"5,keyasint"`
	// Undispatched names an earlier claim whose claimer has proved that it
	// dispatched nothing and never will; the new claim takes its place.
	Undispatched ClaimID `cbor:"6,keyasint,omitempty"`
	// Retention is how long the claim is kept, on the clock of the group.
	Retention time.Duration `cbor:"7,keyasint"`
}

// ClaimOutcome records how a claim ended.
type ClaimOutcome struct {
	Key          OrderKey `cbor:"1,keyasint"`
	ID           ClaimID  `cbor:"2,keyasint"`
	Phase        Phase    `cbor:"3,keyasint"`
	Confirmation string   `cbor:"4,keyasint,omitempty"`
}

// Phase is how far a claim has come.
type Phase string

// Phases of a claim.
const (
	// PhaseClaimed: the claimer may have dispatched the order.
	PhaseClaimed Phase = "claimed"
	// PhaseRan: a target ran the order.
	PhaseRan Phase = "ran"
	// PhaseUnknown: the order was sent once and no reply proves either.
	PhaseUnknown Phase = "unknown"
	// PhaseUndispatched: the order was never sent; it may be claimed again.
	PhaseUndispatched Phase = "undispatched"
)

// ClaimRecord is a claim as the state keeps it.
type ClaimRecord struct {
	ContentHash  string           `cbor:"1,keyasint"`
	Claimer      model.InstanceID `cbor:"2,keyasint"`
	ID           ClaimID          `cbor:"3,keyasint"`
	Request      model.RequestID  `cbor:"4,keyasint"`
	Phase        Phase            `cbor:"5,keyasint"`
	Confirmation string           `cbor:"6,keyasint,omitempty"`
	// Expires is on the clock of the group.
	Expires time.Duration `cbor:"7,keyasint"`
}

// Result is the answer to a command. Refusal is set if nothing was changed.
type Result struct {
	Refusal *Refusal        `cbor:"1,keyasint,omitempty"`
	Change  *control.Change `cbor:"2,keyasint,omitempty"`
	// Quarantined are the fingerprints that this command condemned.
	Quarantined []model.Fingerprint `cbor:"3,keyasint,omitempty"`
	// Orders has one result for each OrderChange.
	Orders []OrderResult `cbor:"4,keyasint,omitempty"`
	// TableVersion is the version of the routing table after a PutTable.
	TableVersion uint64 `cbor:"5,keyasint,omitempty"`
}

// Refusal says why a command changed nothing.
type Refusal struct {
	Code    failure.Code `cbor:"1,keyasint"`
	Message string       `cbor:"2,keyasint"`
}

// OrderResult is the answer to an OrderChange.
type OrderResult struct {
	// Granted is set if the claim with the given ID holds the order.
	Granted bool     `cbor:"1,keyasint"`
	Refusal *Refusal `cbor:"2,keyasint,omitempty"`
	// Record is the claim that holds the order after the change.
	Record *ClaimRecord `cbor:"3,keyasint,omitempty"`
}

func refuse(code failure.Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

// encoding is deterministic, so that equal states have equal snapshots.
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

// decoding allows the largest snapshot, MaxClaims included.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("state: decode options: %v", err))
	}
	return mode
}

// Encode returns the command as it stands in the log.
func (c *Command) Encode() ([]byte, error) {
	b, err := encoding.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return b, nil
}

// DecodeResult reads the answer to a command.
func DecodeResult(b []byte) (*Result, error) {
	r := new(Result)
	if err := decoding.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return r, nil
}
