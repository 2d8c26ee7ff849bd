package pick_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/pick"
)

func drawCandidates(t *rapid.T) []pick.Candidate {
	all := make([]pick.Candidate, rapid.IntRange(1, 5).Draw(t, "count"))
	for i := range all {
		all[i] = pick.Candidate{
			Index:            i + 10,
			AvailabilityZone: rapid.SampledFrom([]model.AvailabilityZoneID{"a", "b"}).Draw(t, "zone"),
			Latency:          time.Duration(rapid.IntRange(1, 100).Draw(t, "latency")) * time.Millisecond,
			InFlight:         rapid.IntRange(0, 5).Draw(t, "inFlight"),
		}
	}
	return all
}

var _ = Describe("the choice of a target", func() {
	It("is never the single most expensive of several", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := drawCandidates(t)
			chosen, ok := pick.Choose(all, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
			if !ok {
				t.Fatal("no choice")
			}
			cost, costlier := all[chosen-10].Cost(), 0
			for _, c := range all {
				if c.Cost() >= cost && c.Index != chosen {
					costlier++
				}
			}
			if len(all) > 1 && costlier == 0 {
				t.Fatalf("chose the most expensive of %v", all)
			}
		})
	})

	It("gives a share to an unproven target, whatever its estimated cost", func() {
		random := rand.New(rand.NewPCG(1, 2))
		all := []pick.Candidate{{Index: 0, Latency: 1}, {Index: 1, Latency: 100, Unproven: true}}
		chosen := 0
		for range 8000 {
			if i, _ := pick.Choose(all, random); i == 1 {
				chosen++
			}
		}
		Expect(chosen).To(BeNumerically("~", 4000, 300))
	})

	It("spreads requests over equal targets", func() {
		random := rand.New(rand.NewPCG(1, 2))
		all := []pick.Candidate{{Index: 0, Latency: 1}, {Index: 1, Latency: 1}, {Index: 2, Latency: 1}}
		var hits [3]int
		for range 3000 {
			i, _ := pick.Choose(all, random)
			hits[i]++
		}
		for _, n := range hits {
			Expect(n).To(BeNumerically("~", 1000, 150))
		}
	})

	It("hedges to the cheapest target, outside the late availability zone if possible", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := drawCandidates(t)
			chosen, _ := pick.ChooseHedge(all, "a")
			best := all[chosen-10]
			for _, c := range all {
				elsewhere := c.AvailabilityZone != "a" && best.AvailabilityZone == "a"
				cheaper := c.AvailabilityZone == best.AvailabilityZone && c.Cost() < best.Cost()
				if elsewhere || cheaper {
					t.Fatalf("%v is better than %v", c, best)
				}
			}
		})
	})

	It("returns false without candidates", func() {
		_, ok := pick.Choose(nil, nil)
		Expect(ok).To(BeFalse())
		_, ok = pick.ChooseHedge(nil, "a")
		Expect(ok).To(BeFalse())
	})
})
