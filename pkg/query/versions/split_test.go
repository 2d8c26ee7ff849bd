package versions_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/versions"
	"radishturn.example/radishturn/pkg/view"
)

var _ = Describe("the split between versions", func() {
	const requests = 5000
	at := func(share float64, caller model.CallerID, n int) float64 {
		request := model.RequestID(fmt.Sprintf("e1.%d", n))
		return versions.SplitPosition(view.Move{From: "41", To: "42", Share: share}, "shopfront", caller, request)
	}

	It("gives each caller the new version for the share of its requests below 25%", func() {
		for _, share := range []float64{0.01, 0.05, 0.24} {
			moved := 0
			for n := range requests {
				if at(share, "one large caller", n) < share {
					moved++
				}
			}
			Expect(float64(moved) / requests).To(BeNumerically("~", share, 0.03))
			Expect(moved).To(BeNumerically(">", 0))
		}
	})

	It("keeps a caller at one version from 25% on, also while the share grows", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			caller := model.CallerID(rapid.String().Draw(t, "caller"))
			n := rapid.IntRange(0, requests).Draw(t, "request")
			position := at(0.25, caller, 0)
			for _, share := range []float64{0.25, 0.5, 1} {
				if at(share, caller, n) != position {
					t.Fatal("a caller changes its version between requests")
				}
			}
		})
	})

	It("does not depend on the caller below 25%", func() {
		Expect(at(0.05, "ana", 7)).To(Equal(at(0.05, "ivo", 7)))
	})
})
