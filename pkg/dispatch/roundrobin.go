package dispatch

import "radishturn.example/radishturn/pkg/routing"

// roundRobin divides the requests of a route among its services by smooth weighted
// round robin, so that each service gets its share over any longer run.
type roundRobin struct {
	tableVersion uint64
	current      []float64
}

// pick returns the index in split of the service for the next request.
func (r *roundRobin) pick(tableVersion uint64, split []routing.Weighted) int {
	if r.tableVersion != tableVersion || len(r.current) != len(split) {
		r.tableVersion, r.current = tableVersion, make([]float64, len(split))
	}
	total, best := 0.0, 0
	for i, w := range split {
		r.current[i] += w.Weight
		total += w.Weight
		if r.current[i] > r.current[best] {
			best = i
		}
	}
	r.current[best] -= total
	return best
}
