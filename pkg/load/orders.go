package load

import (
	"fmt"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/standin"
)

// OrderReport summarizes the orders of a variant.
type OrderReport struct {
	// Keys is the number of idempotency keys, that is, of distinct orders.
	Keys int `json:"keys"`
	// Confirmed is the number of keys with at least one confirmation.
	Confirmed int `json:"confirmed"`
	// Repeated is the number of answers that repeat the confirmation of an
	// earlier run, as they should. An order that ran more than once is a
	// violation (MultipleRuns).
	Repeated int `json:"repeated"`
	// Runs is the number of runs that the stand-in recorded for these keys.
	Runs int `json:"runs"`
	// Unconfirmed is the number of keys whose order ran without any answer that
	// confirms it.
	Unconfirmed int `json:"unconfirmed"`
}

// keyRecord holds the outcomes that callers got for one idempotency key.
type keyRecord struct {
	outcomes []outcome
}

// checkOrders compares the outcomes that callers got with the stand-in's order
// log.
func checkOrders(keys map[string]*keyRecord, log standin.OrderLog) (OrderReport, []Violation) {
	report := OrderReport{Keys: len(keys)}
	var violations []Violation
	for key, record := range keys {
		runs := log.Runs[key]
		report.Runs += len(runs)
		found := findings{}
		if len(runs) > 1 {
			found.add(MultipleRuns, "key %s ran %d times: %v", key, len(runs), runs)
		}
		record.check(&found, key, runs)
		violations = append(violations, found.list...)
		record.addTo(&report, len(runs) > 0)
	}
	return report, violations
}

func (r *keyRecord) addTo(report *OrderReport, ran bool) {
	confirmed := false
	for _, o := range r.outcomes {
		if o.code != CodeOK {
			continue
		}
		confirmed = true
		if o.result.Repeated {
			report.Repeated++
		}
	}
	switch {
	case confirmed:
		report.Confirmed++
	case ran:
		report.Unconfirmed++
	}
}

// check adds a violation for each answer that contradicts the recorded runs.
func (r *keyRecord) check(found *findings, key string, runs []standin.OrderRun) {
	firstRuns, notRunAnswers := 0, 0
	for _, o := range r.outcomes {
		found.request = o.requestID
		switch {
		case o.code == CodeOK:
			if !hasConfirmation(runs, o.result.Confirmation) {
				found.add(FalseConfirmation, "key %s: no run returned the confirmation %q", key, o.result.Confirmation)
			}
			if !o.result.Repeated {
				firstRuns++
			}
		case o.ran == failure.NotRun:
			notRunAnswers++
			if hasRunOf(runs, o.requestID) {
				found.add(FalseNotRun, "key %s: %s answered not-run at step %s, but the order ran", key, o.entry, o.step)
			}
		}
	}
	if firstRuns > 1 {
		found.add(FalseConfirmation, "key %s: %d answers claim to be from the first run", key, firstRuns)
	}
	if len(runs) > 0 && notRunAnswers == len(r.outcomes) {
		found.add(FalseNotRun, "key %s: every answer was not-run, but the order ran: %s", key, fmt.Sprint(runs))
	}
}

func hasConfirmation(runs []standin.OrderRun, confirmation string) bool {
	for _, run := range runs {
		if run.Confirmation == confirmation {
			return true
		}
	}
	return false
}

func hasRunOf(runs []standin.OrderRun, id model.RequestID) bool {
	for _, run := range runs {
		if id != "" && run.Request == id {
			return true
		}
	}
	return false
}
