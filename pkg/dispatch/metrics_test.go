package dispatch

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Labels of routes", func() {
	It("are bounded, however many routes come and go", func() {
		labels := labelSet{names: make(map[string]bool)}
		seen := make(map[string]bool)
		for i := range 1000 {
			seen[labels.bound(fmt.Sprint("r", i))] = true
		}
		Expect(seen).To(HaveLen(maxRouteLabels + 1))
		Expect(labels.bound("r0")).To(Equal("r0"))
		Expect(labels.bound("r999")).To(Equal(otherRoutes))
	})
})
