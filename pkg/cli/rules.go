package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/adminapi"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/model"
)

const (
	rulesPath = "/admin/v1/rules"
	// inForcePollInterval is how often "rules apply" polls where a change is in
	// force.
	inForcePollInterval = 200 * time.Millisecond
	hashDigits          = 12
)

func rulesCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "rules", Short: "Check, apply and list the operators' rules"}
	command.AddCommand(rulesCheckCommand(o), rulesApplyCommand(o), rulesShowCommand(o), rulesHistoryCommand(o))
	return command
}

// applyResult is the JSON output of "rules apply".
type applyResult struct {
	Change  *control.Change  `json:"change"`
	InForce *control.InForce `json:"inForce"`
}

func rulesApplyCommand(o *options) *cobra.Command {
	base := int64(-1)
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the rules by FILE and wait until they are in force",
		Example: `  radishturn rules apply rules.txt
  radishturn rules apply --base 41 rules.txt`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return applyRules(c.Context(), o, args[0], base)
		},
	}
	command.Flags().Int64Var(&base, "base", base, "revision that the file is based on; -1 means the latest")
	return command
}

func applyRules(ctx context.Context, o *options, file string, base int64) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return exitWith(ExitInvalid, err)
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	if base < 0 {
		latest := new(control.Change)
		if err := client.call(ctx, http.MethodGet, rulesPath, nil, latest); err != nil {
			return err
		}
		base = int64(latest.Revision)
	}
	result := applyResult{Change: new(control.Change)}
	request := adminapi.ApplyRequest{Base: model.Revision(base), Text: string(text)}
	if err := client.call(ctx, http.MethodPost, rulesPath, request, result.Change); err != nil {
		return err
	}
	result.InForce, err = waitInForce(ctx, client, result.Change.Revision)
	if err != nil {
		return err
	}
	return o.printApplied(result)
}

// waitInForce polls until the revision is in force on every instance or ctx is
// done. In the second case it returns the last state read.
func waitInForce(ctx context.Context, client *apiClient, revision model.Revision) (*control.InForce, error) {
	path := fmt.Sprintf("%s/%d/in-force", rulesPath, revision)
	last := &control.InForce{Revision: revision}
	for {
		state := new(control.InForce)
		err := client.call(ctx, http.MethodGet, path, nil, state)
		if ctx.Err() != nil {
			return last, nil
		}
		if err != nil {
			return nil, err
		}
		if len(state.Missing) == 0 {
			return state, nil
		}
		last = state
		select {
		case <-ctx.Done():
			return last, nil
		case <-time.After(inForcePollInterval):
		}
	}
}

func (o *options) printApplied(r applyResult) error {
	missing := r.InForce.Missing
	err := o.print(r, func(w *tabwriter.Writer) {
		printf(w, "revision %d accepted", r.Change.Revision)
		if len(missing) == 0 {
			printf(w, "in force everywhere (%d instances)", len(r.InForce.Acknowledged))
			return
		}
		printf(w, "in force except %s", joinNames(missing))
	})
	if err == nil && len(missing) > 0 {
		err = exitWith(ExitNotInForce, fmt.Errorf("not in force on %s", joinNames(missing)))
	}
	return err
}

func joinNames[T ~string](list []T) string {
	names := make([]string, len(list))
	for i, name := range list {
		names[i] = string(name)
	}
	return strings.Join(names, ", ")
}

func rulesShowCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the latest accepted rules",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			change := new(control.Change)
			if err := o.get(c.Context(), rulesPath, change); err != nil {
				return err
			}
			return o.print(change, func(w *tabwriter.Writer) {
				printf(w, "# revision %d by %s at %s", change.Revision, change.Author, change.At.Format(time.RFC3339))
				printf(w, "%s", strings.TrimRight(change.Text, "\n"))
			})
		},
	}
}

func rulesHistoryCommand(o *options) *cobra.Command {
	var limit int
	command := &cobra.Command{
		Use:   "history",
		Short: "List accepted revisions of the rules, newest first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var changes []control.Change
			if err := o.get(c.Context(), fmt.Sprintf("%s/history?limit=%d", rulesPath, limit), &changes); err != nil {
				return err
			}
			return o.print(changes, func(w *tabwriter.Writer) {
				printf(w, "REVISION\tAT\tAUTHOR\tRULES\tHASH")
				for _, change := range changes {
					printf(w, "%d\t%s\t%s\t%d\t%s", change.Revision, change.At.Format(time.RFC3339),
						change.Author, len(change.Rules.Rules), change.Hash[:min(hashDigits, len(change.Hash))])
				}
			})
		},
	}
	command.Flags().IntVar(&limit, "limit", 20, "maximum number of revisions to list")
	return command
}

// get sends a GET request to the admin API.
func (o *options) get(ctx context.Context, path string, result any) error {
	return o.do(ctx, http.MethodGet, path, nil, result)
}

// do sends one request to the admin API.
func (o *options) do(ctx context.Context, method, path string, body, result any) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return client.call(ctx, method, path, body, result)
}

var errMoveRolledBack = errors.New("the move was taken back")
