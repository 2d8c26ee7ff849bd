package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/control/server"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/metricsapi"
)

func dutiesCommand(o *options) *cobra.Command {
	var addresses []string
	command := &cobra.Command{
		Use:     "duties",
		Short:   "Show who holds the duties, the last call, and which usage windows were accepted",
		Example: `  radishturn duties --metrics 10.0.0.4:9464,10.0.0.5:9464,10.0.0.6:9464`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			d, err := readDuties(c.Context(), o, addresses)
			if err != nil {
				return err
			}
			return o.print(d, func(w *tabwriter.Writer) { renderDuties(w, d) })
		},
	}
	command.Flags().StringSliceVar(&addresses, "metrics", nil, "metrics addresses of control members; the leader among them is shown")
	return command
}

// readDuties asks control members and returns what the one that may act says, or else the
// one that knows the highest fencing token.
func readDuties(ctx context.Context, o *options, addresses []string) (*server.DutyStatus, error) {
	if len(addresses) == 0 {
		return nil, exitWith(ExitInvalid, errors.New("no address given; use --metrics"))
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	client := &apiClient{http: http.DefaultClient}
	var (
		best     *server.DutyStatus
		failures []error
	)
	for _, address := range addresses {
		s := new(processStatus)
		if err := client.send(ctx, http.MethodGet, "http://"+address+metricsapi.StatusPath, nil, s); err != nil {
			failures = append(failures, err)
			continue
		}
		if s.Control == nil || s.Control.Duty == nil {
			failures = append(failures, failure.New(failure.NotFound, failure.NotRun, "read duties", address, "no duty is set there"))
			continue
		}
		if d := s.Control.Duty; best == nil || d.MayAct && !best.MayAct || d.MayAct == best.MayAct && d.Token > best.Token {
			best = d
		}
	}
	if best == nil {
		return nil, errors.Join(failures...)
	}
	return best, nil
}

func renderDuties(w *tabwriter.Writer, d *server.DutyStatus) {
	if d.Holder == "" {
		printf(w, "duty %s: nobody has acquired it yet", d.Name)
	} else {
		printf(w, "duty %s: held by %s, token %d, acquired %v ago", d.Name, d.Holder, d.Token, milliseconds(d.HeldMilliseconds))
	}
	if !d.MayAct {
		printf(w, "the asked process may not act: %s", d.Reason)
	}
	if c := d.LastCall; c == nil {
		printf(w, "the asked process has made no call")
	} else {
		printf(w, "last call: window %d, token %d, %s (%s), %v ago", c.Window, c.Token, c.Answer, c.Detail, milliseconds(c.AgoMilliseconds))
	}
	if d.Dropped > 0 {
		printf(w, "%d windows were dropped without having been accepted", d.Dropped)
	}
	printf(w, "WINDOW\tSTATE\tCALLERS\tREQUESTS")
	for _, window := range d.Windows {
		if window.Accepted {
			printf(w, "%d\taccepted\t\t", window.Window)
		} else {
			printf(w, "%d\t%s\t%d\t%d", window.Window, "not accepted", window.Callers, window.Runs)
		}
	}
}

func milliseconds(n int64) string { return fmt.Sprint(time.Duration(n) * time.Millisecond) }
