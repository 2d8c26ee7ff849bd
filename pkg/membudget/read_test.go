package membudget_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/membudget"
)

const readLimit = 100 << 10

func TestMessagesAreReadWhole(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{0, 1, 4095, 4096, 4097, 16 << 10, 70_000, readLimit - 1, readLimit} {
		for _, length := range []int{n, membudget.UnknownLength} {
			b := membudget.New(1 << 20)
			var r membudget.Reservation
			text := strings.Repeat("x", n)
			got, err := membudget.ReadAll(iotest.HalfReader(strings.NewReader(text)), length, readLimit, membudget.Space{Budget: b, Reservation: &r})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got) == text).To(BeTrue())
			g.Expect(b.Used()).To(BeNumerically("==", cap(got)))
			r.Release()
			g.Expect(b.Used()).To(BeZero())
		}
	}
}

func TestMessagesWithoutAnEndAreCut(t *testing.T) {
	g := NewWithT(t)
	for _, length := range []int{readLimit + 1, membudget.UnknownLength} {
		_, err := membudget.ReadAll(endless{}, length, readLimit, membudget.Space{})
		g.Expect(err).To(MatchError(membudget.ErrTooLong))
	}
}

func TestATruncatedMessageIsNoMessage(t *testing.T) {
	g := NewWithT(t)
	_, err := membudget.ReadAll(strings.NewReader("half"), 8, readLimit, membudget.Space{})
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	broken := errors.New("connection reset")
	_, err = membudget.ReadAll(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(broken)), membudget.UnknownLength, readLimit, membudget.Space{})
	g.Expect(err).To(MatchError(broken))
}

// A length is stated in a few bytes; 100 messages that stated 8 MiB took 800 MB.
func TestAStatedLengthAloneTakesLittleMemory(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(1 << 30)
	var r membudget.Reservation
	const stated = 8 << 20
	checked := readerFunc(func([]byte) (int, error) {
		g.Expect(b.Used()).To(BeNumerically("<=", 16<<10))
		return 0, io.EOF
	})
	_, err := membudget.ReadAll(checked, stated, stated, membudget.Space{Budget: b, Reservation: &r})
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}

func TestLongMessagesLeaveRoomForShortOnes(t *testing.T) {
	g := NewWithT(t)
	const limit = 8 << 20
	b := membudget.New(limit)
	var long [10]membudget.Reservation
	for i := range long {
		_, err := membudget.ReadAll(endless{}, membudget.UnknownLength, limit, membudget.Space{Budget: b, Reservation: &long[i]})
		g.Expect(err).To(MatchError(membudget.ErrExhausted))
	}
	g.Expect(b.Used()).To(BeNumerically("<=", limit*7/8+10*64<<10))
	var short membudget.Reservation
	_, err := membudget.ReadAll(strings.NewReader(strings.Repeat("x", 48<<10)), membudget.UnknownLength, limit, membudget.Space{Budget: b, Reservation: &short})
	g.Expect(err).NotTo(HaveOccurred())
}

func TestALongMessageIsCutOnceOthersNeedItsShare(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(1 << 20)
	var long, others membudget.Reservation
	reads := 0
	r := readerFunc(func(p []byte) (int, error) {
		reads++
		if len(p) > 100<<10 {
			g.Expect(others.Grow(b, 1<<20-b.Used())).To(Succeed())
			return 1, nil
		}
		return len(p), nil
	})
	_, err := membudget.ReadAll(r, membudget.UnknownLength, 1<<20, membudget.Space{Budget: b, Reservation: &long})
	g.Expect(err).To(MatchError(membudget.ErrExhausted))
}

func TestAnAssuredShortMessageIsReadWithoutRoom(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(10)
	var full, short, long membudget.Reservation
	g.Expect(full.Grow(b, 10)).To(Succeed())
	space := membudget.Space{Budget: b, Reservation: &short, Assured: true}
	_, err := membudget.ReadAll(strings.NewReader("reply"), membudget.UnknownLength, readLimit, space)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Used()).To(BeNumerically(">", 10))
	space.Reservation = &long
	_, err = membudget.ReadAll(endless{}, membudget.UnknownLength, readLimit, space)
	g.Expect(err).To(MatchError(membudget.ErrExhausted))
}

func TestAnAdoptedReservationIsReturnedOnce(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(100)
	var reading, reply, late membudget.Reservation
	g.Expect(reading.Grow(b, 60)).To(Succeed())
	reply.Adopt(&reading)
	reading.Release()
	g.Expect(b.Used()).To(BeNumerically("==", 60))
	reply.Release()
	g.Expect(b.Used()).To(BeZero())
	g.Expect(late.Grow(b, 40)).To(Succeed())
	reply.Adopt(&late)
	g.Expect(b.Used()).To(BeZero())
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
