package claims

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
)

const (
	// maxConcurrentRecords limits the outcomes that are recorded concurrently.
	maxConcurrentRecords = 512
	// recordTimeout limits the time spent on recording one outcome, with retries.
	recordTimeout = 30 * time.Second
	// recordRetryDelay is the delay between two attempts to record an outcome.
	recordRetryDelay = 250 * time.Millisecond
)

// record writes the outcome of an attempt to the replicated state in the
// background. The caller gets its answer without waiting for this, and until the
// outcome is recorded this instance answers Ask messages about it. If
// maxConcurrentRecords are in progress, record blocks until one has finished.
func (s *Service) record(a *attempt, key state.OrderKey) {
	s.recordSlots <- struct{}{}
	go func() {
		defer func() { <-s.recordSlots }()
		s.recordWithRetry(a, key)
	}()
}

func (s *Service) recordWithRetry(a *attempt, key state.OrderKey) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	phase, confirmation := a.outcome()
	change := state.OrderChange{Outcome: &state.ClaimOutcome{Key: key, ID: a.id, Phase: phase, Confirmation: confirmation}}
	for {
		result, err := s.submitChange(ctx, change)
		if err == nil && result.Refusal != nil {
			err = failure.New(result.Refusal.Code, failure.NotRun, "record outcome", "", "%s", result.Refusal.Message)
		}
		if err == nil {
			s.attempts.remove(a.id)
			return
		}
		select {
		case <-ctx.Done():
			outcomesUnsaved.Inc()
			events.Emit(events.OrderOutcomeNotRecorded, a.id, err)
			s.attempts.retainUnrecorded(a.id)
			return
		case <-time.After(recordRetryDelay):
		}
	}
}

// serveAsk answers with the phase of a claim of this instance. It waits up to
// r.Wait, but at most maxAskWait, for the claim to end.
func (s *Service) serveAsk(ctx context.Context, _ model.InstanceID, r *wire.ClaimStatusRequest) (*wire.ClaimStatusReply, error) {
	a := s.attempts.find(r.ID)
	if a == nil {
		return &wire.ClaimStatusReply{}, nil
	}
	select {
	case <-a.done:
	case <-ctx.Done():
	case <-time.After(min(r.Wait, maxAskWait)):
	}
	phase, confirmation := a.outcome()
	return &wire.ClaimStatusReply{Known: true, Phase: phase, Confirmation: confirmation}, nil
}
