package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/load"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

var errLoadViolation = errors.New("some answers violate the checks against the stand-in")

// loadFlags are the flags of the load command.
type loadFlags struct {
	options *options
	// experimentFile is the name of the experiment file; if empty, the flags describe
	// the load.
	experimentFile string
	variants       []string
	report         string
	plot           string

	entries     []string
	standin     string
	collection  string
	rate        float64
	duration    time.Duration
	deadline    time.Duration
	maxRequests int
	limit       int
	orderShare  float64
	services    int
	leaves      int
	seed        uint64
}

// Defaults of a load test without an experiment file.
const (
	defaultMaxInFlight = 2000
	defaultDeadline    = 500 * time.Millisecond
	defaultLimit       = 20
	reportFileMode     = 0o644
)

// loadCommand returns the command that runs a load test against entries on
// loopback and checks their answers against the stand-in.
func loadCommand(o *options) *cobra.Command {
	f := &loadFlags{options: o}
	c := &cobra.Command{
		Use:   "load [EXPERIMENT]",
		Short: "Send queries and orders to entries on loopback and check the answers",
		Long: `Send queries and orders in an open loop, measure latency from the intended send
time, and check every answer against the stand-in. The load comes from an
experiment file, JSON with comments, or from flags. It is bounded in count and time, and goes to
loopback addresses only.`,
		Example: `  radishturn load experiments/stragglers.jsonc --plot out/stragglers.svg
  radishturn load --entries 127.0.0.1:7110,127.0.0.1:7120 --standin 127.0.0.1:7001 \
    --collection shopfront --rate 100 --duration 5s --max-requests 1000 \
    --order-share 0.05 --order-services 20 --order-leaves 2`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				f.experimentFile = args[0]
			}
			return f.run(c)
		},
	}
	f.register(c)
	return c
}

func (f *loadFlags) register(c *cobra.Command) {
	flags := c.Flags()
	flags.StringArrayVar(&f.variants, "variant", nil, "run only this variant of the experiment; may be repeated")
	flags.StringVar(&f.report, "report", "", "write the whole report to this JSON file")
	flags.StringVar(&f.plot, "plot", "", "write a plot to this .svg or .png file")
	flags.StringSliceVar(&f.entries, "entries", nil, "addresses on which the instances serve callers")
	flags.StringVar(&f.standin, "standin", "", "control address of the stand-in")
	flags.StringVar(&f.collection, "collection", "", "collection to query")
	flags.Float64Var(&f.rate, "rate", 0, "mean number of requests per second")
	flags.DurationVar(&f.duration, "duration", 0, "how long requests are sent")
	flags.DurationVar(&f.deadline, "deadline", defaultDeadline, "deadline of each request")
	flags.IntVar(&f.maxRequests, "max-requests", 0, "maximum number of requests")
	flags.IntVar(&f.limit, "limit", defaultLimit, "number of hits requested")
	flags.Float64Var(&f.orderShare, "order-share", 0, "share of orders, from 0 to 1")
	flags.IntVar(&f.services, "order-services", 0, "number of services that take orders")
	flags.IntVar(&f.leaves, "order-leaves", 0, "number of leaves of each service that take orders")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of arrivals")
}

func (f *loadFlags) run(c *cobra.Command) error {
	experiment, err := f.read()
	if errors.Is(err, load.ErrInvalidExperiment) {
		return exitWith(ExitInvalid, err)
	}
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, experiment)
	if err != nil {
		return err
	}
	if err := f.write(c.OutOrStdout(), report); err != nil {
		return err
	}
	if report.HasViolations() {
		return exitWith(ExitViolation, errLoadViolation)
	}
	return nil
}

func (f *loadFlags) readFile() (*load.Experiment, error) {
	experiment, err := load.Read(f.experimentFile)
	if err != nil || len(f.variants) == 0 {
		return experiment, err
	}
	return experiment, experiment.SelectVariants(f.variants)
}

// read returns the experiment from the file, or else the one that the flags
// describe.
func (f *loadFlags) read() (*load.Experiment, error) {
	if f.experimentFile != "" {
		return f.readFile()
	}
	variant := load.Variant{Name: "load"}
	for _, text := range f.entries {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("--entries: %w: %w", load.ErrInvalidExperiment, err)
		}
		variant.Entries = append(variant.Entries, address)
	}
	standin, err := netip.ParseAddrPort(f.standin)
	if err != nil {
		return nil, fmt.Errorf("--standin: %w: %w", load.ErrInvalidExperiment, err)
	}
	experiment := &load.Experiment{
		Name:     "load",
		Standin:  standin,
		Load:     f.load(),
		Variants: []load.Variant{variant},
	}
	return experiment, experiment.Check()
}

func (f *loadFlags) load() load.Load {
	return load.Load{
		Collection:  model.CollectionID(f.collection),
		Rate:        f.rate,
		Duration:    settings.Duration(f.duration),
		MaxRequests: f.maxRequests,
		MaxInFlight: defaultMaxInFlight,
		Seed:        f.seed,
		Timeout:     settings.Duration(f.deadline),
		Limit:       f.limit,
		Orders:      load.OrderLoad{Share: f.orderShare, Services: f.services, Leaves: f.leaves},
	}
}

func (f *loadFlags) write(out io.Writer, report *load.Report) error {
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if f.report != "" {
		if err := os.WriteFile(f.report, encoded, reportFileMode); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	if f.plot != "" {
		if err := report.WritePlot(f.plot); err != nil {
			return err
		}
	}
	if f.options.json {
		_, err := fmt.Fprintf(out, "%s\n", encoded)
		return err
	}
	return report.WriteTable(out)
}
