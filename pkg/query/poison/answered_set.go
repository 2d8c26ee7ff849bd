package poison

import "radishturn.example/radishturn/pkg/model"

// generationSize bounds each of the two generations of KnownGood.
const generationSize = 16384

// KnownGood is a bounded set of requests that a target has run without a crash.
// Once the current generation is full, the previous one is discarded.
type KnownGood struct {
	current, previous map[model.Fingerprint]struct{}
}

// NewKnownGood returns an empty set.
func NewKnownGood() *KnownGood {
	return &KnownGood{current: make(map[model.Fingerprint]struct{})}
}

// Add adds a request.
func (p *KnownGood) Add(f model.Fingerprint) {
	if len(p.current) >= generationSize {
		p.previous, p.current = p.current, make(map[model.Fingerprint]struct{})
	}
	p.current[f] = struct{}{}
}

// Has reports whether the set contains the request.
func (p *KnownGood) Has(f model.Fingerprint) bool {
	if _, ok := p.current[f]; ok {
		return true
	}
	_, ok := p.previous[f]
	return ok
}
