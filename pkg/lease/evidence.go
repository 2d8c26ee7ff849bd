package lease

import (
	"slices"
	"sync"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// Limits of the evidence that is buffered for the next renewal, by kind.
const (
	maxCrashes      = 64
	maxIncarnations = 1024
	maxOutcomes     = 4096
	maxVersionStops = 64
	maxCostSamples  = 4096
)

// evidenceBuffer collects evidence until a renewal sends it.
type evidenceBuffer struct {
	// onUrgent is called when evidence should not wait for the next renewal.
	onUrgent func()

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

func newEvidenceBuffer(onUrgent func()) *evidenceBuffer {
	return &evidenceBuffer{
		onUrgent: onUrgent, outcomes: make(map[outcomeKey]int), costs: make(map[model.TargetID]int),
		dropped: make(map[string]bool),
	}
}

// Report adds evidence. Crashes, signs of cold targets and stopped versions are
// sent at once, the rest with the next renewal.
func (r *evidenceBuffer) Report(e view.Evidence) {
	r.mu.Lock()
	r.evidence.Crashes = appendBounded(r, "deaths", r.evidence.Crashes, e.Crashes, maxCrashes)
	r.evidence.Cold = appendBounded(r, "cold", r.evidence.Cold, e.Cold, maxIncarnations)
	r.evidence.Warm = appendBounded(r, "warm", r.evidence.Warm, e.Warm, maxIncarnations)
	r.evidence.VersionStops = appendBounded(r, "stop", r.evidence.VersionStops, e.VersionStops, maxVersionStops)
	for _, o := range e.Outcomes {
		r.addOutcome(o)
	}
	for _, s := range e.Costs {
		r.addCost(s)
	}
	r.mu.Unlock()
	if len(e.Crashes)+len(e.Cold)+len(e.VersionStops) > 0 {
		r.onUrgent()
	}
}

// appendBounded appends items and drops the oldest ones beyond the bound.
func appendBounded[T any](r *evidenceBuffer, kind string, old, items []T, bound int) []T {
	all := append(old, items...)
	if over := len(all) - bound; over > 0 {
		r.logDropped(kind)
		all = slices.Clone(all[over:])
	}
	return all
}

// logDropped emits one event for each kind of evidence until take clears the buffer.
func (r *evidenceBuffer) logDropped(kind string) {
	if !r.dropped[kind] {
		r.dropped[kind] = true
		events.Emit(events.EvidenceDropped, kind)
	}
}

// addOutcome merges counts by collection, version, route and window. When the limit
// is reached, it drops all collected outcomes.
func (r *evidenceBuffer) addOutcome(o view.Outcome) {
	key := outcomeKey{o.Collection, o.Version, o.Route, o.Window}
	if i, ok := r.outcomes[key]; ok {
		addCounts(&r.evidence.Outcomes[i], o)
		return
	}
	if len(r.evidence.Outcomes) >= maxOutcomes {
		r.logDropped("outcomes")
		r.evidence.Outcomes = nil
		clear(r.outcomes)
	}
	o.LatencyBuckets = slices.Clone(o.LatencyBuckets)
	r.outcomes[key] = len(r.evidence.Outcomes)
	r.evidence.Outcomes = append(r.evidence.Outcomes, o)
}

// addCost merges samples by target.
func (r *evidenceBuffer) addCost(s catalog.CostSample) {
	if i, ok := r.costs[s.Target]; ok {
		r.evidence.Costs[i].Sum += s.Sum
		r.evidence.Costs[i].Count += s.Count
		return
	}
	if len(r.evidence.Costs) >= maxCostSamples {
		r.logDropped("costs")
		return
	}
	r.costs[s.Target] = len(r.evidence.Costs)
	r.evidence.Costs = append(r.evidence.Costs, s)
}

func addCounts(total *view.Outcome, o view.Outcome) {
	total.OK += o.OK
	total.Failed += o.Failed
	for len(total.LatencyBuckets) < len(o.LatencyBuckets) {
		total.LatencyBuckets = append(total.LatencyBuckets, 0)
	}
	for i, n := range o.LatencyBuckets {
		total.LatencyBuckets[i] += n
	}
}

// take returns and clears the collected evidence; nil if there is none.
func (r *evidenceBuffer) take() *view.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.evidence
	if len(e.Crashes)+len(e.Cold)+len(e.Warm)+len(e.VersionStops)+len(e.Outcomes)+len(e.Costs) == 0 {
		return nil
	}
	r.evidence = view.Evidence{}
	clear(r.outcomes)
	clear(r.costs)
	clear(r.dropped)
	return &e
}
