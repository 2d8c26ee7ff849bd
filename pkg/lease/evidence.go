package lease

import (
	"slices"
	"sync"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// Bounds of the evidence that waits for the next renewal, for each kind.
const (
	maxDeaths   = 64
	maxSigns    = 1024
	maxOutcomes = 4096
	maxStops    = 64
	maxCosts    = 4096
)

// reporter collects evidence until a renewal takes it.
type reporter struct {
	// urgent is called when evidence should not wait for the next renewal.
	urgent func()

	mu       sync.Mutex
	evidence view.Evidence
	outcomes map[outcomeKey]int
	costs    map[model.TargetID]int
	dropped  map[string]bool
}

type outcomeKey struct {
	collection model.CollectionID
	version    model.VersionID
	route      model.Route
	window     uint64
}

func newReporter(urgent func()) *reporter {
	return &reporter{
		urgent: urgent, outcomes: make(map[outcomeKey]int), costs: make(map[model.TargetID]int),
		dropped: make(map[string]bool),
	}
}

// Report adds evidence. Deaths, signs of cold and stopped versions are sent at
// once, the rest with the next renewal.
func (r *reporter) Report(e view.Evidence) {
	r.mu.Lock()
	r.evidence.Deaths = add(r, "deaths", r.evidence.Deaths, e.Deaths, maxDeaths)
	r.evidence.Cold = add(r, "cold", r.evidence.Cold, e.Cold, maxSigns)
	r.evidence.Warm = add(r, "warm", r.evidence.Warm, e.Warm, maxSigns)
	r.evidence.Stop = add(r, "stop", r.evidence.Stop, e.Stop, maxStops)
	for _, o := range e.Outcomes {
		r.addOutcome(o)
	}
	for _, s := range e.Costs {
		r.addCost(s)
	}
	r.mu.Unlock()
	if len(e.Deaths)+len(e.Cold)+len(e.Stop) > 0 {
		r.urgent()
	}
}

// add appends items and drops the oldest over the bound.
func add[T any](r *reporter, kind string, old, items []T, bound int) []T {
	all := append(old, items...)
	if over := len(all) - bound; over > 0 {
		r.noteDropped(kind)
		all = slices.Clone(all[over:])
	}
	return all
}

// noteDropped writes one event for each kind and batch.
func (r *reporter) noteDropped(kind string) {
	if !r.dropped[kind] {
		r.dropped[kind] = true
		events.Emit(events.EvidenceDropped, kind)
	}
}

// addOutcome adds counts to those of the same version, route and window.
func (r *reporter) addOutcome(o view.Outcome) {
	key := outcomeKey{o.Collection, o.Version, o.Route, o.Window}
	if i, ok := r.outcomes[key]; ok {
		sum(&r.evidence.Outcomes[i], o)
		return
	}
	if len(r.evidence.Outcomes) >= maxOutcomes {
		r.noteDropped("outcomes")
		r.evidence.Outcomes = nil
		clear(r.outcomes)
	}
	o.LatencyBuckets = slices.Clone(o.LatencyBuckets)
	r.outcomes[key] = len(r.evidence.Outcomes)
	r.evidence.Outcomes = append(r.evidence.Outcomes, o)
}

// addCost adds replies to those of the same target.
func (r *reporter) addCost(s catalog.Sample) {
	if i, ok := r.costs[s.Target]; ok {
		r.evidence.Costs[i].Sum += s.Sum
		r.evidence.Costs[i].Count += s.Count
		return
	}
	if len(r.evidence.Costs) >= maxCosts {
		r.noteDropped("costs")
		return
	}
	r.costs[s.Target] = len(r.evidence.Costs)
	r.evidence.Costs = append(r.evidence.Costs, s)
}

func sum(total *view.Outcome, o view.Outcome) {
	total.OK += o.OK
	total.Failed += o.Failed
	for len(total.LatencyBuckets) < len(o.LatencyBuckets) {
		total.LatencyBuckets = append(total.LatencyBuckets, 0)
	}
	for i, n := range o.LatencyBuckets {
		total.LatencyBuckets[i] += n
	}
}

// take returns the evidence collected so far and starts anew; nil if there is none.
func (r *reporter) take() *view.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.evidence
	if len(e.Deaths)+len(e.Cold)+len(e.Warm)+len(e.Stop)+len(e.Outcomes)+len(e.Costs) == 0 {
		return nil
	}
	r.evidence = view.Evidence{}
	clear(r.outcomes)
	clear(r.costs)
	clear(r.dropped)
	return &e
}
