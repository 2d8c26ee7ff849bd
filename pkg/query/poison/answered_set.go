package poison

import "radishturn.example/radishturn/pkg/model"

// generationSize bounds each of the two generations of AnsweredSet.
const generationSize = 16384

// AnsweredSet is a bounded set of requests that a target has answered. Once the
// current generation is full, the previous one is discarded.
type AnsweredSet struct {
	current, previous map[model.Fingerprint]struct{}
}

// NewAnsweredSet returns an empty set.
func NewAnsweredSet() *AnsweredSet {
	return &AnsweredSet{current: make(map[model.Fingerprint]struct{})}
}

// Add adds a request.
func (s *AnsweredSet) Add(f model.Fingerprint) {
	if len(s.current) >= generationSize {
		s.previous, s.current = s.current, make(map[model.Fingerprint]struct{})
	}
	s.current[f] = struct{}{}
}

// Has reports whether the set contains the request.
func (s *AnsweredSet) Has(f model.Fingerprint) bool {
	if _, ok := s.current[f]; ok {
		return true
	}
	_, ok := s.previous[f]
	return ok
}
