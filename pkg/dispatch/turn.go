package dispatch

import "radishturn.example/radishturn/pkg/routing"

// turn divides the requests of a route among its services by smooth weighted
// round robin, so that each part gets its share in any longer run.
type turn struct {
	version uint64
	current []float64
}

// pick returns the service of the next request.
func (t *turn) pick(version uint64, split []routing.Weighted) int {
	if t.version != version || len(t.current) != len(split) {
		t.version, t.current = version, make([]float64, len(split))
	}
	total, best := 0.0, 0
	for i, w := range split {
		t.current[i] += w.Weight
		total += w.Weight
		if t.current[i] > t.current[best] {
			best = i
		}
	}
	t.current[best] -= total
	return best
}
