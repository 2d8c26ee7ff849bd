package move

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// Observe adds a report of an entry.
func (c *Controller) Observe(from model.InstanceID, report view.Evidence) {
	for _, o := range report.Outcomes {
		if o.Collection == c.initial.Rule.Collection {
			c.reporters[from] = true
			c.addOutcome(o)
		}
	}
	for _, s := range report.VersionStops {
		if s.Collection == c.initial.Rule.Collection && s.Version == c.initial.Rule.To {
			c.stopReasons[from], c.reporters[from] = s.Reason, true
		}
	}
	for _, d := range report.Crashes {
		c.addCrash(d)
	}
}

func (c *Controller) addOutcome(o view.Outcome) {
	isNew := o.Version == c.initial.Rule.To
	if !isNew && o.Version != c.initial.Rule.From {
		return
	}
	c.allRoutes.add(isNew, o)
	if r := c.route(o.Route); r != nil {
		r.add(isNew, o)
	}
}

// route returns the evidence of a route, or nil if maxRoutes others are tracked.
func (c *Controller) route(route model.Route) *routeEvidence {
	r := c.routes[route]
	if r == nil && len(c.routes) < maxRoutes {
		r = newRouteEvidence(fmt.Sprintf("route %q", route), c.limit(len(c.routes)+2))
		c.routes[route] = r
	}
	return r
}

// allEvidence returns the combined evidence of all routes, then that of each route.
func (c *Controller) allEvidence() []*routeEvidence {
	all := []*routeEvidence{c.allRoutes}
	for _, route := range slices.Sorted(maps.Keys(c.routes)) {
		all = append(all, c.routes[route])
	}
	return all
}

// addCrash records failures that are explained by a request that crashes
// targets. If a suspect request of this crash was already suspected in an
// earlier one, its failures are attributed to the request; any other crash
// counts against the version.
func (c *Controller) addCrash(d view.TargetCrash) {
	if !strings.HasPrefix(string(d.Target), string(c.initial.Rule.Collection)+"/") ||
		!strings.HasSuffix(string(d.Target), "@"+string(c.initial.Rule.To)) {
		return
	}
	for _, f := range d.Suspects {
		if c.knownSuspects[f] {
			c.explainedFailures += float64(len(d.Suspects))
			return
		}
	}
	if len(c.knownSuspects) < maxSuspects {
		for _, f := range d.Suspects {
			c.knownSuspects[f] = true
		}
	}
}

// maxSuspects bounds the remembered fingerprints of requests suspected of
// crashing a target.
const maxSuspects = 1024
