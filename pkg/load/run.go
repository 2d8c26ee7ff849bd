package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/standin"
)

// samplePeriod is the interval between samples of the stand-in's statistics.
const samplePeriod = time.Second

// Run runs every variant and returns the report.
func Run(ctx context.Context, e *Experiment) (*Report, error) {
	report := &Report{Experiment: e.Name, About: e.About, Seed: e.Load.Seed, Variants: make([]VariantReport, len(e.Variants))}
	if e.SideBySide {
		return report, runConcurrently(ctx, e, report)
	}
	for i := range e.Variants {
		v, err := runVariant(ctx, e, &e.Variants[i])
		if err != nil {
			return nil, err
		}
		report.Variants[i] = *v
	}
	return report, nil
}

func runConcurrently(ctx context.Context, e *Experiment, report *Report) error {
	var wg sync.WaitGroup
	errs := make([]error, len(e.Variants))
	for i := range e.Variants {
		wg.Go(func() {
			v, err := runVariant(ctx, e, &e.Variants[i])
			if errs[i] = err; err == nil {
				report.Variants[i] = *v
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// variantRun is the state of a variant while it runs.
type variantRun struct {
	load     *Load
	variant  *Variant
	faults   []standin.ScheduledFault
	truth    standin.Truth
	client   *entryClient
	standin  *standinClient
	recorder *recorder
	balancer *balancer
	start    time.Time
	inFlight atomic.Int64
	sent     atomic.Int64
	requests sync.WaitGroup
	// background tracks the readiness checks, the sampler and the fault schedule.
	background  sync.WaitGroup
	samples     []standin.Stats
	sampleError error
	faultError  error
}

func runVariant(ctx context.Context, e *Experiment, v *Variant) (*VariantReport, error) {
	client := newStandinClient(v.Standin)
	if err := resetStandin(ctx, client, e.SettleTime.Std()); err != nil {
		return nil, fmt.Errorf("variant %s: %w", v.Name, err)
	}
	truth, err := client.truth(ctx)
	if err != nil {
		return nil, fmt.Errorf("variant %s: %w", v.Name, err)
	}
	r := &variantRun{
		load:     &e.Load,
		variant:  v,
		faults:   faultsOf(e, v),
		truth:    truth,
		client:   newEntryClient(&e.Load),
		standin:  client,
		recorder: newRecorder(&e.Load, newAnswerChecker(e.Load.Collection, truth)),
		balancer: newBalancer(v.Entries),
	}
	defer r.client.close()
	report, err := r.run(ctx)
	if err != nil {
		return nil, fmt.Errorf("variant %s: %w", v.Name, err)
	}
	return report, nil
}

func resetStandin(ctx context.Context, client *standinClient, settle time.Duration) error {
	if err := client.reset(ctx); err != nil {
		return err
	}
	return sleep(ctx, settle)
}

func faultsOf(e *Experiment, v *Variant) []standin.ScheduledFault {
	switch {
	case v.WithoutFaults:
		return nil
	case len(v.Faults) > 0:
		return v.Faults
	}
	return e.Faults
}

// run sends the load, waits for all answers, runs the final checks and returns
// the report.
func (r *variantRun) run(ctx context.Context) (*VariantReport, error) {
	background, stop := context.WithCancel(ctx)
	defer stop()
	// The sample before the load is the baseline that the report subtracts.
	before, err := r.standin.statsWithoutTargets(ctx)
	if err != nil {
		return nil, fmt.Errorf("sample before the load: %w", err)
	}
	r.samples = append(r.samples, before)
	r.start = time.Now()
	if r.load.ReadyPollInterval > 0 {
		r.background.Go(func() { r.balancer.pollReadiness(background, r.load.ReadyPollInterval.Std()) })
	}
	r.background.Go(func() { r.sample(background) })
	r.background.Go(func() { r.faultError = r.injectFaults(background) })
	sendError := r.sendAll(ctx)
	r.requests.Wait()
	stop()
	r.background.Wait()
	if err := errors.Join(sendError, r.faultError, r.sampleError); err != nil {
		return nil, err
	}
	return r.finish(ctx)
}

// sendAll sends every request at its intended time, independent of the outcomes
// of earlier ones (open loop).
func (r *variantRun) sendAll(ctx context.Context) error {
	runID := fmt.Sprintf("%x", time.Now().UnixNano())
	generator := newArrivalGenerator(*r.load, r.variant.RateFactor, runID)
	for {
		a, ok := generator.next()
		if !ok {
			return sleep(ctx, r.load.Duration.Std()-time.Since(r.start))
		}
		if err := sleep(ctx, a.at-time.Since(r.start)); err != nil {
			return err
		}
		r.launch(func() { r.sendWithResends(ctx, &a, a.at, a.entryChoice, r.maxResends(&a)) })
		if a.duplicate {
			r.scheduleDuplicate(ctx, &a)
		}
	}
}

func (r *variantRun) maxResends(a *arrival) int {
	if a.kind == kindOrder {
		return r.load.Orders.MaxResends
	}
	return r.load.MaxResends
}

// scheduleDuplicate sends an order a second time through another entry after
// DuplicateAfter, whatever the outcome of the first.
func (r *variantRun) scheduleDuplicate(ctx context.Context, a *arrival) {
	at := a.at + r.load.Orders.DuplicateAfter.Std()
	r.requests.Go(func() {
		if sleep(ctx, at-time.Since(r.start)) == nil {
			r.sendWithResends(ctx, a, at, a.entryChoice+1, 0)
		}
	})
}

// launch runs send in a new goroutine unless MaxInFlight requests are in flight.
func (r *variantRun) launch(send func()) {
	if r.inFlight.Add(1) > int64(r.load.MaxInFlight) {
		r.inFlight.Add(-1)
		r.recorder.countNotSent()
		return
	}
	r.requests.Go(func() {
		defer r.inFlight.Add(-1)
		send()
	})
}

// sendWithResends sends a request and, if it fails, resends it through other
// entries. Queries that an entry refused as not run are not resent.
func (r *variantRun) sendWithResends(ctx context.Context, a *arrival, at time.Duration, entry, resends int) {
	for {
		if r.sent.Add(1) > int64(r.load.MaxRequests) {
			r.recorder.countNotSent()
			return
		}
		o := r.client.send(ctx, a, r.balancer.pick(entry))
		r.recorder.add(o, at, time.Since(r.start)-at)
		if o.code == CodeOK || o.code == CodeHungUp || resends == 0 || ctx.Err() != nil {
			return
		}
		if a.kind == kindQuery && o.ran == failure.NotRun && o.code != CodeNotConnected {
			return
		}
		resends--
		entry++
		at = time.Since(r.start)
	}
}

// sample reads the stand-in's statistics every samplePeriod until ctx is done.
func (r *variantRun) sample(ctx context.Context) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s, err := r.standin.statsWithoutTargets(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.sampleError = fmt.Errorf("sample: %w", err)
			return
		}
		r.samples = append(r.samples, s)
	}
}

// injectFaults sets and clears the scheduled faults at their times.
func (r *variantRun) injectFaults(ctx context.Context) error {
	for _, scheduled := range r.faults {
		if sleep(ctx, scheduled.At.Std()-time.Since(r.start)) != nil {
			return nil
		}
		if err := r.standin.applyFault(ctx, scheduled); err != nil {
			return fmt.Errorf("fault at %s: %w", scheduled.At.Std(), err)
		}
	}
	return nil
}

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
