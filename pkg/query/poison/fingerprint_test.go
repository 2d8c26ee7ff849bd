package poison_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/poison"
)

var _ = Describe("A fingerprint", func() {
	It("stays the same over releases, since the replicated quarantine holds it", func() {
		Expect(poison.FingerprintOf("shop", "search", "rye bread", "17")).To(Equal(model.Fingerprint(11850898144494253568)))
	})

	It("tells where a part ends", func() {
		Expect(poison.FingerprintOf("ab", "c")).NotTo(Equal(poison.FingerprintOf("a", "bc")))
	})
})
