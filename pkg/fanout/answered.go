package fanout

import (
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// answeredKept is how many answers of a leaf are remembered.
	answeredKept = 64
	// answeredLasts is how long an answer speaks for its request.
	answeredLasts = 5 * time.Second
)

// answers remembers the requests that a leaf has answered last. A harmful
// request ends each target that runs it and so has no answer from its leaf.
type answers struct {
	last [answeredKept]timedRequest
	next int
}

func (a *answers) add(f model.Fingerprint, now time.Duration) {
	a.last[a.next] = timedRequest{f, now}
	a.next = (a.next + 1) % answeredKept
}

// has reports whether the leaf has answered the request lately.
func (a *answers) has(f model.Fingerprint, now time.Duration) bool {
	return slices.ContainsFunc(a.last[:], func(r timedRequest) bool {
		return r.fingerprint == f && r.at > 0 && now-r.at < answeredLasts
	})
}
