package cli

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"

	"radishturn.example/radishturn/pkg/control/server"
	"radishturn.example/radishturn/pkg/dispatch"
	"radishturn.example/radishturn/pkg/lease"
	"radishturn.example/radishturn/pkg/metricsapi"
)

// processStatus is the status that a process serves on its metrics address.
// Sections that its role lacks are nil.
type processStatus struct {
	Lease    *lease.Status    `json:"lease,omitempty"`
	Dispatch *dispatch.Status `json:"dispatch,omitempty"`
	Control  *server.Status   `json:"control,omitempty"`
}

// showProcessStatus prints the status of one process in the role entry or control.
func showProcessStatus(ctx context.Context, o *options, address string) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	client, s := &apiClient{http: http.DefaultClient}, new(processStatus)
	if err := client.send(ctx, http.MethodGet, "http://"+address+metricsapi.StatusPath, nil, s); err != nil {
		return err
	}
	return o.print(s, func(w *tabwriter.Writer) { s.render(w) })
}

func (s *processStatus) render(w *tabwriter.Writer) {
	if l := s.Lease; l != nil {
		printf(w, "lease %s, %d ms left, revision %d, %d instances known", l.Lease, l.LeftMilliseconds, l.Revision, l.Instances)
		printf(w, "evacuated: %s; out by rule: %s", joinNames(l.Evacuated), joinNames(l.ZonesOut))
	}
	if c := s.Control; c != nil {
		printf(w, "leader %s, term %d, commit %d, %d voters, %d learners, %d instances", c.Member.Leader.Instance,
			c.Member.Term, c.Member.Commit, len(c.Member.Voters), len(c.Member.Learners), c.Instances)
		renderLossesTolerated(w, &c.Member)
		printf(w, "routing table %d", c.TableVersion)
		if l := c.Leader; l != nil {
			printf(w, "leads: %d leases, %d targets listed (change %d), %d dear", l.Leases, l.CatalogTargets, l.CatalogSequence, l.HighCostTargets)
		}
	}
	if d := s.Dispatch; d != nil {
		renderDispatch(w, d)
	}
}

// renderDispatch lists the targets that get no requests, are cold, or cost more
// than usual.
func renderDispatch(w *tabwriter.Writer, d *dispatch.Status) {
	printf(w, "routing table %d, %d targets, %d budgets", d.TableVersion, len(d.Targets), len(d.Budgets))
	printf(w, "TARGET\tSERVICE\tZONE\tCOST\tDEAR\tCONNECTIONS\tIN FLIGHT\tSTATE")
	for _, t := range d.Targets {
		if t.Unused == "" && t.FleetCost == 0 && t.Cost < minListedCost && !t.Cold {
			continue
		}
		state := t.Unused
		if state == "" && t.Cold {
			state = "cold"
		}
		printf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s", t.ID, t.Service, t.AvailabilityZone,
			fmt.Sprintf("%.1f", t.Cost), fmt.Sprintf("%.1f", t.FleetCost), t.Connections, t.InFlight, state)
	}
}

// minListedCost is the cost from which a target is listed, as a multiple of the
// usual latency.
const minListedCost = 2
