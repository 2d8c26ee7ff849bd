package mesh

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
)

var _ = DescribeTable("A connection to a peer that ended is counted by its cause", func(cause error, counter *metrics.Counter) {
	Expect(closedHere(cause)).To(BeFalse())
	Expect(lossCounter(cause)).To(BeIdenticalTo(counter))
},
	Entry("reset by the peer's new process", &quic.StatelessResetError{}, lostByReset),
	Entry("idle", &quic.IdleTimeoutError{}, lostByIdling),
	Entry("closed by the peer", &quic.ApplicationError{Remote: true}, lostOtherwise),
	Entry("broken", errors.New("no route"), lostOtherwise),
)

var _ = DescribeTable("A connection that this instance closed is not lost", func(cause error) {
	Expect(closedHere(cause)).To(BeTrue())
},
	Entry("as a connection", &quic.ApplicationError{}),
	Entry("with its socket", quic.ErrTransportClosed),
)
