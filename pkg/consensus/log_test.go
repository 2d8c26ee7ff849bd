package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("The entries that a snapshot covers are kept", func(commandBytes int, keep, wantBase uint64) {
	l := raftLog{base: 100, baseTerm: 1}
	for index := uint64(101); index <= 200; index++ {
		l.append([]Entry{{Index: index, Term: 1, Command: make([]byte, commandBytes)}})
	}
	l.compact(l.retainedFrom(190, keep, maxRetainedBytes))
	Expect(l.base).To(Equal(wantBase))
	Expect(l.lastIndex()).To(Equal(uint64(200)))
},
	ginkgo.Entry("by number, if they are small", 10, uint64(20), uint64(170)),
	ginkgo.Entry("by size, if they are large", 1<<20, uint64(20), uint64(183)),
	ginkgo.Entry("none, if none is wanted", 10, uint64(0), uint64(190)),
	ginkgo.Entry("none, if the last is too large", maxRetainedBytes, uint64(20), uint64(190)),
	ginkgo.Entry("all, if there are fewer than wanted", 10, uint64(500), uint64(100)),
)
