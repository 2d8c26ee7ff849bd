package dispatch

import "time"

// singleHedgeFactor is the delay, in usual latencies, before an idempotent request is
// sent to a second target.
const singleHedgeFactor = 2.5

// hedgeAt returns when the request in flight is hedged; the deadline if the reply to the
// hedge would arrive too late.
func (s *singleCall) hedgeAt() time.Duration {
	if !s.expected.Known() {
		return s.lastSent + s.hedgeDelay()
	}
	delay := time.Duration(singleHedgeFactor * float64(s.trace.Usual))
	at := s.lastSent + max(connectionWait, s.expected.Explained(delay, s.trace.Usual))
	if s.call.Route.Objective > 0 {
		at = s.expected.InTime(s.lastSent, at, s.objectiveEnd()-answerMargin)
	}
	if at+s.expected.Next >= s.deadline {
		return s.deadline
	}
	return at
}

// hedgeDelay returns the delay of a hedge if nothing is expected of the target.
func (s *singleCall) hedgeDelay() time.Duration {
	delay := time.Duration(singleHedgeFactor * float64(s.trace.Usual))
	if half := s.call.Route.Objective / 2; half > 0 {
		delay = min(delay, half)
	}
	return max(delay, connectionWait)
}

func (s *singleCall) hedge() {
	if !s.call.Route.Idempotent || s.hedged || len(s.inFlight) == 0 || s.engine.now() < s.hedgeAt() {
		return
	}
	s.hedged = true
	if s.takeFurtherRequest() && s.send() {
		s.trace.Hedged++
	}
}
