package server

import (
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/duty"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/usage"
)

// maxListedAccepted bounds the accepted windows in the status.
const maxListedAccepted = 8

// DutyStatus is the state of a duty as a control member knows it.
type DutyStatus struct {
	Name duty.Name `json:"name"`
	// Holder is empty if nobody has acquired the duty yet.
	Holder  model.InstanceID `json:"holder,omitempty"`
	Process string           `json:"process,omitempty"`
	Token   uint64           `json:"token"`
	// HeldMilliseconds is how long ago the duty was acquired, on the group clock.
	HeldMilliseconds int64 `json:"heldMilliseconds"`
	// MayAct is set if this process has the right to make calls now; otherwise Reason
	// says why not.
	MayAct bool   `json:"mayAct"`
	Reason string `json:"reason,omitempty"`
	// LastCall is the newest call of this process, if it has made one.
	LastCall *LastCall `json:"lastCall,omitempty"`
	// Windows are the newest accepted windows and all that are not accepted, by number.
	Windows []WindowStatus `json:"windows"`
	// Dropped counts the windows that were dropped before they were accepted.
	Dropped uint64 `json:"dropped,omitempty"`
}

// LastCall is a call of a duty that was made.
type LastCall struct {
	Window usage.Window `json:"window"`
	Token  uint64       `json:"token"`
	Answer string       `json:"answer"`
	Detail string       `json:"detail,omitempty"`
	// AgoMilliseconds is how long ago the answer arrived.
	AgoMilliseconds int64 `json:"agoMilliseconds"`
	// at is when the answer arrived, on the boot-time clock.
	at time.Duration
}

// WindowStatus is a decided window. The content of an accepted one is not kept.
type WindowStatus struct {
	Window   usage.Window `json:"window"`
	Accepted bool         `json:"accepted"`
	Callers  int          `json:"callers,omitempty"`
	Runs     uint64       `json:"runs,omitempty"`
}

// dutyStatus returns the state of the duty to report usage, or nil if it is not set.
func (s *Server) dutyStatus() *DutyStatus {
	if !s.settings.Duties.ReportsUsage() {
		return nil
	}
	d := &DutyStatus{Name: duty.Usage}
	s.machine.Read(func(st *state.State) {
		record := st.Duty(duty.Usage)
		d.Holder, d.Process, d.Token = record.Holder, record.Process, record.Token
		d.HeldMilliseconds = (st.Clock() - record.AcquiredAt).Milliseconds()
		progress, _ := st.UsageProgress()
		d.Dropped = progress.Dropped
		for _, w := range progress.Accepted[max(0, len(progress.Accepted)-maxListedAccepted):] {
			d.Windows = append(d.Windows, WindowStatus{Window: w, Accepted: true})
		}
		for _, w := range st.UsagePending() {
			d.Windows = append(d.Windows, WindowStatus{Window: w.Window, Callers: len(w.Counts), Runs: usage.Total(w.Counts)})
		}
	})
	slices.SortFunc(d.Windows, func(a, b WindowStatus) int { return int(a.Window) - int(b.Window) })
	claim, refused := s.duties.claimToCheck()
	if err := claim.Check(s.standing(refused)); err != nil {
		d.Reason = err.Error()
	}
	d.MayAct = d.Reason == ""
	d.LastCall = s.duties.lastCall()
	return d
}

// lastCall returns a copy of the newest call, or nil.
func (k *dutyKeeper) lastCall() *LastCall {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.last == nil {
		return nil
	}
	last := *k.last
	last.AgoMilliseconds = (k.clocks.Boot() - last.at).Milliseconds()
	return &last
}
