package dispatch

import (
	"hash/fnv"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// A target that has just started falls over under its usual load. The fleet's
// requests to it are bounded by a rate, which the instances divide among
// themselves without asking each other: many of them at once would otherwise
// turn to it as soon as it is listed.
const (
	// coldSafety is the part of a cold target's rate that is used, so that
	// instances that come and go leave it within its bound.
	coldSafety = 0.8
	// neverCold is the gap of an instance that sends a cold target nothing.
	neverCold time.Duration = -1
)

// coldGap returns the least time between two requests of one instance to a cold
// target that bears a rate of requests a second, 0 if it is not limited, or
// neverCold. Rank is the instance's place among all of them. Where there are
// more instances than requests a second, some send one each second, others for
// each target, and the rest none.
func coldGap(rate float64, target model.TargetID, rank, instances int) time.Duration {
	if rate <= 0 {
		return 0
	}
	rate *= coldSafety
	if each := int(rate) / instances; each > 0 {
		return time.Second / time.Duration(each)
	}
	senders := max(1, int(rate))
	h := fnv.New32a()
	_, _ = h.Write([]byte(target))
	if (rank+int(h.Sum32()%uint32(instances)))%instances >= senders {
		return neverCold
	}
	return time.Duration(float64(time.Second) * max(1, 1/rate))
}

// limitCold sets the gap between requests while the target is cold.
func (p *process) limitCold(gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldGap = gap
}

// bearsCold reports whether the target bears a request now; the lock is held.
func (p *process) bearsCold(now time.Duration) bool {
	return p.coldGap == 0 || p.coldGap > 0 && (!p.coldSent || now-p.coldSentAt >= p.coldGap)
}
