// Package pick chooses the target for one attempt at a leaf: the better of two
// random candidates, by expected latency times requests in flight.
package pick

import (
	"math/rand/v2"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Candidate is a target that may take a request now.
type Candidate struct {
	// Index identifies the target to the caller of Choose.
	Index            int
	AvailabilityZone model.AvailabilityZoneID
	// Latency is the expected latency without queueing.
	Latency  time.Duration
	InFlight int
	// Unproven is set for targets that have to show their speed.
	Unproven bool
}

// exploreInterval is how many choices there are for each that goes to an unproven
// target. Their estimated cost alone could keep them without requests forever.
const exploreInterval = 2

// Cost is the price of one more request at the candidate.
func (c Candidate) Cost() float64 {
	return float64(c.Latency) * float64(c.InFlight+1)
}

// Choose returns the index of the cheaper of two random candidates, or false
// without candidates. One choice in some goes to an unproven candidate.
func Choose(candidates []Candidate, random *rand.Rand) (int, bool) {
	switch len(candidates) {
	case 0:
		return 0, false
	case 1:
		return candidates[0].Index, true
	}
	if random.IntN(exploreInterval) == 0 {
		if index, ok := anyUnproven(candidates, random); ok {
			return index, true
		}
	}
	i := random.IntN(len(candidates))
	j := random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].Cost() < candidates[i].Cost() {
		i = j
	}
	return candidates[i].Index, true
}

func anyUnproven(candidates []Candidate, random *rand.Rand) (int, bool) {
	first := random.IntN(len(candidates))
	for k := range candidates {
		if c := candidates[(first+k)%len(candidates)]; c.Unproven {
			return c.Index, true
		}
	}
	return 0, false
}

// ChooseHedge returns the index of the cheapest candidate, preferring those
// outside the availability zone of the attempt that is late.
func ChooseHedge(candidates []Candidate, late model.AvailabilityZoneID) (int, bool) {
	best := -1
	for i, c := range candidates {
		if best < 0 || betterHedge(c, candidates[best], late) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	return candidates[best].Index, true
}

func betterHedge(a, b Candidate, late model.AvailabilityZoneID) bool {
	aElsewhere, bElsewhere := a.AvailabilityZone != late, b.AvailabilityZone != late
	if aElsewhere != bElsewhere {
		return aElsewhere
	}
	return a.Cost() < b.Cost()
}
