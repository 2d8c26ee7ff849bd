package replica

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
)

var _ = Describe("Agreement on the founders", func() {
	self := Member{Instance: "a", Disk: "1"}
	founders := []Member{self, {Instance: "b", Disk: "2"}, {Instance: "c", Disk: "3"}}
	afterLoss := []Member{self, founders[1], {Instance: "c", Disk: "4"}}

	fresh := func() *founding {
		n := &Node{self: self, opts: Options{InitialMembers: []model.InstanceID{"c", "a", "b"}}}
		return &founding{node: n}
	}

	It("is given to the listed instances with this disk only", func() {
		f := fresh()
		Expect(f.agree(founders)).To(BeTrue())
		Expect(f.agree(founders[:2])).To(BeFalse())
		Expect(f.agree([]Member{{Instance: "a", Disk: "0"}, founders[1], founders[2]})).To(BeFalse())
		Expect(f.agree([]Member{self, founders[1], {Instance: "d", Disk: "3"}})).To(BeFalse())
	})

	It("to another set takes back the one before", func() {
		f := fresh()
		Expect(f.agree(founders)).To(BeTrue())
		agreedAt := f.currentGeneration()
		Expect(f.agree(afterLoss)).To(BeTrue())
		Expect(f.claim(founders, agreedAt)).To(BeFalse())
		Expect(f.agree(founders)).To(BeTrue())
		Expect(f.claim(founders, agreedAt)).To(BeFalse(), "the answers of the others belong to the round before")
	})

	It("is given to no other set once this one is written", func() {
		f := fresh()
		Expect(f.agree(founders)).To(BeTrue())
		Expect(f.claim(founders, f.currentGeneration())).To(BeTrue())
		Expect(f.agree(founders)).To(BeFalse())
		Expect(f.agree(afterLoss)).To(BeFalse())
		Expect(f.claim(founders, f.currentGeneration())).To(BeFalse())
	})

	It("is refused by a disk that takes part in a group", func() {
		f := fresh()
		f.join()
		Expect(f.agree(founders)).To(BeFalse())
	})
})
