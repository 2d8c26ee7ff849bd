package move

import "time"

// DefaultFirstShare is the share of the first step unless the rule bounds it.
const DefaultFirstShare = 0.01

// deadlineReserve is the part of a move's time that is left free at its end, for
// changes of the leader.
const deadlineReserve = 0.05

// stage is one step of the plan: a share and the weight of its watch among the
// stages from it on.
type stage struct {
	share  float64
	weight float64
}

// plan says how a move goes on.
type plan struct {
	// stages lists the shares and how the time is divided among them. The move
	// ends after the last one.
	stages []stage
	// minimumWatch is the shortest time between steps, however near the deadline.
	minimumWatch time.Duration
	// minimumHorizon is the least number of windows that the rate of false alarms
	// is spread over.
	minimumHorizon float64
	// suspicionLasts bounds how long the share waits for evidence that no longer
	// grows.
	suspicionLasts time.Duration
}

var (
	// ruled is the plan of moves that rules ask for, over minutes to days.
	ruled = plan{
		stages: []stage{
			{share: DefaultFirstShare, weight: 0.25},
			{share: 0.05, weight: 0.20},
			{share: 0.25, weight: 0.20},
			{share: 0.50, weight: 0.15},
			{share: 1.00, weight: 0.20},
		},
		minimumWatch: 5 * time.Second, minimumHorizon: 600, suspicionLasts: 30 * time.Second,
	}
	// ordered is the plan of moves that are ordered by themselves, over seconds.
	// Up to its end the new version gets less than a tenth of all requests,
	// however late its fault shows.
	ordered = plan{
		stages: []stage{
			{share: 0.02, weight: 0.20},
			{share: 0.05, weight: 0.25},
			{share: 0.10, weight: 0.30},
			{share: 0.20, weight: 0.25},
		},
		minimumWatch: 500 * time.Millisecond, minimumHorizon: 10, suspicionLasts: 2 * time.Second,
	}
)

func planOf(s *State) *plan {
	if s.Ordered {
		return &ordered
	}
	return &ruled
}

// nextStage returns the index of the first stage above share, or the number of
// stages.
func (p *plan) nextStage(share float64) int {
	for i, s := range p.stages {
		if s.share > share {
			return i
		}
	}
	return len(p.stages)
}

// isLast reports whether the move ends after a share.
func (p *plan) isLast(share float64) bool { return p.nextStage(share) == len(p.stages) }

// nextShare returns the share of the step that follows.
func nextShare(s *State) float64 {
	if s.Share == 0 && s.Rule.FirstShare > 0 {
		return min(s.Rule.FirstShare, DefaultFirstShare)
	}
	p := planOf(s)
	return p.stages[min(p.nextStage(s.Share), len(p.stages)-1)].share
}

// watch returns how long the present share is watched before the next step.
// What is left until the deadline is divided by the weights of the stages left,
// so that a move that fell behind catches up.
func watch(s *State) time.Duration {
	if s.Share == 0 {
		return 0
	}
	p := planOf(s)
	current := max(p.nextStage(s.Share)-1, 0)
	var left float64
	for _, stage := range p.stages[current:] {
		left += stage.weight
	}
	reserve := time.Duration(deadlineReserve * float64(s.Rule.By.Sub(s.Started)))
	until := s.Rule.By.Add(-reserve).Sub(s.SteppedAt)
	return max(p.minimumWatch, time.Duration(float64(until)*p.stages[current].weight/left))
}
