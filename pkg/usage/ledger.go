package usage

import (
	"maps"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// decideAfter is how long after its end a window is decided if some instance has not
	// reported that it is complete.
	decideAfter = 4 * time.Second
	// decideLatest is how long after its end a window is decided although this leader
	// has not heard from every instance.
	decideLatest = 7 * time.Second
	// newTermWait is how long a new leader waits for reports even after decideLatest, and
	// decideFinally how long after a window's end it no longer does.
	newTermWait   = 1500 * time.Millisecond
	decideFinally = 9 * time.Second
	// lateWindows is the number of decided windows whose counts are kept, to notice counts
	// that arrive too late.
	lateWindows = 2
)

// Process identifies a process of an instance.
type Process struct {
	Instance model.InstanceID `cbor:"1,keyasint"`
	Boot     string           `cbor:"2,keyasint"`
}

// Ledger holds the reports that one leader has received in its term. Merging is
// idempotent and independent of the order of the reports.
type Ledger struct {
	term      uint64
	processes map[Process]*processReports
	// decided holds the total of each of the newest decided windows.
	decided map[Window]uint64
	// changed is set once counts were recorded since the last checkpoint.
	changed bool
}

// processReports are the merged reports of one process.
type processReports struct {
	// complete is set once the process has sent all its windows in this term.
	complete     bool
	since, final Window
	windows      map[Window][]Count
}

// NewLedger returns the Ledger of a leader's term.
func NewLedger(term uint64) *Ledger {
	return &Ledger{term: term, processes: make(map[Process]*processReports), decided: make(map[Window]uint64)}
}

// Record merges a report. Windows that were decided long ago are ignored, as are those
// after newest, which a wrong clock has counted.
func (l *Ledger) Record(from Process, r *Report, decided, newest Window) {
	p := l.reportsOf(from)
	p.complete = p.complete || r.Term == l.term
	if r.Final > 0 {
		if p.final == 0 {
			p.since = r.Since
		}
		p.since, p.final = min(p.since, r.Since), max(p.final, r.Final)
	}
	l.merge(p, r.Windows, decided.minus(lateWindows), newest)
}

func (l *Ledger) reportsOf(from Process) *processReports {
	p := l.processes[from]
	if p == nil {
		p = &processReports{windows: make(map[Window][]Count)}
		l.processes[from] = p
	}
	return p
}

// merge merges the windows after first up to newest into the reports of a process.
func (l *Ledger) merge(p *processReports, windows []WindowCounts, first, newest Window) {
	for _, w := range windows {
		if w.Window > first && w.Window <= newest && Total(w.Counts) > Total(p.windows[w.Window]) {
			p.windows[w.Window] = w.Counts
			l.changed = true
		}
	}
	for len(p.windows) > MaxWindows {
		delete(p.windows, slices.Min(slices.Collect(maps.Keys(p.windows))))
	}
}

// Counts returns the sum of all reports on a window, sorted by caller.
func (l *Ledger) Counts(w Window) []Count {
	runs := make(map[model.CallerID]uint64)
	for _, p := range l.processes {
		for _, c := range p.windows[w] {
			if _, counted := runs[c.Caller]; counted || len(runs) < MaxCallers {
				runs[c.Caller] += c.Runs
			}
		}
	}
	return sorted(runs)
}

// SetDecided records that a window was decided with the given counts.
func (l *Ledger) SetDecided(w Window, counts []Count) { l.decided[w] = Total(counts) }

// LateCount is a decided window of which more requests were counted since.
type LateCount struct {
	Window            Window
	Reported, Counted uint64
}

// TakeLate returns the newest decided windows of which more was counted since than the
// tolerance allows, each window once.
func (l *Ledger) TakeLate(tolerance float64) []LateCount {
	var late []LateCount
	for w, reported := range l.decided {
		if counted := Total(l.Counts(w)); float64(counted) > (1+tolerance)*float64(reported) {
			late = append(late, LateCount{Window: w, Reported: reported, Counted: counted})
			delete(l.decided, w)
		}
	}
	return late
}

// Discard drops the windows that were decided long ago, and processes that are not live
// and have none left.
func (l *Ledger) Discard(decided Window, live func(Process) bool) {
	discarded := func(w Window) bool { return w <= decided.minus(lateWindows) }
	maps.DeleteFunc(l.decided, func(w Window, _ uint64) bool { return discarded(w) })
	for from, p := range l.processes {
		maps.DeleteFunc(p.windows, func(w Window, _ []Count) bool { return discarded(w) })
		if len(p.windows) == 0 && !live(from) {
			delete(l.processes, from)
		}
	}
}

// oldestKnown returns the oldest window from first on that some process has counted.
func (l *Ledger) oldestKnown(first Window) (Window, bool) {
	oldest, known := Window(0), false
	consider := func(w Window) {
		if w >= first && (!known || w < oldest) {
			oldest, known = w, true
		}
	}
	for _, p := range l.processes {
		if p.final > 0 {
			consider(max(first, p.since))
		}
		for w := range p.windows {
			consider(w)
		}
	}
	return oldest, known
}

// Input is what the choice of the next window depends on beside the reports.
type Input struct {
	// Now and Started are the current time and the start of the leader's term, in true
	// time.
	Now, Started time.Duration
	// Length is the length of a window; a report on it is due Late after its end.
	Length, Late time.Duration
	// Decided is the newest window that was decided, if HasDecided is set.
	Decided    Window
	HasDecided bool
	// Live are the processes that hold leases. Boot is empty if this leader has not
	// heard from the process.
	Live []Process
}

// Next returns the oldest window that is to be decided now, or false if there is none.
func (l *Ledger) Next(in Input) (Window, bool) {
	w := l.oldestUndecided(in)
	if in.Now < w.End(in.Length) {
		return 0, false
	}
	since := in.Now - w.End(in.Length)
	if since >= decideFinally || since >= decideLatest && in.Now >= in.Started+newTermWait {
		return w, true
	}
	heard, final := true, true
	for _, from := range in.Live {
		p := l.processes[from]
		heard = heard && p != nil && p.complete
		final = final && p != nil && p.final > w
	}
	return w, heard && (final || since >= decideAfter)
}

// oldestUndecided returns the oldest window that is not decided. It passes over windows
// that ended more than Late ago and that no process has counted: the fleet was down, or
// what it counted is lost. Before the first decision there is none before the leader's
// term unless a process has counted it.
func (l *Ledger) oldestUndecided(in Input) Window {
	first, from := Window(0), WindowAt(in.Started, in.Length)
	if in.HasDecided {
		first = in.Decided + 1
		// The oldest window with an end less than Late ago.
		from = max(first, WindowAt(in.Now-in.Late, in.Length))
	}
	if known, ok := l.oldestKnown(first); ok {
		return min(known, from)
	}
	return from
}
