// Package load sends queries and orders to entries in an open loop, measures
// what callers feel from the intended send time on, and checks every answer
// against the truth of the stand-in.
package load

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/standin"
)

// ErrInvalidExperiment says that an experiment is not valid.
var ErrInvalidExperiment = errors.New("experiment is not valid")

// Experiment is one load that is sent to several variants to compare them.
type Experiment struct {
	Name string `json:"name"`
	// About says what the experiment shows.
	About string `json:"about,omitempty"`
	// Standin is the control address of the stand-in for variants that name none.
	Standin netip.AddrPort `json:"standin"`
	Load    Load           `json:"load"`
	// Faults are set at times since the start of each variant.
	Faults   []standin.ScheduledFault `json:"faults,omitempty"`
	Variants []Variant                `json:"variants"`
	// SideBySide runs the variants at the same time. Each needs a stand-in of
	// its own then. Otherwise they run one after the other.
	SideBySide bool `json:"sideBySide,omitempty"`
	// SettleTime is the pause before each variant, after the stand-in was reset.
	SettleTime settings.Duration `json:"settle,omitempty"`
}

// Variant is one group of entries under test.
type Variant struct {
	Name string `json:"name"`
	// Entries are the caller addresses of the entries.
	Entries []netip.AddrPort `json:"entries"`
	// Standin is the control address of the variant's stand-in.
	Standin netip.AddrPort `json:"standin,omitzero"`
	// RateFactor multiplies the rate of the load; 0 means 1.
	RateFactor float64 `json:"rateFactor,omitempty"`
	// WithoutFaults leaves the fault schedule out.
	WithoutFaults bool `json:"withoutFaults,omitempty"`
	// Faults replace those of the experiment if there are any.
	Faults []standin.ScheduledFault `json:"faults,omitempty"`
}

// Load describes the requests that are sent.
type Load struct {
	Collection model.CollectionID `json:"collection"`
	// Rate is the mean number of new requests each second.
	Rate float64 `json:"rate"`
	// Phases change the rate at times since the start.
	Phases []Phase `json:"phases,omitempty"`
	// Duration bounds the time in which requests are sent.
	Duration settings.Duration `json:"duration"`
	// MaxRequests bounds the number of requests, resent ones included.
	MaxRequests int `json:"maxRequests"`
	// MaxInFlight bounds the requests without an answer. Requests above it are
	// not sent, and counted.
	MaxInFlight int `json:"maxInFlight"`
	// WarmUp is the time whose requests are checked but not measured.
	WarmUp settings.Duration `json:"warmUp,omitempty"`
	// Seed fixes arrivals and the kinds of requests.
	Seed uint64 `json:"seed"`
	// Timeout is stated to the entries as the deadline of each request.
	Timeout     settings.Duration `json:"timeout"`
	Limit       int               `json:"limit"`
	MinCoverage float64           `json:"minCoverage,omitempty"`
	// Routes and Callers are chosen by weight; none leaves them out.
	Routes  []WeightedValue `json:"routes,omitempty"`
	Callers []WeightedValue `json:"callers,omitempty"`
	// FixedQueries are queries with a fixed text, such as a poison request. Value is
	// the text and Weight its share of all queries.
	FixedQueries []WeightedValue `json:"special,omitempty"`
	Orders       OrderLoad       `json:"orders,omitzero"`
	// MaxResends is the number of times that a caller sends a query again, each
	// time at another entry, when it failed without a proof that it did not run.
	MaxResends int `json:"resend,omitempty"`
	// HangUpShare is the share of queries whose caller hangs up after HangUpAfter.
	HangUpShare float64           `json:"hangUpShare,omitempty"`
	HangUpAfter settings.Duration `json:"hangUpAfter,omitempty"`
	// ReadyPollInterval is the interval at which readiness is asked, as a balancer
	// does; entries that are not ready get no new requests. 0 turns it off.
	ReadyPollInterval settings.Duration `json:"readyPoll,omitempty"`
}

// Phase changes the rate.
type Phase struct {
	At   settings.Duration `json:"at"`
	Rate float64           `json:"rate"`
}

// WeightedValue is a value that is chosen by weight.
type WeightedValue struct {
	Value  string  `json:"value"`
	Weight float64 `json:"weight"`
}

// OrderLoad describes the share of orders.
type OrderLoad struct {
	// Share of all requests that are orders, from 0 to 1.
	Share float64 `json:"share"`
	// ResendShare is the share of orders that are sent again ResendAfter later
	// through another entry, whatever became of the first.
	ResendShare float64           `json:"resendShare,omitempty"`
	ResendAfter settings.Duration `json:"resendAfter,omitempty"`
	// MaxResends is the number of times that an order without a confirmation is
	// sent again, each time through another entry.
	MaxResends int `json:"resend,omitempty"`
	// Leaves is the number of leaves of each service that take orders.
	Leaves   int `json:"leaves,omitempty"`
	Services int `json:"services,omitempty"`
}

// Read reads and checks an experiment file.
func Read(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w: %w", ErrInvalidExperiment, err)
	}
	e, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("read experiment %s: %w", file, err)
	}
	return e, nil
}

// Parse reads and checks an experiment in JSON with comments.
func Parse(text []byte) (*Experiment, error) {
	e := new(Experiment)
	if err := standin.DecodeStrict(text, e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidExperiment, err)
	}
	return e, e.Check()
}

// SelectVariants keeps the variants with the given names.
func (e *Experiment) SelectVariants(names []string) error {
	var kept []Variant
	for _, name := range names {
		i := slices.IndexFunc(e.Variants, func(v Variant) bool { return v.Name == name })
		if i < 0 {
			return fmt.Errorf("%w: no variant %q", ErrInvalidExperiment, name)
		}
		kept = append(kept, e.Variants[i])
	}
	e.Variants = kept
	return nil
}

// Limits of an experiment.
const (
	maxDuration = 10 * time.Minute
	maxRequests = 2_000_000
)

// Check reports all mistakes in the experiment.
func (e *Experiment) Check() error {
	errs := e.Load.check()
	if len(e.Variants) == 0 {
		errs = append(errs, errors.New("variants: is empty"))
	}
	standins := make(map[netip.AddrPort]bool)
	for i := range e.Variants {
		v := &e.Variants[i]
		if !v.Standin.IsValid() {
			v.Standin = e.Standin
		}
		if e.SideBySide && standins[v.Standin] {
			errs = append(errs, fmt.Errorf("variants[%d].standin: side by side each needs its own", i))
		}
		standins[v.Standin] = true
		errs = append(errs, v.check(i)...)
	}
	errs = append(errs, checkFaults("faults", e.Faults)...)
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidExperiment, err)
	}
	return nil
}

func (v *Variant) check(i int) []error {
	errs := checkFaults(fmt.Sprintf("variants[%d].faults", i), v.Faults)
	if v.Name == "" {
		errs = append(errs, fmt.Errorf("variants[%d].name: is missing", i))
	}
	if len(v.Entries) == 0 {
		errs = append(errs, fmt.Errorf("variants[%d].entries: is empty", i))
	}
	for _, a := range append([]netip.AddrPort{v.Standin}, v.Entries...) {
		if !a.Addr().IsLoopback() {
			errs = append(errs, fmt.Errorf("variants[%d]: %s is not a loopback address", i, a))
		}
	}
	return errs
}

func checkFaults(field string, faults []standin.ScheduledFault) []error {
	var errs []error
	for i, f := range faults {
		if err := f.Check(); err != nil {
			errs = append(errs, fmt.Errorf("%s[%d]: %w", field, i, err))
		}
	}
	return errs
}

func (l *Load) check() []error {
	var errs []error
	require := func(ok bool, field, rule string) {
		if !ok {
			errs = append(errs, fmt.Errorf("load.%s: %s", field, rule))
		}
	}
	require(l.Collection != "", "collection", "is missing")
	require(l.Rate > 0, "rate", "must be above 0")
	require(l.Duration > 0 && l.Duration.Std() <= maxDuration, "duration", "must be above 0 and at most "+maxDuration.String())
	require(l.MaxRequests > 0 && l.MaxRequests <= maxRequests, "maxRequests", fmt.Sprintf("must be above 0 and at most %d", maxRequests))
	require(l.MaxInFlight > 0, "maxInFlight", "must be above 0")
	require(l.Timeout > 0, "timeout", "must be above 0")
	require(l.Limit > 0, "limit", "must be above 0")
	require(l.WarmUp < l.Duration, "warmUp", "must be less than the duration")
	require(isShare(l.Orders.Share), "orders.share", "must be from 0 to 1")
	require(isShare(l.Orders.ResendShare), "orders.resendShare", "must be from 0 to 1")
	require(isShare(l.HangUpShare), "hangUpShare", "must be from 0 to 1")
	require(l.Orders.Share == 0 || (l.Orders.Services > 0 && l.Orders.Leaves > 0),
		"orders", "services and leaves must be above 0")
	return errs
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }
