package dispatch

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Route labels", func() {
	It("are bounded in number, however many routes are added and removed", func() {
		labels := boundedLabels{names: make(map[string]bool)}
		seen := make(map[string]bool)
		for i := range 1000 {
			seen[labels.label(fmt.Sprint("r", i))] = true
		}
		Expect(seen).To(HaveLen(maxRouteLabels + 1))
		Expect(labels.label("r0")).To(Equal("r0"))
		Expect(labels.label("r999")).To(Equal(otherRoutesLabel))
	})
})
