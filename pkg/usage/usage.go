// Package usage counts the calls of each caller that targets ran, by windows of true time,
// and decides what the whole fleet ran in a window. Entry instances keep a Counter
// and report it with their renewals; the leader of the control group merges the reports
// in a Ledger and estimates true time with an Estimator. The package does no I/O; the
// caller passes the time.
package usage

import (
	"cmp"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// MaxEntryWindows bounds the windows that an entry instance keeps.
	MaxEntryWindows = 8
	// MaxWindows bounds the windows that the leader keeps: those that are not decided,
	// and those that are decided but not accepted.
	MaxWindows = 64
	// MaxCallers bounds the callers of one window. Calls of further callers are not
	// counted.
	MaxCallers = 10_000
)

// Window is the number of a window. Window k begins k lengths of a window after the
// start of 1970.
type Window uint64

// WindowAt returns the window at a time since the start of 1970.
func WindowAt(t, length time.Duration) Window { return Window(max(0, t) / length) }

// End returns when the window ends, since the start of 1970.
func (w Window) End(length time.Duration) time.Duration { return time.Duration(w+1) * length }

// minus returns the window n before w, or the first one.
func (w Window) minus(n Window) Window { return w - min(w, n) }

// Recorder counts calls.
type Recorder interface {
	// RecordRun counts a call that a target may have run; it is called once for each. sent
	// is when the first request that may have run was sent, on the clock of boottime.Now.
	RecordRun(caller model.CallerID, sent time.Duration)
}

// Count is the number of calls of one caller that targets ran.
type Count struct {
	Caller model.CallerID `cbor:"1,keyasint"`
	Runs   uint64         `cbor:"2,keyasint"`
}

// WindowCounts are the counts of one window, sorted by caller.
type WindowCounts struct {
	Window Window  `cbor:"1,keyasint"`
	Counts []Count `cbor:"2,keyasint,omitempty"`
}

// ProcessCounts are the counts of one process, as in a checkpoint of the leader's ledger.
type ProcessCounts struct {
	Process Process        `cbor:"1,keyasint"`
	Windows []WindowCounts `cbor:"2,keyasint"`
}

// Total returns the sum of the counts. Counts of one process only grow, so of two
// reports on a window that with the larger total is the newer one.
func Total(counts []Count) uint64 {
	sum := uint64(0)
	for _, c := range counts {
		sum += c.Runs
	}
	return sum
}

// sorted returns the counts in order of the callers.
func sorted(runs map[model.CallerID]uint64) []Count {
	counts := make([]Count, 0, len(runs))
	for caller, n := range runs {
		counts = append(counts, Count{Caller: caller, Runs: n})
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Compare(a.Caller, b.Caller) })
	return counts
}

// Report is what a process sends with a renewal. Counts are cumulative for each window,
// so a report that arrives again or late changes nothing.
type Report struct {
	// Term is the newest term of a leader that has replied; 0 before the first reply. A
	// report with the leader's own term follows or is one with all windows.
	Term uint64 `cbor:"1,keyasint"`
	// The process has counted since window Since, and the windows before Final are
	// complete: each request that was sent in them has ended, or was sent at least
	// settleTime ago. Both are 0 until the process knows true time.
	Since Window `cbor:"2,keyasint"`
	Final Window `cbor:"3,keyasint"`
	// Windows are those with counts that this leader has not acknowledged.
	Windows []WindowCounts `cbor:"4,keyasint,omitempty"`
}
