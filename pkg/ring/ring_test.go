package ring_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/ring"
)

func TestAdvanceClearsNewBuckets(t *testing.T) {
	g := NewWithT(t)
	newest := int64(5)
	advance := func(current int64) []int64 {
		var cleared []int64
		ring.Advance(&newest, current, 4, func(slot int64) { cleared = append(cleared, slot) })
		return cleared
	}
	g.Expect(advance(5)).To(BeEmpty())
	g.Expect(advance(7)).To(Equal([]int64{2, 3}))
	g.Expect(advance(6)).To(BeEmpty(), "time does not go back")
	g.Expect(newest).To(BeEquivalentTo(7))
	g.Expect(advance(1000)).To(ConsistOf(int64(0), int64(1), int64(2), int64(3)), "each slot once")
	g.Expect(newest).To(BeEquivalentTo(1000))
}
