package move

import "time"

// DefaultFirstShare is the share of the first step of rulePlan, unless the rule
// sets a lower one.
const DefaultFirstShare = 0.01

// deadlineReserve is the fraction of a move's duration kept free before the
// deadline, to allow for leader changes.
const deadlineReserve = 0.05

// stage is a share of the plan and the weight of its duration relative to those of
// this and the following stages.
type stage struct {
	share  float64
	weight float64
}

// plan is the schedule of a move.
type plan struct {
	// stages lists the shares and how the time is divided among them. The move is
	// done after the last one.
	stages []stage
	// minStageDuration is the minimum time between steps, even near the deadline.
	minStageDuration time.Duration
	// minPeriodCount is the minimum number of periods over which the false-alarm
	// rate is spread.
	minPeriodCount float64
	// maxHold bounds how long the share is held after evidence has stopped
	// growing.
	maxHold time.Duration
}

var (
	// rulePlan is the plan of moves requested by rules, which take minutes to days.
	rulePlan = plan{
		stages: []stage{
			{share: DefaultFirstShare, weight: 0.25},
			{share: 0.05, weight: 0.20},
			{share: 0.25, weight: 0.20},
			{share: 0.50, weight: 0.15},
			{share: 1.00, weight: 0.20},
		},
		minStageDuration: 5 * time.Second, minPeriodCount: 600, maxHold: 30 * time.Second,
	}
	// directPlan is the plan of moves requested directly, which take seconds. Until
	// the move ends, the new version receives less than a tenth of all requests,
	// however late a fault appears.
	directPlan = plan{
		stages: []stage{
			{share: 0.02, weight: 0.20},
			{share: 0.05, weight: 0.25},
			{share: 0.10, weight: 0.30},
			{share: 0.20, weight: 0.25},
		},
		minStageDuration: 500 * time.Millisecond, minPeriodCount: 10, maxHold: 2 * time.Second,
	}
)

func planOf(s *State) *plan {
	if s.Requested {
		return &directPlan
	}
	return &rulePlan
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

// isLast reports whether share is that of the last stage.
func (p *plan) isLast(share float64) bool { return p.nextStage(share) == len(p.stages) }

// nextShare returns the share of the next step.
func nextShare(s *State) float64 {
	if s.Share == 0 && s.Rule.FirstShare > 0 {
		return min(s.Rule.FirstShare, DefaultFirstShare)
	}
	p := planOf(s)
	return p.stages[min(p.nextStage(s.Share), len(p.stages)-1)].share
}

// stageDuration returns how long the current share is kept before the next step.
// The time left until the deadline is divided by the weights of the remaining
// stages, so that a delayed move catches up.
func stageDuration(s *State) time.Duration {
	if s.Share == 0 {
		return 0
	}
	p := planOf(s)
	current := max(p.nextStage(s.Share)-1, 0)
	var remainingWeight float64
	for _, stage := range p.stages[current:] {
		remainingWeight += stage.weight
	}
	reserve := time.Duration(deadlineReserve * float64(s.Rule.By.Sub(s.Started)))
	remaining := s.Rule.By.Add(-reserve).Sub(s.SteppedAt)
	return max(p.minStageDuration, time.Duration(float64(remaining)*p.stages[current].weight/remainingWeight))
}
