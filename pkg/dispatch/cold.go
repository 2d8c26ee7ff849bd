package dispatch

import (
	"hash/fnv"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// A cold target, which has just started, fails under its usual load. The fleet's
// requests to it are therefore limited to a rate. The instances divide the rate
// without coordination; otherwise many of them would send to the target as soon
// as it is listed.
const (
	// coldRateShare is the share of a cold target's rate that is used. The margin
	// keeps the fleet within the limit while instances join and leave.
	coldRateShare = 0.8
	// coldExcluded is the interval of an instance that must not send to a cold
	// target.
	coldExcluded time.Duration = -1
)

// coldInterval returns the minimum time between two requests of one instance to a
// cold target that is limited to rate requests per second. It is 0 without a
// limit, or coldExcluded. position is the number of instances in the fleet with a
// smaller ordinal. If there are more instances than requests per second, some
// instances, a different set for each target, send one request per second and the
// rest send none.
func coldInterval(rate float64, target model.TargetID, position, instances int) time.Duration {
	if rate <= 0 {
		return 0
	}
	rate *= coldRateShare
	if perInstance := int(rate) / instances; perInstance > 0 {
		return time.Second / time.Duration(perInstance)
	}
	senders := max(1, int(rate))
	h := fnv.New32a()
	_, _ = h.Write([]byte(target))
	if (position+int(h.Sum32()%uint32(instances)))%instances >= senders {
		return coldExcluded
	}
	return time.Duration(float64(time.Second) * max(1, 1/rate))
}

// setColdInterval sets the minimum time between requests while the target is cold.
func (p *process) setColdInterval(interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldInterval = interval
}

// coldAllowed reports whether the cold limit allows a request now. The caller
// holds the lock.
func (p *process) coldAllowed(now time.Duration) bool {
	return p.coldInterval == 0 || p.coldInterval > 0 && (!p.coldSent || now-p.coldLastSent >= p.coldInterval)
}
