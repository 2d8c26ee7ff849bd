package poison

import "radishturn.example/radishturn/pkg/model"

// generationSize bounds each of the two generations of Proven.
const generationSize = 16384

// Proven remembers requests that a target has run and survived. The memory is
// bounded: once a generation is full, the one before it is forgotten.
type Proven struct {
	young, old map[model.Fingerprint]struct{}
}

// NewProven returns an empty memory.
func NewProven() *Proven {
	return &Proven{young: make(map[model.Fingerprint]struct{})}
}

// Add remembers a request.
func (p *Proven) Add(f model.Fingerprint) {
	if len(p.young) >= generationSize {
		p.old, p.young = p.young, make(map[model.Fingerprint]struct{})
	}
	p.young[f] = struct{}{}
}

// Has reports whether the request is remembered.
func (p *Proven) Has(f model.Fingerprint) bool {
	if _, ok := p.young[f]; ok {
		return true
	}
	_, ok := p.old[f]
	return ok
}
