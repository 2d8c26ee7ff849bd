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

// Persistent faults, which last until they are cleared.
const (
	// KindSlow multiplies the service time by Factor and adds Delay.
	KindSlow FaultKind = "slow"
	// KindFail replies with Status.
	KindFail FaultKind = "fail"
	// KindCrashOnRequest crashes the target that processes a matching request.
	KindCrashOnRequest FaultKind = "crash-on-request"
	// KindShed refuses requests as an overloaded target does.
	KindShed FaultKind = "shed"
	// KindDrain refuses requests as a target does that is about to stop.
	KindDrain FaultKind = "drain"
	// KindFreeze delays the reply to every request until the fault is cleared.
	KindFreeze FaultKind = "freeze"
	// KindHealth sets the reported health to Healthy.
	KindHealth FaultKind = "health"
	// KindLoad sets the reported load to InFlight.
	KindLoad FaultKind = "load"
	// KindStaleHints keeps reporting the health and the load as they were when
	// the fault was set.
	KindStaleHints FaultKind = "stale-hints"
	// KindReply damages replies in the way that Reply selects.
	KindReply FaultKind = "reply"
)

// One-time faults.
const (
	// KindCrash stops the target abruptly; it restarts after RestartAfter, or
	// stays down if that is 0.
	KindCrash FaultKind = "crash"
	// KindRestart starts a target that is down.
	KindRestart FaultKind = "restart"
	// KindCold makes the target cold without a restart.
	KindCold FaultKind = "cold"
	// KindHold makes the target hold Snapshot in addition to its others.
	KindHold FaultKind = "hold"
	// KindSwitch makes the target hold Snapshot and no other.
	KindSwitch FaultKind = "switch"
	// KindLeave marks the target as leaving in the platform's list.
	KindLeave FaultKind = "leave"
	// KindUnlist removes the target from the platform's list.
	KindUnlist FaultKind = "unlist"
	// KindList puts the target back into the platform's list, as not leaving.
	KindList FaultKind = "list"
)

// ReplyFault is a way to damage a reply.
type ReplyFault string

// Ways to damage a reply.
const (
	// ReplyLate sends the reply Delay after the request's deadline.
	ReplyLate ReplyFault = "late"
	// ReplyDuplicate sends the reply twice.
	ReplyDuplicate ReplyFault = "duplicate"
	// ReplySwap sends a reply that belongs to the previous query.
	ReplySwap ReplyFault = "swap"
	// ReplyTruncate closes the connection halfway through the body.
	ReplyTruncate ReplyFault = "truncate"
	// ReplyWrongLength sends a Content-Length that is less than that of the body.
	ReplyWrongLength ReplyFault = "wrong-length"
	// ReplyOtherSnapshot replies from another snapshot that the target holds and
	// names that snapshot in the body.
	ReplyOtherSnapshot ReplyFault = "other-snapshot"
)

// Fault is a fault to inject at the selected targets.
type Fault struct {
	// Name identifies the fault for clearing it; the default is the kind.
	Name string    `json:"name,omitempty"`
	Kind FaultKind `json:"fault"`
	// Targets are patterns of target IDs in which "*" matches any text; an empty
	// list selects all targets.
	Targets          []string                 `json:"targets,omitempty"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone,omitempty"`
	Version          model.VersionID          `json:"version,omitempty"`
	When             Condition                `json:"when,omitzero"`
	// For is the time until the fault is cleared; 0 means that it is not cleared
	// automatically.
	For settings.Duration `json:"for,omitempty"`
	// Over is the time within which the fault is set at one target after another,
	// at equal intervals.
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

// RequestKind is the kind of a request to a target.
type RequestKind string

// Kinds of requests.
const (
	RequestKindQuery RequestKind = "query"
	RequestKindOrder RequestKind = "order"
)

// Condition selects the requests that a fault applies to. Zero fields match
// every request.
type Condition struct {
	Kind  RequestKind `json:"kind,omitempty"`
	Route model.Route `json:"route,omitempty"`
	// Query is a substring of the text of the query or order.
	Query string `json:"query,omitempty"`
	// Fraction is the share of requests, from 0 to 1, that match at random; 0
	// matches all.
	Fraction float64 `json:"fraction,omitempty"`
	// AfterRequests is the number of the first request that the fault affects;
	// 0 and 1 affect all. Requests are counted per target from when the fault was
	// set, whether or not they match.
	AfterRequests int64 `json:"afterRequests,omitempty"`
	// After is the time from setting the fault until it takes effect.
	After settings.Duration `json:"after,omitempty"`
	// MinInFlight is the minimum number of requests in flight at the target.
	MinInFlight int64 `json:"minInFlight,omitempty"`
}

// ScheduledFault sets or clears a fault at a fixed time after the start.
type ScheduledFault struct {
	At    settings.Duration `json:"at"`
	Fault Fault             `json:"set,omitzero"`
	// Clear names a fault to clear instead of setting one; "*" clears all.
	Clear string `json:"clear,omitempty"`
}

// Check returns all errors in the fault to set.
func (s ScheduledFault) Check() error {
	if s.Clear != "" {
		return nil
	}
	return s.Fault.Check()
}

// Check returns all errors in the fault.
func (f Fault) Check() error {
	var errs []error
	require := func(field string, present bool) {
		if !present {
			errs = append(errs, fmt.Errorf("fault %s: %s is missing or invalid", f.Kind, field))
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

// AppliesTo reports whether the fault selects the target.
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

// matchPattern reports whether text matches a pattern in which "*" matches any
// text.
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
