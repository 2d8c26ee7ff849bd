package cli

import (
	"context"
	"errors"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/adminapi"
	"radishturn.example/radishturn/pkg/fanout"
	"radishturn.example/radishturn/pkg/requestlog"
	"radishturn.example/radishturn/pkg/rules"
)

const (
	requestsPath = "/admin/v1/requests"
	targetsPath  = "/admin/v1/targets"
)

func explainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain [REQUEST-ID [LOG...]]",
		Short: "Show why a request was slow and which leaves it lacked; without an ID list the slowest",
		Example: `  radishturn explain
  radishturn explain e4.7af5fb06-917e-467d-9215-52c901a18b4d
  radishturn explain 9c41d07be2a35f68 entry-1.log entry-2.log`,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return listSlowest(c.Context(), o)
			}
			if len(args) > 1 {
				return explainFromLogs(o, args[0], args[1:])
			}
			trace := new(fanout.QueryTrace)
			if err := o.get(c.Context(), requestsPath+"/"+args[0], trace); err != nil {
				return err
			}
			return o.print(trace, func(w *tabwriter.Writer) { renderTrace(w, trace) })
		},
	}
}

// explainFromLogs reconstructs the course of a request from the logs of processes.
func explainFromLogs(o *options, request string, files []string) error {
	var logs [][]requestlog.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return err
		}
		logs = append(logs, lines)
	}
	report := requestlog.Collect(request, logs)
	return o.print(report, func(w *tabwriter.Writer) {
		printf(w, "%s: %s", report.Request, report.Conclusion())
		for _, l := range append(report.StateChanges, report.Lines...) {
			printf(w, "%s\t%s\t%s\t%s\t%v", l.Log, l.At.Format("15:04:05.000"), l.Event, l.Message, l.Fields)
		}
	})
}

func readLog(name string) ([]requestlog.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, exitWith(ExitNotFound, err)
	}
	lines, err := requestlog.Read(name, file)
	return lines, errors.Join(err, file.Close())
}

func listSlowest(ctx context.Context, o *options) error {
	var list []fanout.RequestSummary
	if err := o.get(ctx, requestsPath, &list); err != nil {
		return err
	}
	return o.print(list, func(w *tabwriter.Writer) {
		printf(w, "REQUEST\tCOLLECTION\tMS")
		for _, s := range list {
			printf(w, "%s\t%s\t%.1f", s.RequestID, s.Collection, s.Milliseconds)
		}
	})
}

func renderTrace(w *tabwriter.Writer, trace *fanout.QueryTrace) {
	printf(w, "%s of %s: %.1f ms, caller %q, route %q, fingerprint %016x", trace.RequestID, trace.Collection,
		trace.Milliseconds, trace.Caller, trace.Route, uint64(trace.Fingerprint))
	if trace.Error != "" {
		printf(w, "failed: %s", trace.Error)
	}
	for _, pass := range trace.Passes {
		printf(w, "snapshot %s, from %.1f ms", pass.Snapshot, pass.StartedAfter)
		printf(w, "LEAF\tRESULT\tTARGET\tZONE\tVERSION\tFROM MS\tMS")
		for _, leaf := range pass.Leaves {
			renderLeaf(w, leaf)
		}
	}
}

func renderLeaf(w *tabwriter.Writer, leaf fanout.LeafTrace) {
	if len(leaf.Attempts) == 0 {
		printf(w, "%s\tmissing: %s", leaf.Leaf, leaf.MissingReason)
	}
	for _, a := range leaf.Attempts {
		result := a.Result
		if a.Hedge {
			result += " (hedge)"
		}
		printf(w, "%s\t%s\t%s\t%s\t%s\t%.1f\t%.1f", leaf.Leaf, result, a.Target, a.AvailabilityZone, a.Version, a.StartedAfter, a.Milliseconds)
	}
}

func targetsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "targets",
		Short: "List the targets as the asked instance sees them",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var list []fanout.TargetInfo
			if err := o.get(c.Context(), targetsPath, &list); err != nil {
				return err
			}
			return o.print(list, func(w *tabwriter.Writer) {
				printf(w, "TARGET\tZONE\tVERSION\tSTATE\tGRANT\tIN FLIGHT\tLATENCY MS")
				for _, t := range list {
					printf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%.1f", t.ID, t.AvailabilityZone, t.Version, targetState(t), t.Connections, t.InFlight, t.LatencyMs)
				}
			})
		},
	}
}

func targetState(t fanout.TargetInfo) string {
	switch {
	case !t.Admitted:
		return "out"
	case t.Draining:
		return "draining"
	case t.Ejected:
		return "ejected"
	case !t.Warm:
		return "cold"
	default:
		return "warm"
	}
}

func rulesCheckCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "List every mistake in FILE, or what it would change",
		Example: "  radishturn rules check rules.txt",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return checkRules(c.Context(), o, args[0])
		},
	}
}

func checkRules(ctx context.Context, o *options, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return exitWith(ExitInvalid, err)
	}
	reply := new(adminapi.CheckReply)
	if err := o.do(ctx, http.MethodPost, rulesPath+"/check", adminapi.CheckRequest{Text: string(text)}, reply); err != nil {
		return err
	}
	err = o.print(reply, func(w *tabwriter.Writer) {
		for _, m := range reply.Mistakes {
			printf(w, "%s:%s", file, m)
		}
		for _, d := range reply.Differences {
			if d.Kind != rules.Kept {
				printf(w, "%s\t%s\t%s", d.Kind, d.Old, d.New)
			}
		}
		if len(reply.Mistakes) == 0 {
			printf(w, "no mistakes; based on revision %d", reply.Base)
		}
	})
	if err == nil && len(reply.Mistakes) > 0 {
		err = exitWith(ExitInvalid, errors.New("rules have mistakes"))
	}
	return err
}
