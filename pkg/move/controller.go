package move

import (
	"fmt"
	"math"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// FalseAlarmRate bounds the probability that the move of a good version is
	// rolled back.
	FalseAlarmRate = 0.001
	// Period is the time over which outcomes are collected before they are tested.
	// A window, over which both versions are compared, spans one or more periods.
	Period = time.Second
	// maxRoutes bounds the number of routes that are tested separately.
	maxRoutes = 64
	// minStoppedEntries is the minimum number of entries that must have stopped the
	// new version for the move to be rolled back. An entry stops a version when it
	// ends sending requests to it on its own decision; see view.VersionStop.
	minStoppedEntries = 2
	// singleEntryStopDelay is how long the stop of the only known entry waits for
	// reports of other entries, which arrive with each lease renewal.
	singleEntryStopDelay = 2 * Period
	// minStoppedShare is the minimum fraction of the reporting entries that must
	// have stopped the new version.
	minStoppedShare = 1.0 / 3
	// holdThreshold is the fraction of a limit at which the share is held.
	holdThreshold = 0.5
	// compareShare is the share at which both versions are compared again after
	// a baseline alarm.
	compareShare = 0.5
	// compareDuration is how long that second comparison lasts.
	compareDuration = 30 * time.Second
)

// DecisionTime is the time of a decision on both clocks. Only deadlines use the
// wall clock.
type DecisionTime struct {
	Wall time.Time
	// Monotonic is the time since an origin chosen by the caller.
	Monotonic time.Duration
}

// Reason is why the controller proposes no step.
type Reason string

// Reasons for proposing no step.
const (
	ReasonObserving         Reason = "the present share is being watched"
	ReasonGatheringEvidence Reason = "evidence against the new version is being gathered"
	ReasonEnded             Reason = "the move has ended"
)

// Controller decides the steps of one move. Entries report outcomes, stops and
// crashes as view.Evidence. The controller's own evidence against the new version
// is a log-likelihood ratio. It is kept in memory only: a new leader starts from
// the replicated State and collects evidence again. State.Evidence and
// Step.Evidence are texts for operators. A Controller is not safe for concurrent
// use.
type Controller struct {
	initial     State
	allRoutes   *routeEvidence
	routes      map[model.Route]*routeEvidence
	reporters   map[model.InstanceID]bool
	stopReasons map[model.InstanceID]string
	// stopSince is when the first stop was seen; valid only if stopped is set.
	stopSince time.Duration
	stopped   bool
	// explainedFailures counts failures of the new version in this period that
	// are attributed to a request that crashes targets.
	explainedFailures float64
	knownSuspects     map[model.Fingerprint]bool
	periodEnd         time.Duration
	step              int
	stepSince         time.Duration
	comparing         bool
	// secondComparisons counts the second comparisons that have started after
	// baseline alarms.
	secondComparisons int
	// peakEvidence is the strongest evidence of this step, reached at peakAt.
	peakEvidence  float64
	peakAt        time.Duration
	periodStarted bool
}

// NewController returns a controller for the move with state s.
func NewController(s State) *Controller {
	c := &Controller{
		initial: s, step: -1,
		routes:        make(map[model.Route]*routeEvidence),
		reporters:     make(map[model.InstanceID]bool),
		stopReasons:   make(map[model.InstanceID]string),
		knownSuspects: make(map[model.Fingerprint]bool),
	}
	c.allRoutes = newRouteEvidence("all routes", c.limit(1))
	return c
}

// limit returns the evidence at which the n-th group of tests decides: 1 is all
// routes combined, 2 and above are single routes in the order in which they were
// first seen. The false-alarm rate is divided among these as 1/(n(n+1)), evenly
// among the tests of a route, and among the periods of the move, which bound the
// number of its windows.
func (c *Controller) limit(n int) float64 {
	periods := float64(c.initial.Rule.By.Sub(c.initial.Started) / Period)
	tests := float64(1 + len(testedQuantiles))
	alpha := FalseAlarmRate / float64(n*(n+1)) / tests
	return math.Log(max(planOf(&c.initial).minPeriodCount, periods) / alpha)
}

// Decide returns the step to propose at now, or the reason for proposing none.
func (c *Controller) Decide(s State, now DecisionTime) (*Step, Reason) {
	if s.Phase != PhaseUnderWay {
		return nil, ReasonEnded
	}
	c.trackStep(s, now)
	c.endPeriod(now)
	if evidence, bad := c.verdict(now); bad {
		return newStep(s, now, PhaseRolledBack, 0, evidence), ""
	}
	if s.Share == 1 && c.baselineAlarm() {
		if c.secondComparisons > 0 {
			return newStep(s, now, PhaseRolledBack, 0, "the new version fails again at all the traffic, not at half of it"), ""
		}
		c.comparing = true
		return newStep(s, now, PhaseUnderWay, compareShare, "the new version fails; both are compared at half the traffic"), ""
	}
	if c.shouldHold(now) {
		return nil, ReasonGatheringEvidence
	}
	if !c.stageElapsed(s, now) {
		return nil, ReasonObserving
	}
	return c.nextStep(s, now), ""
}

// trackStep records on the monotonic clock when a step was first seen. Pending
// windows are dropped: the versions' shares change with the step, so a window
// must not span it.
func (c *Controller) trackStep(s State, now DecisionTime) {
	if s.Step == c.step {
		return
	}
	c.step, c.stepSince = s.Step, now.Monotonic
	if c.comparing && s.Share < 1 {
		c.secondComparisons++
	}
	c.peakEvidence = 0
	for _, r := range c.allEvidence() {
		r.dropWindow()
		r.baseline.resetEvidence()
	}
}

// endPeriod ends the current period on all routes once its time has passed. The
// first call starts the first period.
func (c *Controller) endPeriod(now DecisionTime) {
	if !c.periodStarted {
		c.periodStarted, c.periodEnd = true, now.Monotonic+Period
		return
	}
	if now.Monotonic < c.periodEnd {
		return
	}
	c.periodEnd = now.Monotonic + Period
	for _, r := range c.allEvidence() {
		r.endPeriod(c.explainedFailures)
	}
	c.explainedFailures = 0
}

// verdict reports whether the new version must be rolled back, and why.
func (c *Controller) verdict(now DecisionTime) (evidence string, bad bool) {
	for _, r := range c.allEvidence() {
		if fraction, description := r.strongest(); fraction >= 1 {
			return fmt.Sprintf("%s of version %s on %s beyond version %s in the same windows",
				description, c.initial.Rule.To, r.name, c.initial.Rule.From), true
		}
	}
	if n := len(c.stopReasons); c.stopQuorum(now) {
		return fmt.Sprintf("%d of %d entries stopped version %s: %s",
			n, len(c.reporters), c.initial.Rule.To, c.stopReason()), true
	}
	return "", false
}

// stopQuorum reports whether enough entries stopped the new version. While only
// one entry has reported, its stop suffices, but only after singleEntryStopDelay,
// so that any other entries have time to report.
func (c *Controller) stopQuorum(now DecisionTime) bool {
	n := len(c.stopReasons)
	if n == 0 {
		return false
	}
	if !c.stopped {
		c.stopped, c.stopSince = true, now.Monotonic
	}
	if len(c.reporters) <= 1 {
		return now.Monotonic >= c.stopSince+singleEntryStopDelay
	}
	return n >= minStoppedEntries && float64(n) >= minStoppedShare*float64(len(c.reporters))
}

func (c *Controller) stopReason() string {
	var first model.InstanceID
	for id := range c.stopReasons {
		if first == "" || id < first {
			first = id
		}
	}
	return c.stopReasons[first]
}

func (c *Controller) baselineAlarm() bool {
	for _, r := range c.allEvidence() {
		if r.baseline.alarm() {
			return true
		}
	}
	return false
}

// shouldHold reports whether the evidence is at or above holdThreshold and grew
// within the plan's last maxHold. Evidence does not change without further
// answers of the new version; the share must then increase to collect more.
func (c *Controller) shouldHold(now DecisionTime) bool {
	strongest := c.strongest()
	if strongest > c.peakEvidence {
		c.peakEvidence, c.peakAt = strongest, now.Monotonic
	}
	return strongest >= holdThreshold && now.Monotonic-c.peakAt < planOf(&c.initial).maxHold
}

// strongest returns the strongest evidence as a fraction of its limit.
func (c *Controller) strongest() float64 {
	var greatest float64
	for _, r := range c.allEvidence() {
		fraction, _ := r.strongest()
		greatest = max(greatest, fraction)
	}
	return greatest
}

// stageElapsed reports whether the current share has been in force long enough.
// The minimum is checked on the monotonic clock, in case the wall clock jumps
// ahead.
func (c *Controller) stageElapsed(s State, now DecisionTime) bool {
	if s.Share == 0 {
		return true
	}
	if now.Monotonic-c.stepSince < planOf(&s).minStageDuration {
		return false
	}
	if c.comparing {
		return now.Monotonic-c.stepSince >= compareDuration
	}
	return now.Wall.Sub(s.SteppedAt) >= stageDuration(&s)
}

func (c *Controller) nextStep(s State, now DecisionTime) *Step {
	c.comparing = false
	if planOf(&s).isLast(s.Share) {
		return newStep(s, now, PhaseDone, 1, "the last step was watched and showed no fault")
	}
	share := nextShare(&s)
	return newStep(s, now, PhaseUnderWay, share, fmt.Sprintf("no fault at %g%%", 100*s.Share))
}

func newStep(s State, now DecisionTime, p Phase, share float64, evidence string) *Step {
	return &Step{
		Collection: s.Rule.Collection, Revision: s.Revision, Expect: s.Step,
		Phase: p, Share: share, At: now.Wall, Evidence: evidence,
	}
}
