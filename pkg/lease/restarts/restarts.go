// Package restarts estimates which share of the fleet's processes has ended recently
// without returning its lease. Targets may still count the connections of such a process.
// It is the leader's side and does no I/O: the caller passes the time on its monotonic
// clock.
//
// A new leader knows which instances are recorded in the replicated state, but not which
// of them are running. It therefore compares with the instances that have renewed in its
// own term: after a power loss the first renewals all come from new processes.
package restarts

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// DefaultRelease is how long targets may count the connections of an ended process if the
// settings do not say.
const DefaultRelease = 6 * time.Second

// Renewal is the part of a renewal that the Tracker needs.
type Renewal struct {
	Instance model.InstanceID
	// Boot differs between processes with the same InstanceID.
	Boot string
	// New is set if the process has not received a reply to a renewal yet.
	New bool
	// Recorded is set if the instance was recorded in the replicated state before this
	// renewal, which it is not after it has returned its lease.
	Recorded bool
}

// Estimate is the state of the fleet at one moment. The zero Estimate means that no process
// has ended uncleanly.
type Estimate struct {
	// Share is the number of instances with such a process, as a share of all known ones.
	Share float64
	// Left is how long targets may still count their connections.
	Left time.Duration
}

// Tracker holds what the leader has observed. It is not safe for concurrent use.
type Tracker struct {
	release   time.Duration
	processes map[model.InstanceID]process
	// ended is the number of processes with an end, and newestEnd the latest one.
	ended     int
	newestEnd time.Duration
}

type process struct {
	boot string
	// seen is when the instance renewed last, or its lease expired.
	seen time.Duration
	// hasEnd is set if a process of the instance ended uncleanly at end, at the latest.
	hasEnd bool
	end    time.Duration
}

// New returns a Tracker. Targets count the connections of an ended process for at most
// release.
func New(release time.Duration) *Tracker {
	return &Tracker{release: release, processes: make(map[model.InstanceID]process)}
}

// Renewed records a renewal.
func (t *Tracker) Renewed(now time.Duration, r Renewal) {
	p, known := t.processes[r.Instance]
	restarted := known && p.boot != "" && p.boot != r.Boot || !known && r.New && r.Recorded
	p.boot, p.seen = r.Boot, now
	if restarted {
		t.setEnd(&p, now)
	}
	t.processes[r.Instance] = p
}

// Expired records that the lease of an instance has expired.
func (t *Tracker) Expired(now time.Duration, id model.InstanceID) {
	p := t.processes[id]
	p.boot, p.seen = "", now
	t.setEnd(&p, now)
	t.processes[id] = p
}

// Returned records that a process has returned its lease, and so closed its connections.
func (t *Tracker) Returned(id model.InstanceID) {
	p := t.processes[id]
	if p.hasEnd {
		t.ended--
	}
	delete(t.processes, id)
}

func (t *Tracker) setEnd(p *process, now time.Duration) {
	if p.hasEnd {
		return
	}
	p.hasEnd, p.end = true, now
	t.ended++
	t.newestEnd = max(t.newestEnd, now)
}

// Tick forgets ends whose connections have been released, and instances that have not
// renewed since.
func (t *Tracker) Tick(now time.Duration) {
	for id, p := range t.processes {
		if p.hasEnd && now >= p.end+t.release {
			p.hasEnd = false
			t.ended--
			t.processes[id] = p
		}
		if !p.hasEnd && now >= p.seen+t.release {
			delete(t.processes, id)
		}
	}
}

// Estimate returns the state of the fleet.
func (t *Tracker) Estimate(now time.Duration) Estimate {
	left := t.newestEnd + t.release - now
	if t.ended == 0 || left <= 0 {
		return Estimate{}
	}
	return Estimate{Share: float64(t.ended) / float64(len(t.processes)), Left: left}
}
