package queue

import (
	"math"
	"time"
)

const (
	// workWeight is the weight of a sample in the moving averages of work.
	workWeight = 0.2
	// tailDeviations is how many standard deviations above the mean the tail is.
	tailDeviations = 2
	// maxKinds bounds the kinds whose work is kept. Kinds are routes, which the routing
	// table adds and removes; beyond the bound all are learned again.
	maxKinds = 256
)

// work is the learned time for which requests occupy a place.
type work struct {
	mean, variance float64
	// learnedAt is when the last sample was added.
	learnedAt time.Duration
	known     bool
}

func (w *work) add(now, sample time.Duration) {
	if !w.known {
		*w = work{mean: float64(sample), learnedAt: now, known: true}
		return
	}
	diff := float64(sample) - w.mean
	w.mean += workWeight * diff
	w.variance = (1 - workWeight) * (w.variance + workWeight*diff*diff)
	w.learnedAt = now
}

// workByKind is the learned work of each kind of request, and of all together.
type workByKind struct {
	all   work
	kinds map[string]*work
}

func (b *workByKind) add(now time.Duration, kind string, sample time.Duration) {
	b.all.add(now, sample)
	if b.kinds == nil || len(b.kinds) >= maxKinds && b.kinds[kind] == nil {
		b.kinds = make(map[string]*work)
	}
	w := b.kinds[kind]
	if w == nil {
		w = &work{}
		b.kinds[kind] = w
	}
	w.add(now, sample)
}

// of returns the work of a request: that of its kind, or what is expected until one of
// its kind has ended.
func (b *workByKind) of(r *Request) work {
	if w := b.kinds[r.Kind]; w != nil {
		return *w
	}
	if r.Work > 0 {
		return work{mean: float64(r.Work)}
	}
	return b.all
}

// backlog is the work ahead of a request.
type backlog struct{ mean, variance float64 }

func (b *backlog) add(w work) {
	b.mean += w.mean
	b.variance += w.variance
}

// wait returns the mean and the tail of the time until the work is done at so many
// places.
func (b *backlog) wait(places int) (mean, tail time.Duration) {
	n := float64(max(1, places))
	return time.Duration(b.mean / n), time.Duration((b.mean + tailDeviations*math.Sqrt(b.variance)) / n)
}
