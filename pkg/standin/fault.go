package standin

import (
	"errors"
	"fmt"
	"strings"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

// FaultKind names a fault.
type FaultKind string

// Faults that last until they are cleared.
const (
	// KindSlow multiplies the service time by Factor and adds Delay.
	KindSlow FaultKind = "slow"
	// KindFail answers with Status.
	KindFail FaultKind = "fail"
	// KindCrashOnRequest crashes the target that runs a matching request.
	KindCrashOnRequest FaultKind = "crash-on-request"
	// KindShed refuses requests as load that is shed.
	KindShed FaultKind = "shed"
	// KindDrain refuses requests because the target is about to stop.
	KindDrain FaultKind = "drain"
	// KindFreeze leaves every request without a reply.
	KindFreeze FaultKind = "freeze"
	// KindHealth makes the health hint say Healthy.
	KindHealth FaultKind = "health"
	// KindLoad makes the load hint say InFlight.
	KindLoad FaultKind = "load"
	// KindStaleHints keeps both hints as they were when the fault was set.
	KindStaleHints FaultKind = "stale-hints"
	// KindReply damages replies as Reply says.
	KindReply FaultKind = "reply"
)

// Faults that happen once.
const (
	// KindCrash ends the target; it restarts after RestartAfter, or stays down
	// if that is 0.
	KindCrash FaultKind = "crash"
	// KindRestart starts a target that is down.
	KindRestart FaultKind = "restart"
	// KindCold turns the target cold without a restart.
	KindCold FaultKind = "cold"
	// KindHold makes the target hold Snapshot as well.
	KindHold FaultKind = "hold"
	// KindSwitch makes the target hold Snapshot and nothing else.
	KindSwitch FaultKind = "switch"
	// KindLeave marks the target as leaving in the platform's list.
	KindLeave FaultKind = "leave"
	// KindUnlist removes the target from the platform's list.
	KindUnlist FaultKind = "unlist"
	// KindList lists the target again, as not leaving.
	KindList FaultKind = "list"
)

// ReplyFault says how a reply is damaged.
type ReplyFault string

// Ways to damage a reply.
const (
	// ReplyLate sends the reply Delay after the request's deadline.
	ReplyLate ReplyFault = "late"
	// ReplyDuplicate sends the reply twice.
	ReplyDuplicate ReplyFault = "duplicate"
	// ReplySwap sends the reply that an earlier request should have had.
	ReplySwap ReplyFault = "swap"
	// ReplyTruncate closes the connection in the middle of the body.
	ReplyTruncate ReplyFault = "truncate"
	// ReplyWrongLength states a length that is less than that of the body.
	ReplyWrongLength ReplyFault = "wrong-length"
	// ReplyOtherSnapshot answers from another snapshot that the target holds,
	// and says so in the body.
	ReplyOtherSnapshot ReplyFault = "other-snapshot"
)

// Fault is a fault at some targets.
type Fault struct {
	// Name is used to clear the fault; empty means the kind.
	Name string    `json:"name,omitempty"`
	Kind FaultKind `json:"fault"`
	// Targets are patterns of target IDs in which "*" stands for any text; none
	// means all targets.
	Targets          []string                 `json:"targets,omitempty"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone,omitempty"`
	Version          model.VersionID          `json:"version,omitempty"`
	When             Condition                `json:"when,omitzero"`
	// For is the time until the fault is cleared; 0 means that it stays.
	For settings.Duration `json:"for,omitempty"`
	// Over spreads the fault evenly over the targets within this time.
	Over settings.Duration `json:"over,omitempty"`

	Factor       float64           `json:"factor,omitempty"`
	Delay        settings.Duration `json:"delay,omitempty"`
	Status       int               `json:"status,omitempty"`
	Healthy      bool              `json:"healthy,omitempty"`
	InFlight     int               `json:"inFlight,omitempty"`
	Reply        ReplyFault        `json:"reply,omitempty"`
	Snapshot     model.SnapshotID  `json:"snapshot,omitempty"`
	RestartAfter settings.Duration `json:"restartAfter,omitempty"`
}

// RequestKind tells queries from orders.
type RequestKind string

// Kinds of requests.
const (
	RequestKindQuery RequestKind = "query"
	RequestKindOrder RequestKind = "order"
)

// Condition selects the requests that a fault concerns. Zero fields do not
// restrict it.
type Condition struct {
	Kind  RequestKind `json:"kind,omitempty"`
	Route model.Route `json:"route,omitempty"`
	// Query is a part of the text of the query or the order.
	Query string `json:"query,omitempty"`
	// Fraction is the share of requests concerned, from 0 to 1.
	Fraction float64 `json:"fraction,omitempty"`
	// AfterRequests is the number of requests that pass unharmed at each target.
	AfterRequests int64 `json:"afterRequests,omitempty"`
	// After is the time in which requests pass unharmed.
	After settings.Duration `json:"after,omitempty"`
	// MinInFlight is the least number of requests in progress at the target.
	MinInFlight int64 `json:"minInFlight,omitempty"`
}

// ScheduledFault is a fault at a time since the start.
type ScheduledFault struct {
	At    settings.Duration `json:"at"`
	Fault Fault             `json:"set,omitzero"`
	// Clear names a fault to clear instead; "*" means all.
	Clear string `json:"clear,omitempty"`
}

// Check reports mistakes in the step.
func (s ScheduledFault) Check() error {
	if s.Clear != "" {
		return nil
	}
	return s.Fault.Check()
}

// Check reports mistakes in the fault.
func (f Fault) Check() error {
	var errs []error
	require := func(field string, present bool) {
		if !present {
			errs = append(errs, fmt.Errorf("fault %s: %s is missing or wrong", f.Kind, field))
		}
	}
	switch f.Kind {
	case KindSlow:
		require("factor or delay", f.Factor > 0 || f.Delay > 0)
	case KindFail:
		require("status", f.Status >= 400 && f.Status <= 599)
	case KindHold, KindSwitch:
		require("snapshot", f.Snapshot != "")
	case KindReply:
		require("reply", f.Reply.isKnown())
	case KindCrashOnRequest, KindShed, KindDrain, KindFreeze, KindHealth, KindLoad, KindStaleHints, KindCrash,
		KindRestart, KindCold, KindLeave, KindUnlist, KindList:
	default:
		errs = append(errs, fmt.Errorf("fault %q is not known", f.Kind))
	}
	require("when.kind", f.When.Kind == "" || f.When.Kind == RequestKindQuery || f.When.Kind == RequestKindOrder)
	require("when.fraction", f.When.Fraction >= 0 && f.When.Fraction <= 1)
	return errors.Join(errs...)
}

func (r ReplyFault) isKnown() bool {
	switch r {
	case ReplyLate, ReplyDuplicate, ReplySwap, ReplyTruncate, ReplyWrongLength, ReplyOtherSnapshot:
		return true
	}
	return false
}

func (f Fault) name() string {
	if f.Name != "" {
		return f.Name
	}
	return string(f.Kind)
}

// AppliesTo reports whether the fault is meant for the target.
func (f Fault) AppliesTo(t model.Target) bool {
	if f.AvailabilityZone != "" && f.AvailabilityZone != t.AvailabilityZone {
		return false
	}
	if f.Version != "" && f.Version != t.Version {
		return false
	}
	if len(f.Targets) == 0 {
		return true
	}
	for _, pattern := range f.Targets {
		if matchPattern(pattern, string(t.ID)) {
			return true
		}
	}
	return false
}

// matchPattern reports whether text matches a pattern in which "*" stands for
// any text.
func matchPattern(pattern, text string) bool {
	parts := strings.Split(pattern, "*")
	if len(parts) == 1 {
		return pattern == text
	}
	rest, ok := strings.CutPrefix(text, parts[0])
	if !ok {
		return false
	}
	last := len(parts) - 1
	for _, part := range parts[1:last] {
		_, after, found := strings.Cut(rest, part)
		if !found {
			return false
		}
		rest = after
	}
	return strings.HasSuffix(rest, parts[last])
}
