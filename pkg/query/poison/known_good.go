package poison

import "radishturn.example/radishturn/pkg/model"

// generationSize bounds each of the two generations of Proven.
const generationSize = 16384

// KnownGood remembers requests that a target has run and survived. The memory is
// bounded: once a generation is full, the one before it is forgotten.
type KnownGood struct {
	young, old map[model.Fingerprint]struct{}
}

// NewKnownGood returns an empty memory.
func NewKnownGood() *KnownGood {
	return &KnownGood{young: make(map[model.Fingerprint]struct{})}
}

// Add remembers a request.
func (p *KnownGood) Add(f model.Fingerprint) {
	if len(p.young) >= generationSize {
		p.old, p.young = p.young, make(map[model.Fingerprint]struct{})
	}
	p.young[f] = struct{}{}
}

// Has reports whether the request is remembered.
func (p *KnownGood) Has(f model.Fingerprint) bool {
	if _, ok := p.young[f]; ok {
		return true
	}
	_, ok := p.old[f]
	return ok
}
