// Package load is an open-loop load generator. It sends queries and orders to
// entries (instances that serve the caller API), measures latency from the
// intended send time, and checks every answer against the known data of the
// stand-in for the platform's targets.
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

// ErrInvalidExperiment marks errors about an experiment that is not valid.
var ErrInvalidExperiment = errors.New("experiment is not valid")

// Experiment sends the same load to several variants to compare them.
type Experiment struct {
	Name string `json:"name"`
	// About describes what the experiment shows.
	About string `json:"about,omitempty"`
	// Standin is the address of the stand-in's control API, through which faults
	// are set, for variants that set none.
	Standin netip.AddrPort `json:"standin"`
	Load    Load           `json:"load"`
	// Faults are injected at the given offsets from the start of each variant.
	Faults   []standin.ScheduledFault `json:"faults,omitempty"`
	Variants []Variant                `json:"variants"`
	// SideBySide runs the variants concurrently, each against its own stand-in.
	// Otherwise they run one after the other.
	SideBySide bool `json:"sideBySide,omitempty"`
	// SettleTime is the pause between the reset of the stand-in and the start of
	// each variant.
	SettleTime settings.Duration `json:"settle,omitempty"`
}

// Variant is one group of entries under test.
type Variant struct {
	Name string `json:"name"`
	// Entries are the addresses on which the entries serve the caller API.
	Entries []netip.AddrPort `json:"entries"`
	// Standin is the address of the control API of the variant's stand-in.
	Standin netip.AddrPort `json:"standin,omitzero"`
	// RateFactor multiplies the rate of the load; 0 means 1.
	RateFactor float64 `json:"rateFactor,omitempty"`
	// WithoutFaults runs the variant without any faults.
	WithoutFaults bool `json:"withoutFaults,omitempty"`
	// Faults, if not empty, replace the faults of the experiment.
	Faults []standin.ScheduledFault `json:"faults,omitempty"`
}

// Load describes the requests that are sent.
type Load struct {
	Collection model.CollectionID `json:"collection"`
	// Rate is the mean number of new requests per second.
	Rate float64 `json:"rate"`
	// Phases change the rate at the given offsets from the start.
	Phases []Phase `json:"phases,omitempty"`
	// Duration is the time during which new requests are sent.
	Duration settings.Duration `json:"duration"`
	// MaxRequests limits the number of requests, including resends and
	// duplicates.
	MaxRequests int `json:"maxRequests"`
	// MaxInFlight limits the requests in flight. Requests above the limit are
	// not sent; the report counts them in NotSent. Duplicates of orders are
	// sent regardless of it.
	MaxInFlight int `json:"maxInFlight"`
	// UnmeasuredTime is the time from the start during which requests are checked but
	// not measured.
	UnmeasuredTime settings.Duration `json:"warmUp,omitempty"`
	// Seed determines the arrival times and the contents of requests.
	Seed uint64 `json:"seed"`
	// Timeout is the time that each request may take. The entry derives the
	// deadline of the request from it.
	Timeout     settings.Duration `json:"timeout"`
	Limit       int               `json:"limit"`
	MinCoverage float64           `json:"minCoverage,omitempty"`
	// Routes and Callers are chosen at random by weight; if empty, requests
	// name no route or caller.
	Routes  []WeightedValue `json:"routes,omitempty"`
	Callers []WeightedValue `json:"callers,omitempty"`
	// FixedQueries are queries with a fixed text, such as the text of a
	// poison request, which crashes the targets that process it. Value is the
	// text and Weight its share of all queries, from 0 to 1.
	FixedQueries []WeightedValue `json:"special,omitempty"`
	Orders       OrderLoad       `json:"orders,omitzero"`
	// MaxResends is the number of times that a caller resends a failed query, each
	// time to another entry. A query that an entry refused as not run is not
	// resent.
	MaxResends int `json:"resend,omitempty"`
	// HangUpShare is the share of queries that the caller cancels after
	// HangUpAfter.
	HangUpShare float64           `json:"hangUpShare,omitempty"`
	HangUpAfter settings.Duration `json:"hangUpAfter,omitempty"`
	// ReadyPollInterval is the interval between readiness checks, as a load
	// balancer makes them; entries that are not ready get no new requests.
	// 0 turns the checks off.
	ReadyPollInterval settings.Duration `json:"readyPoll,omitempty"`
}

// Phase sets the request rate from the given offset on.
type Phase struct {
	At   settings.Duration `json:"at"`
	Rate float64           `json:"rate"`
}

// WeightedValue is a value that is chosen at random in proportion to its weight.
type WeightedValue struct {
	Value  string  `json:"value"`
	Weight float64 `json:"weight"`
}

// OrderLoad describes the orders of a load.
type OrderLoad struct {
	// Share is the share of all requests that are orders, from 0 to 1.
	Share float64 `json:"share"`
	// DuplicateShare is the share of orders that are sent a second time through
	// another entry after DuplicateAfter, whatever the outcome of the first.
	DuplicateShare float64           `json:"resendShare,omitempty"`
	DuplicateAfter settings.Duration `json:"resendAfter,omitempty"`
	// MaxResends is the number of times that an order without a confirmation is
	// resent, each time through another entry.
	MaxResends int `json:"resend,omitempty"`
	// Leaves is the number of leaves per service that take orders, and Services
	// the number of such services.
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

// SelectVariants keeps only the variants with the given names, in that order.
func (e *Experiment) SelectVariants(names []string) error {
	var selected []Variant
	for _, name := range names {
		i := slices.IndexFunc(e.Variants, func(v Variant) bool { return v.Name == name })
		if i < 0 {
			return fmt.Errorf("%w: no variant %q", ErrInvalidExperiment, name)
		}
		selected = append(selected, e.Variants[i])
	}
	e.Variants = selected
	return nil
}

// Limits on the duration and the requests of a load.
const (
	maxDuration = 10 * time.Minute
	maxRequests = 2_000_000
)

// Check sets the default stand-in of each variant and returns all errors in the
// experiment, joined.
func (e *Experiment) Check() error {
	errs := e.Load.check()
	if len(e.Variants) == 0 {
		errs = append(errs, errors.New("variants: is empty"))
	}
	usedStandins := make(map[netip.AddrPort]bool)
	for i := range e.Variants {
		v := &e.Variants[i]
		if !v.Standin.IsValid() {
			v.Standin = e.Standin
		}
		if e.SideBySide && usedStandins[v.Standin] {
			errs = append(errs, fmt.Errorf("variants[%d].standin: with sideBySide each variant needs its own stand-in", i))
		}
		usedStandins[v.Standin] = true
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
	require(l.UnmeasuredTime < l.Duration, "warmUp", "must be less than the duration")
	require(isShare(l.Orders.Share), "orders.share", "must be from 0 to 1")
	require(isShare(l.Orders.DuplicateShare), "orders.resendShare", "must be from 0 to 1")
	require(isShare(l.HangUpShare), "hangUpShare", "must be from 0 to 1")
	require(l.Orders.Share == 0 || (l.Orders.Services > 0 && l.Orders.Leaves > 0),
		"orders", "services and leaves must be above 0")
	return errs
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }
