package state

import (
	"cmp"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/duty"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/usage"
)

const (
	// MaxDuties limits the number of duties.
	MaxDuties = 16
	// maxAccepted limits the accepted windows that are kept for operators.
	maxAccepted = 32
)

// AcquireDuty makes a process of an instance the holder of a duty. The index of the
// command is the fencing token.
type AcquireDuty struct {
	Name    duty.Name        `cbor:"1,keyasint"`
	Holder  model.InstanceID `cbor:"2,keyasint"`
	Process string           `cbor:"3,keyasint"`
	// Lease is how long after the duty was last acquired another instance has to wait,
	// on the group clock.
	Lease time.Duration `cbor:"4,keyasint"`
}

// DecideUsage fixes the content of the report on a window.
type DecideUsage struct {
	// Token is the fencing token of the duty to report.
	Token  uint64       `cbor:"1,keyasint"`
	Window usage.Window `cbor:"2,keyasint"`
	// Counts are sorted by caller.
	Counts []usage.Count `cbor:"3,keyasint,omitempty"`
}

// AcceptUsage records that the platform has accepted the report on a window.
type AcceptUsage struct {
	Window usage.Window `cbor:"1,keyasint"`
}

// SaveUsage replaces the checkpoint of what was counted in windows that are not decided.
type SaveUsage struct {
	// Token is the fencing token of the duty to report.
	Token  uint64                `cbor:"1,keyasint"`
	Counts []usage.ProcessCounts `cbor:"2,keyasint"`
}

// UsageProgress is which windows were decided and accepted.
type UsageProgress struct {
	// Decided is the newest window that was decided; windows are decided in order.
	Decided usage.Window `cbor:"1,keyasint"`
	// Accepted are the newest accepted windows, in order of acceptance.
	Accepted []usage.Window `cbor:"2,keyasint,omitempty"`
	// Dropped counts the windows that were dropped before they were accepted.
	Dropped uint64 `cbor:"3,keyasint,omitempty"`
}

func (s *State) acquireDuty(index uint64, a *AcquireDuty) *Result {
	held, known := s.data.Duties[a.Name]
	switch {
	case !known && len(s.data.Duties) >= MaxDuties:
		return &Result{Refusal: refuse(failure.Overloaded, "the limit of %d duties is reached", MaxDuties)}
	case !held.MayAcquire(s.data.Clock, a.Holder, a.Lease):
		return &Result{Refusal: refuse(failure.Conflict, "%s acquired the duty %s less than %v ago", held.Holder, a.Name, a.Lease)}
	}
	if s.data.Duties == nil {
		s.data.Duties = make(map[duty.Name]duty.Record)
	}
	next := duty.Record{Name: a.Name, Holder: a.Holder, Process: a.Process, Token: index, AcquiredAt: s.data.Clock}
	s.data.Duties[a.Name] = next
	return &Result{Duty: &next}
}

// decideUsage decides a window once. A window is refused unless it is newer than all
// that were decided, also those that were accepted or dropped since.
func (s *State) decideUsage(d *DecideUsage) *Result {
	p := s.data.UsageProgress
	switch {
	case s.data.Duties[duty.Usage].Token != d.Token:
		return &Result{Refusal: refuse(failure.Conflict, "token %d was replaced by token %d", d.Token, s.data.Duties[duty.Usage].Token)}
	case p != nil && d.Window <= p.Decided:
		return &Result{Refusal: refuse(failure.Conflict, "window %d is not newer than window %d, which was decided", d.Window, p.Decided)}
	}
	next := UsageProgress{}
	if p != nil {
		next = *p
	}
	next.Decided = d.Window
	pending := append(slices.Clone(s.data.UsagePending), usage.WindowCounts{Window: d.Window, Counts: d.Counts})
	if over := len(pending) - usage.MaxWindows; over > 0 {
		next.Dropped += uint64(over)
		pending = pending[over:]
	}
	s.data.UsagePending, s.data.UsageProgress = pending, &next
	return &Result{}
}

// acceptUsage drops the content of a window. Accepting it again changes nothing.
func (s *State) acceptUsage(a *AcceptUsage) *Result {
	i, ok := slices.BinarySearchFunc(s.data.UsagePending, a.Window, func(w usage.WindowCounts, t usage.Window) int { return cmp.Compare(w.Window, t) })
	if !ok {
		return &Result{}
	}
	s.data.UsagePending = slices.Delete(slices.Clone(s.data.UsagePending), i, i+1)
	next := *s.data.UsageProgress
	next.Accepted = append(slices.Clone(next.Accepted), a.Window)
	next.Accepted = next.Accepted[max(0, len(next.Accepted)-maxAccepted):]
	s.data.UsageProgress = &next
	return &Result{}
}

// saveUsage replaces the checkpoint, unless another holder has acquired the duty.
func (s *State) saveUsage(c *SaveUsage) *Result {
	if newest := s.data.Duties[duty.Usage].Token; newest != c.Token {
		return &Result{Refusal: refuse(failure.Conflict, "token %d was replaced by token %d", c.Token, newest)}
	}
	s.data.UsageCheckpoint = c.Counts
	return &Result{}
}

// UsageCheckpoint returns what was counted in windows that are not decided, and in some
// that are. The caller must not modify it.
func (s *State) UsageCheckpoint() []usage.ProcessCounts { return s.data.UsageCheckpoint }

// Duty returns the holder of a duty; its Token is 0 if there was none yet.
func (s *State) Duty(name duty.Name) duty.Record { return s.data.Duties[name] }

// UsagePending returns the windows that were decided and not accepted, oldest first. The
// caller must not modify them.
func (s *State) UsagePending() []usage.WindowCounts { return s.data.UsagePending }

// UsageProgress returns which windows were decided and accepted, and false if none was.
func (s *State) UsageProgress() (UsageProgress, bool) {
	if s.data.UsageProgress == nil {
		return UsageProgress{}, false
	}
	return *s.data.UsageProgress, true
}
