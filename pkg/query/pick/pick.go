// Package pick chooses the target for a leaf request by the power of two random
// choices; the cost is the expected latency times the requests in flight.
package pick

import (
	"math/rand/v2"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Candidate is a target that can take a request now.
type Candidate struct {
	// Index identifies the target to the caller of Choose.
	Index            int
	AvailabilityZone model.AvailabilityZoneID
	// Latency is the expected latency without queueing.
	Latency  time.Duration
	InFlight int
	// Unproven is set for targets whose speed has yet to be measured.
	Unproven bool
}

// exploreInterval is the mean number of choices per choice that prefers an
// unproven target. Otherwise a high estimated cost could keep such a target
// without requests forever.
const exploreInterval = 2

// Cost returns the estimated cost of sending one more request to the candidate.
func (c Candidate) Cost() float64 {
	return float64(c.Latency) * float64(c.InFlight+1)
}

// Choose returns the Index of the cheaper of two random candidates, or false if
// there are no candidates. One in exploreInterval choices goes to an unproven
// candidate, if there is one.
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

// ChooseHedge returns the Index of the cheapest candidate. It prefers candidates
// outside the availability zone of the late attempt.
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
