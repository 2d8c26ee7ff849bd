package replica

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
)

var _ = Describe("Bootstrap: accepting a set of initial members", func() {
	self := Member{Instance: "a", Disk: "1"}
	members := []Member{self, {Instance: "b", Disk: "2"}, {Instance: "c", Disk: "3"}}
	membersAfterDiskLoss := []Member{self, members[1], {Instance: "c", Disk: "4"}}

	newTestBootstrapper := func() *bootstrapper {
		n := &Node{self: self, options: Options{InitialMembers: []model.InstanceID{"c", "a", "b"}}}
		return &bootstrapper{node: n}
	}

	It("accepts only the listed instances with this disk", func() {
		b := newTestBootstrapper()
		Expect(b.accept(members)).To(BeTrue())
		Expect(b.accept(members[:2])).To(BeFalse())
		Expect(b.accept([]Member{{Instance: "a", Disk: "0"}, members[1], members[2]})).To(BeFalse())
		Expect(b.accept([]Member{self, members[1], {Instance: "d", Disk: "3"}})).To(BeFalse())
	})

	It("withdraws its acceptance when it accepts another set", func() {
		b := newTestBootstrapper()
		Expect(b.accept(members)).To(BeTrue())
		acceptedGeneration := b.currentGeneration()
		Expect(b.accept(membersAfterDiskLoss)).To(BeTrue())
		Expect(b.finalize(members, acceptedGeneration)).To(BeFalse())
		Expect(b.accept(members)).To(BeTrue())
		Expect(b.finalize(members, acceptedGeneration)).To(BeFalse(), "the other instances accepted an earlier proposal")
	})

	It("accepts no other set once one is final", func() {
		b := newTestBootstrapper()
		Expect(b.accept(members)).To(BeTrue())
		Expect(b.finalize(members, b.currentGeneration())).To(BeTrue())
		Expect(b.accept(members)).To(BeFalse())
		Expect(b.accept(membersAfterDiskLoss)).To(BeFalse())
		Expect(b.finalize(members, b.currentGeneration())).To(BeFalse())
	})

	It("accepts no set on a disk that belongs to a group", func() {
		b := newTestBootstrapper()
		b.markInGroup()
		Expect(b.accept(members)).To(BeFalse())
	})
})
