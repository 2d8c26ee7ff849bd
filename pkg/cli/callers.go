package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/callerstats"
	"radishturn.example/radishturn/pkg/metricsapi"
)

func callersCommand(o *options) *cobra.Command {
	var addresses []string
	command := &cobra.Command{
		Use:   "callers",
		Short: "List the accounts of callers with their requests, added up over entry instances",
		Example: `  radishturn callers --metrics 10.0.0.4:9464,10.0.0.5:9464
  # Does each instance know the newest table?
  for a in 10.0.0.4 10.0.0.5; do radishturn callers --metrics $a:9464 | head -1; done`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return listCallers(c.Context(), o, addresses) },
	}
	command.Flags().StringSliceVar(&addresses, "metrics", nil, "metrics addresses of entry instances")
	_ = command.MarkFlagRequired("metrics")
	return command
}

// listCallers prints the accounts of the instances that answer, and returns the errors
// of the others.
func listCallers(ctx context.Context, o *options, addresses []string) error {
	var (
		all  []callerstats.Status
		errs []error
	)
	for _, address := range addresses {
		s, err := readCallers(ctx, o, address)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", address, err))
			continue
		}
		all = append(all, *s)
	}
	if len(all) > 0 {
		s := callerstats.Merge(all)
		errs = append(errs, o.print(s, func(w *tabwriter.Writer) { renderCallers(w, &s, len(all)) }))
	}
	return errors.Join(errs...)
}

func readCallers(ctx context.Context, o *options, address string) (*callerstats.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	client := &apiClient{http: http.DefaultClient}
	var sections struct {
		Callers *callerstats.Status `json:"callers"`
	}
	if err := client.send(ctx, http.MethodGet, "http://"+address+metricsapi.StatusPath, nil, &sections); err != nil {
		return nil, err
	}
	if sections.Callers == nil {
		return nil, errors.New("the process serves no callers")
	}
	return sections.Callers, nil
}

func renderCallers(w *tabwriter.Writer, s *callerstats.Status, instances int) {
	printf(w, "%d instances, routing table %d, newest renewal %d ms ago, %d accounts", instances, s.TableVersion, s.RenewalMilliseconds, len(s.Accounts))
	printf(w, "ACCOUNT\tPRIORITY\tKEYS\tREQUESTS\tREFUSED\tLAST USE")
	for _, a := range s.Accounts {
		priority, unused := "of the route", "none"
		if a.Priority != nil {
			priority = strconv.Itoa(*a.Priority)
		}
		if a.UnusedMilliseconds != nil {
			unused = (time.Duration(*a.UnusedMilliseconds) * time.Millisecond).Round(time.Second).String() + " ago"
		}
		printf(w, "%s\t%s\t%d\t%d\t%d\t%s", a.Name, priority, a.Keys, a.Requests, a.Refusals, unused)
	}
}
