package move

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

const (
	// FalseAlarmRate bounds the chance that a good version's move is taken back.
	FalseAlarmRate = 0.001
	// Window is how long evidence is gathered before it is weighed.
	Window = time.Second
	// maximumRoutes bounds the routes that are watched.
	maximumRoutes = 64
	// stopsNeeded is the least number of entries whose local stops decide.
	stopsNeeded = 2
	// loneStopWait is how long the stop of the only entry that was heard of
	// waits for reports of others; they come with each renewal.
	loneStopWait = 2 * Window
	// stopsShare is the least share of the reporting entries among them.
	stopsShare = 1.0 / 3
	// suspicion is the part of a limit from which on the share does not grow.
	suspicion = 0.5
	// compareShare is the share at which both versions are compared again.
	compareShare = 0.5
	// compareFor is how long a second comparison lasts.
	compareFor = 30 * time.Second
)

// DecisionTime is the time of a decision. Only deadlines use the wall clock.
type DecisionTime struct {
	Wall time.Time
	// Monotonic counts from an origin that the caller chose.
	Monotonic time.Duration
}

// Reason says why the controller proposes no step.
type Reason string

// Reasons to wait.
const (
	ReasonObserving         Reason = "the present share is being watched"
	ReasonGatheringEvidence Reason = "evidence against the new version is being gathered"
	ReasonEnded             Reason = "the move has ended"
)

// Controller decides the steps of one move. It keeps the evidence in memory
// only: a new leader starts with the replicated State and gathers anew. It is
// not safe for concurrent use.
type Controller struct {
	rule      State
	pooled    *routeEvidence
	routes    map[model.Route]*routeEvidence
	reporters map[model.InstanceID]bool
	stops     map[model.InstanceID]string
	// stopSince is when the first stop was seen, if stopped is set.
	stopSince time.Duration
	stopped   bool
	// explained counts failures of the new version that a death accounts for.
	explained float64
	poisoned  map[model.Fingerprint]bool
	windowEnd time.Duration
	step      int
	stepSince time.Duration
	comparing bool
	// alarms counts the alarms of the new version alone.
	alarms int
	// peak is the strongest evidence of this step so far, and since when.
	peak         float64
	peakAt       time.Duration
	windowOpened bool
}

// NewController returns a controller for the move described by s.
func NewController(s State) *Controller {
	c := &Controller{
		rule: s, step: -1,
		routes:    make(map[model.Route]*routeEvidence),
		reporters: make(map[model.InstanceID]bool),
		stops:     make(map[model.InstanceID]string),
		poisoned:  make(map[model.Fingerprint]bool),
	}
	c.pooled = newRouteEvidence("all routes", c.limit(1))
	return c
}

// Observe takes in what an entry reported.
func (c *Controller) Observe(from model.InstanceID, e view.Evidence) {
	for _, o := range e.Outcomes {
		if o.Collection == c.rule.Rule.Collection {
			c.reporters[from] = true
			c.addOutcome(o)
		}
	}
	for _, s := range e.Stop {
		if s.Collection == c.rule.Rule.Collection && s.Version == c.rule.Rule.To {
			c.stops[from], c.reporters[from] = s.Reason, true
		}
	}
	for _, d := range e.Deaths {
		c.addDeath(d)
	}
}

func (c *Controller) addOutcome(o view.Outcome) {
	isNew := o.Version == c.rule.Rule.To
	if !isNew && o.Version != c.rule.Rule.From {
		return
	}
	c.pooled.add(isNew, o)
	if r := c.route(o.Route); r != nil {
		r.add(isNew, o)
	}
}

// route returns the evidence of a route, or nil when too many are watched.
func (c *Controller) route(route model.Route) *routeEvidence {
	r := c.routes[route]
	if r == nil && len(c.routes) < maximumRoutes {
		r = newRouteEvidence(fmt.Sprintf("route %q", route), c.limit(len(c.routes)+2))
		c.routes[route] = r
	}
	return r
}

// all returns the evidence of all routes together, then that of each.
func (c *Controller) all() []*routeEvidence {
	all := []*routeEvidence{c.pooled}
	for _, route := range slices.Sorted(maps.Keys(c.routes)) {
		all = append(all, c.routes[route])
	}
	return all
}

// addDeath notes the failures that a target's death explains. A request that
// kills one target after the other explains all its deaths; of other deaths
// every one counts against the version.
func (c *Controller) addDeath(d view.Death) {
	if !strings.HasPrefix(string(d.Target), string(c.rule.Rule.Collection)+"/") ||
		!strings.HasSuffix(string(d.Target), "@"+string(c.rule.Rule.To)) {
		return
	}
	for _, f := range d.Suspects {
		if c.poisoned[f] {
			c.explained += float64(len(d.Suspects))
			return
		}
	}
	if len(c.poisoned) < maximumSuspects {
		for _, f := range d.Suspects {
			c.poisoned[f] = true
		}
	}
}

// maximumSuspects bounds the remembered suspects of deaths.
const maximumSuspects = 1024

// limit returns the evidence needed on the n-th route. The false-alarm rate is
// split over routes as 1/(n(n+1)), evenly over the tests of a route, and over
// the windows of the move.
func (c *Controller) limit(n int) float64 {
	windows := float64(c.rule.Rule.By.Sub(c.rule.Started) / Window)
	tests := float64(1 + len(watchedQuantiles))
	alpha := FalseAlarmRate / float64(n*(n+1)) / tests
	return math.Log(max(planOf(&c.rule).minimumHorizon, windows) / alpha)
}

// Decide returns the step to propose at now, or the reason for none.
func (c *Controller) Decide(s State, now DecisionTime) (*Step, Reason) {
	if s.Phase != PhaseUnderWay {
		return nil, ReasonEnded
	}
	c.follow(s, now)
	c.closeWindow(now)
	if evidence, bad := c.verdict(now); bad {
		return newStep(s, now, PhaseRolledBack, 0, evidence), ""
	}
	if s.Share == 1 && c.suspiciousAlone() {
		if c.alarms > 0 {
			return newStep(s, now, PhaseRolledBack, 0, "the new version fails again at all the traffic, not at half of it"), ""
		}
		c.comparing = true
		return newStep(s, now, PhaseUnderWay, compareShare, "the new version fails; both are compared at half the traffic"), ""
	}
	if c.suspicious(now) {
		return nil, ReasonGatheringEvidence
	}
	if !c.watched(s, now) {
		return nil, ReasonObserving
	}
	return c.forward(s, now), ""
}

// follow notes when a step was first seen, on the monotonic clock. A window
// never spans a step, since the shares of the versions differ.
func (c *Controller) follow(s State, now DecisionTime) {
	if s.Step == c.step {
		return
	}
	c.step, c.stepSince = s.Step, now.Monotonic
	if c.comparing && s.Share < 1 {
		c.alarms++
	}
	c.peak = 0
	for _, r := range c.all() {
		r.drop()
		r.baseline.restart()
	}
}

func (c *Controller) closeWindow(now DecisionTime) {
	if !c.windowOpened {
		c.windowOpened, c.windowEnd = true, now.Monotonic+Window
		return
	}
	if now.Monotonic < c.windowEnd {
		return
	}
	c.windowEnd = now.Monotonic + Window
	for _, r := range c.all() {
		r.close(c.explained)
	}
	c.explained = 0
}

// verdict reports whether the new version is bad, and why.
func (c *Controller) verdict(now DecisionTime) (evidence string, bad bool) {
	for _, r := range c.all() {
		if part, what := r.strongest(); part >= 1 {
			return fmt.Sprintf("%s of version %s on %s beyond version %s in the same windows",
				what, c.rule.Rule.To, r.name, c.rule.Rule.From), true
		}
	}
	if n := len(c.stops); c.stopsDecide(now) {
		return fmt.Sprintf("%d of %d entries stopped version %s: %s",
			n, len(c.reporters), c.rule.Rule.To, c.anyStop()), true
	}
	return "", false
}

// stopsDecide reports whether enough entries stopped the new version by
// themselves. A fleet of one entry has no second one to ask, but entries get the
// time of loneStopWait to show that they are there.
func (c *Controller) stopsDecide(now DecisionTime) bool {
	n := len(c.stops)
	if n == 0 {
		return false
	}
	if !c.stopped {
		c.stopped, c.stopSince = true, now.Monotonic
	}
	if len(c.reporters) <= 1 {
		return now.Monotonic >= c.stopSince+loneStopWait
	}
	return n >= stopsNeeded && float64(n) >= stopsShare*float64(len(c.reporters))
}

func (c *Controller) anyStop() string {
	var first model.InstanceID
	for id := range c.stops {
		if first == "" || id < first {
			first = id
		}
	}
	return c.stops[first]
}

func (c *Controller) suspiciousAlone() bool {
	for _, r := range c.all() {
		if r.baseline.suspicious() {
			return true
		}
	}
	return false
}

// suspicious reports whether there is much evidence that still grows. Without
// further answers of the new version evidence stays where it is; the share then
// has to grow to find out more.
func (c *Controller) suspicious(now DecisionTime) bool {
	strongest := c.strongest()
	if strongest > c.peak {
		c.peak, c.peakAt = strongest, now.Monotonic
	}
	return strongest >= suspicion && now.Monotonic-c.peakAt < planOf(&c.rule).suspicionLasts
}

// strongest returns the greatest evidence as a part of its limit.
func (c *Controller) strongest() float64 {
	var greatest float64
	for _, r := range c.all() {
		part, _ := r.strongest()
		greatest = max(greatest, part)
	}
	return greatest
}

// watched reports whether the present share has been watched long enough. The
// monotonic clock guards against a wall clock that jumps ahead.
func (c *Controller) watched(s State, now DecisionTime) bool {
	if s.Share == 0 {
		return true
	}
	if now.Monotonic-c.stepSince < planOf(&s).minimumWatch {
		return false
	}
	if c.comparing {
		return now.Monotonic-c.stepSince >= compareFor
	}
	return now.Wall.Sub(s.SteppedAt) >= watch(&s)
}

func (c *Controller) forward(s State, now DecisionTime) *Step {
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
