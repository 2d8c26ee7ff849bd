package poison_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/poison"
)

var _ = Describe("A fingerprint", func() {
	It("is the same in every release, since the replicated quarantine stores it", func() {
		Expect(poison.FingerprintOf("shop", "search", "rye bread", "17")).To(Equal(model.Fingerprint(11850898144494253568)))
	})

	It("depends on where each part ends", func() {
		Expect(poison.FingerprintOf("ab", "c")).NotTo(Equal(poison.FingerprintOf("a", "bc")))
	})
})
