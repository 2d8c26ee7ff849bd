package move

import "time"

// DefaultFirstShare is the share of the first step unless the rule bounds it.
const DefaultFirstShare = 0.01

const (
	// deadlineReserve is the part of a move's time that is left free at its
	// end, for changes of the leader.
	deadlineReserve = 0.05
	// minimumWatch is the shortest time between steps, however near the deadline.
	minimumWatch = 5 * time.Second
)

// stage is one step of the plan: a share and the weight of its watch among the
// stages from it on.
type stage struct {
	share  float64
	weight float64
}

// stages lists the shares of a move and how its time is divided among them.
var stages = []stage{
	{share: DefaultFirstShare, weight: 0.25},
	{share: 0.05, weight: 0.20},
	{share: 0.25, weight: 0.20},
	{share: 0.50, weight: 0.15},
	{share: 1.00, weight: 0.20},
}

// nextStage returns the index of the first stage above share, or len(stages).
func nextStage(share float64) int {
	for i, s := range stages {
		if s.share > share {
			return i
		}
	}
	return len(stages)
}

// nextShare returns the share of the step that follows.
func nextShare(s *State) float64 {
	if s.Share == 0 && s.Rule.FirstShare > 0 {
		return min(s.Rule.FirstShare, DefaultFirstShare)
	}
	return stages[min(nextStage(s.Share), len(stages)-1)].share
}

// watch returns how long the present share is watched before the next step.
// What is left until the deadline is divided by the weights of the stages left,
// so that a move that fell behind catches up.
func watch(s *State) time.Duration {
	if s.Share == 0 {
		return 0
	}
	current := max(nextStage(s.Share)-1, 0)
	var left float64
	for _, stage := range stages[current:] {
		left += stage.weight
	}
	reserve := time.Duration(deadlineReserve * float64(s.Rule.By.Sub(s.Started)))
	until := s.Rule.By.Add(-reserve).Sub(s.SteppedAt)
	return max(minimumWatch, time.Duration(float64(until)*stages[current].weight/left))
}
