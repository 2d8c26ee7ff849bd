package load

import (
	"context"

	"radishturn.example/radishturn/pkg/model"
)

// finish runs the checks that need the data of the whole run, and builds the
// report.
func (r *variantRun) finish(ctx context.Context) (*VariantReport, error) {
	last, err := r.standin.stats(ctx)
	if err != nil {
		return nil, err
	}
	r.samples = append(r.samples, last)
	log, err := r.standin.orders(ctx)
	if err != nil {
		return nil, err
	}
	orders, violations := checkOrders(r.recorder.keys, log)
	r.recorder.addViolations(violations)
	if err := r.checkQueryRuns(ctx); err != nil {
		return nil, err
	}
	report := r.recorder.report(r.variant.Name, r.samples)
	report.OrderRuns = orders
	report.IdealWarmUpMs = r.truth.IdealWarmUp[r.load.Collection]
	report.Removals = removalReports(r.faults, last.Targets, r.samples[0].Milliseconds)
	report.addRecovery(r.faults)
	return &report, nil
}

// checkQueryRuns asks the stand-in which queries ran, for all queries that were
// refused as not run and for up to maxAnsweredIDs of those that were answered.
func (r *variantRun) checkQueryRuns(ctx context.Context) error {
	ids := append([]model.RequestID(nil), r.recorder.answeredIDs...)
	for _, o := range r.recorder.notRun {
		ids = append(ids, o.requestID)
	}
	list, err := r.standin.ran(ctx, ids)
	if err != nil {
		return err
	}
	ran := make(map[model.RequestID]bool, len(list))
	for _, id := range list {
		ran[id] = true
	}
	r.recorder.addViolations(r.recorder.compareQueryRuns(ran))
	return nil
}

// compareQueryRuns compares the answers to callers with the requests that targets ran.
func (r *recorder) compareQueryRuns(ran map[model.RequestID]bool) []Violation {
	var found findings
	for _, o := range r.notRun {
		if found.request = o.requestID; ran[o.requestID] {
			found.add(FalseNotRun, "query: %s answered not-run (%s) at step %s, but a target ran it", o.entry, o.code, o.step)
		}
	}
	for _, id := range r.answeredIDs {
		if found.request = id; !ran[id] {
			found.add(UnseenRequest, "no target ran this request")
		}
	}
	return found.list
}
