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
	// maxRecording bounds the outcomes that are recorded at the same time.
	maxRecording = 512
	// recordTimeout bounds the tries to record one outcome.
	recordTimeout = 30 * time.Second
	// recordPause is the wait between tries.
	recordPause = 250 * time.Millisecond
)

// record writes the outcome of an attempt to the replicated state. The caller
// is answered meanwhile, and those who ask hear of it from this instance. With
// too many outcomes in progress it waits for a free place.
func (s *Service) record(a *attempt, key state.OrderKey) {
	s.recording <- struct{}{}
	go func() {
		defer func() { <-s.recording }()
		s.recordUntilDone(a, key)
	}()
}

func (s *Service) recordUntilDone(a *attempt, key state.OrderKey) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	phase, confirmation := a.outcome()
	change := state.OrderChange{Outcome: &state.ClaimOutcome{Key: key, ID: a.id, Phase: phase, Confirmation: confirmation}}
	for {
		result, err := s.change(ctx, change)
		if err == nil && result.Refusal != nil {
			err = failure.New(result.Refusal.Code, failure.NotRun, "record outcome", "", "%s", result.Refusal.Message)
		}
		if err == nil {
			s.attempts.forget(a.id)
			return
		}
		select {
		case <-ctx.Done():
			unsaved.Inc()
			events.Emit(events.OrderOutcomeNotRecorded, a.id, err)
			s.attempts.keepUnrecorded(a.id)
			return
		case <-time.After(recordPause):
		}
	}
}

// serveAsk tells how a claim of this instance stands, after a wait for its end.
func (s *Service) serveAsk(ctx context.Context, _ model.InstanceID, r *wire.Ask) (*wire.AskReply, error) {
	a := s.attempts.find(r.ID)
	if a == nil {
		return &wire.AskReply{}, nil
	}
	select {
	case <-a.done:
	case <-ctx.Done():
	case <-time.After(min(r.Wait, askWait)):
	}
	phase, confirmation := a.outcome()
	return &wire.AskReply{Known: true, Phase: phase, Confirmation: confirmation}, nil
}
