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
		return report, runTogether(ctx, e, report)
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

func runTogether(ctx context.Context, e *Experiment, report *Report) error {
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

// variantRun is a variant while it runs.
type variantRun struct {
	load     *Load
	variant  *Variant
	faults   []standin.ScheduledFault
	known    standin.Truth
	caller   *caller
	standin  *standinClient
	recorder *recorder
	entries  *entries
	start    time.Time
	inFlight atomic.Int64
	sent     atomic.Int64
	requests sync.WaitGroup
	// background holds the sampler and the fault schedule.
	background  sync.WaitGroup
	samples     []standin.Stats
	sampleError error
	faultError  error
}

func runVariant(ctx context.Context, e *Experiment, v *Variant) (*VariantReport, error) {
	control := newStandinClient(v.Standin)
	if err := prepare(ctx, control, e.SettleTime.Std()); err != nil {
		return nil, fmt.Errorf("variant %s: %w", v.Name, err)
	}
	known, err := control.truth(ctx)
	if err != nil {
		return nil, fmt.Errorf("variant %s: %w", v.Name, err)
	}
	r := &variantRun{
		load:     &e.Load,
		variant:  v,
		faults:   faultsOf(e, v),
		known:    known,
		caller:   newCaller(&e.Load),
		standin:  control,
		recorder: newRecorder(&e.Load, newTruth(e.Load.Collection, known)),
		entries:  newEntries(v.Entries),
	}
	defer r.caller.close()
	report, err := r.run(ctx)
	if err != nil {
		return nil, fmt.Errorf("variant %s: %w", v.Name, err)
	}
	return report, nil
}

func prepare(ctx context.Context, control *standinClient, settle time.Duration) error {
	if err := control.reset(ctx); err != nil {
		return err
	}
	return pause(ctx, settle)
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

// run sends the load, waits for every answer and checks the whole.
func (r *variantRun) run(ctx context.Context) (*VariantReport, error) {
	background, stop := context.WithCancel(ctx)
	defer stop()
	// What the targets counted before the load is taken off.
	before, err := r.standin.summary(ctx)
	if err != nil {
		return nil, fmt.Errorf("sample before the load: %w", err)
	}
	r.samples = append(r.samples, before)
	r.start = time.Now()
	if r.load.ReadyPollInterval > 0 {
		r.background.Go(func() { r.entries.poll(background, r.load.ReadyPollInterval.Std()) })
	}
	r.background.Go(func() { r.sample(background) })
	r.background.Go(func() { r.faultError = r.setFaults(background) })
	sendError := r.sendAll(ctx)
	r.requests.Wait()
	stop()
	r.background.Wait()
	if err := errors.Join(sendError, r.faultError, r.sampleError); err != nil {
		return nil, err
	}
	return r.finish(ctx)
}

// sendAll sends every request at its intended time, whatever became of others.
func (r *variantRun) sendAll(ctx context.Context) error {
	run := fmt.Sprintf("%x", time.Now().UnixNano())
	plan := newArrivals(*r.load, r.variant.RateFactor, run)
	for {
		a, ok := plan.next()
		if !ok {
			return pause(ctx, r.load.Duration.Std()-time.Since(r.start))
		}
		if err := pause(ctx, a.at-time.Since(r.start)); err != nil {
			return err
		}
		r.launch(func() { r.follow(ctx, &a, a.at, a.entry, r.retries(&a)) })
		if a.resend {
			r.resendLater(ctx, &a)
		}
	}
}

func (r *variantRun) retries(a *arrival) int {
	if a.kind == kindOrder {
		return r.load.Orders.MaxResends
	}
	return r.load.MaxResends
}

// resendLater sends an order a second time through another entry, whatever
// became of the first.
func (r *variantRun) resendLater(ctx context.Context, a *arrival) {
	at := a.at + r.load.Orders.ResendAfter.Std()
	r.requests.Go(func() {
		if pause(ctx, at-time.Since(r.start)) == nil {
			r.follow(ctx, a, at, a.entry+1, 0)
		}
	})
}

// launch runs send in a goroutine of its own unless too many are in flight.
func (r *variantRun) launch(send func()) {
	if r.inFlight.Add(1) > int64(r.load.MaxInFlight) {
		r.inFlight.Add(-1)
		r.recorder.skipped()
		return
	}
	r.requests.Go(func() {
		defer r.inFlight.Add(-1)
		send()
	})
}

// follow sends a request and, if it failed without a proof that it did not
// run, sends it again through other entries.
func (r *variantRun) follow(ctx context.Context, a *arrival, at time.Duration, entry, retries int) {
	for {
		if r.sent.Add(1) > int64(r.load.MaxRequests) {
			r.recorder.skipped()
			return
		}
		o := r.caller.send(ctx, a, r.entries.choose(entry))
		r.recorder.add(o, at, time.Since(r.start)-at)
		if o.code == CodeOK || o.code == CodeHungUp || retries == 0 || ctx.Err() != nil {
			return
		}
		if a.kind == kindQuery && o.ran == failure.NotRun && o.code != CodeNotConnected {
			return
		}
		retries--
		entry++
		at = time.Since(r.start)
	}
}

// sample reads the stand-in's statistics each second.
func (r *variantRun) sample(ctx context.Context) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s, err := r.standin.summary(ctx)
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

// setFaults sets the faults at their times.
func (r *variantRun) setFaults(ctx context.Context) error {
	for _, step := range r.faults {
		if pause(ctx, step.At.Std()-time.Since(r.start)) != nil {
			return nil
		}
		if err := r.standin.set(ctx, step); err != nil {
			return fmt.Errorf("fault at %s: %w", step.At.Std(), err)
		}
	}
	return nil
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) error {
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
