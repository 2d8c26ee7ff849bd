package fanout

import (
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// recentAnswersKept is the number of answers remembered per leaf.
	recentAnswersKept = 64
	// recentAnswerAge is how long an answer counts as recent.
	recentAnswerAge = 5 * time.Second
)

// recentAnswers is a ring buffer of the requests that a leaf answered most
// recently. A request that crashes every target that runs it never gets an answer
// from its leaf, so a recent answer is evidence that the request is harmless.
type recentAnswers struct {
	entries [recentAnswersKept]timedRequest
	next    int
}

func (a *recentAnswers) add(f model.Fingerprint, now time.Duration) {
	a.entries[a.next] = timedRequest{f, now}
	a.next = (a.next + 1) % recentAnswersKept
}

// contains reports whether the leaf answered the request within recentAnswerAge.
func (a *recentAnswers) contains(f model.Fingerprint, now time.Duration) bool {
	return slices.ContainsFunc(a.entries[:], func(r timedRequest) bool {
		return r.fingerprint == f && r.at > 0 && now-r.at < recentAnswerAge
	})
}
