package dispatch

import (
	"math"
	"time"

	"radishturn.example/radishturn/pkg/query/queue"
)

// furtherWait is a call's wait for another connection after targets have reset those on
// which its request was to be sent. It is in the queue of the service, beside the calls
// that wait to send their first request.
type furtherWait struct {
	ticket *queue.Ticket
	woken  chan struct{}
}

// awaitFurther has the call woken when a connection may be free.
func (s *singleCall) awaitFurther() {
	if s.furtherWait != nil {
		return
	}
	w := &furtherWait{woken: make(chan struct{}, 1)}
	request := s.schedule(s.engine.now())
	// The call waits until latestConnection, like one that lacks its first connection.
	request.LatestStart, request.RefuseBy = math.MaxInt64, 0
	w.ticket, _, _ = s.wait.join(s.connections(), request, func() {
		select {
		case w.woken <- struct{}{}:
		default:
			// It has been woken already.
		}
	})
	s.furtherWait = w
}

// furtherWakeUp returns a channel that receives when a connection may be free; nil if the
// call does not wait for another one.
func (s *singleCall) furtherWakeUp() <-chan struct{} {
	if s.furtherWait == nil {
		return nil
	}
	return s.furtherWait.woken
}

// tryFurther sends a request if the call waits for another connection and there is one. It
// reports whether the call has ended, with the outcome if so.
func (s *singleCall) tryFurther(now time.Duration) (Outcome, bool) {
	if s.furtherWait == nil {
		return Outcome{}, false
	}
	if err := s.engine.checkAfterWait(s.call); err != nil && !s.sent.mayHaveRun() {
		return s.fail(err), true
	}
	switch {
	case now >= s.latestConnection():
		return s.giveUp(), true
	case s.choose(s.engine.current(), now).target != nil && s.takeFurtherRequest() && s.send():
		s.endFurtherWait()
	case s.engine.current().anyConnection(s.service):
		s.wait.wakeAfter(s.furtherWait.ticket)
	}
	return Outcome{}, false
}

// endFurtherWait ends the wait for another connection, if there is one. The next call is
// woken, since it may have been this call's turn.
func (s *singleCall) endFurtherWait() {
	if s.furtherWait == nil {
		return
	}
	s.wait.withdraw(s.furtherWait.ticket)
	s.furtherWait = nil
	s.wait.wakeAfter(nil)
}
