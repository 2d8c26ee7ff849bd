package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a leader that sends the same megabytes with each heartbeat while a member
// is still reading them, so that the member never catches up.
var _ = ginkgo.Describe("A leader whose heartbeats overtake large entries", func() {
	const size = 512 << 10
	var (
		r    *Raft
		now  time.Duration
		sent int
	)
	ginkgo.BeforeEach(func() {
		now, sent = lateTime, 0
		r = electLeader(bootstrapState(), now)
		r.TakeEffects()
	})
	// run lets b answer heartbeats but not entries, and c answer all, for a time.
	run := func(d time.Duration, refuse bool) {
		for end := now + d; now < end; now += testHeartbeat {
			r.Tick(now)
			for _, m := range r.TakeEffects().EarlyMessages {
				if m.Append == nil {
					continue
				}
				last := m.Append.PrevIndex + uint64(len(m.Append.Entries))
				switch {
				case m.To == memberOf("c"):
					r.Step(now, appendReply("c", r.term, max(last, r.commit), m.Append.SentAt))
				case len(m.Append.Entries) > 0:
					for _, e := range m.Append.Entries {
						sent += len(e.Command)
					}
				case refuse && m.Append.PrevIndex > BootstrapIndex:
					reply := appendReply("b", r.term, m.Append.PrevIndex, m.Append.SentAt)
					reply.AppendReply.Rejected, reply.AppendReply.Hint = true, BootstrapIndex
					r.Step(now, reply)
				default:
					r.Step(now, appendReply("b", r.term, BootstrapIndex, m.Append.SentAt))
				}
			}
		}
	}
	propose := func() {
		_, _, err := r.Propose(now, [][]byte{make([]byte, size)})
		Expect(err).NotTo(HaveOccurred())
	}

	ginkgo.It("sends them once while they are on their way", func() {
		propose()
		run(400*time.Millisecond, true)
		Expect(r.role).To(Equal(Leader))
		Expect(sent).To(Equal(size))
	})

	ginkgo.It("sends them again once they count as lost", func() {
		propose()
		run(2*maxTransferTimeouts*testElectionTimeout, true)
		Expect(sent).To(BeNumerically(">=", 2*size))
		Expect(sent).To(BeNumerically("<=", 5*size))
	})

	ginkgo.It("replicates what follows them once they are acknowledged", func() {
		propose()
		run(100*time.Millisecond, true)
		r.Step(now, appendReply("b", r.term, r.log.lastIndex(), now))
		_, _, err := r.Propose(now, [][]byte{[]byte("next")})
		Expect(err).NotTo(HaveOccurred())
		sent = 0
		run(testHeartbeat, false)
		Expect(sent).To(Equal(len("next")))
	})
})
