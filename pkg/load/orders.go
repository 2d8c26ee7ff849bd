package load

import (
	"fmt"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/standin"
)

// OrderReport sums up the orders of a variant.
type OrderReport struct {
	Keys int `json:"keys"`
	// Confirmed is the number of keys with a confirmation.
	Confirmed int `json:"confirmed"`
	// Repeated is the number of confirmations of an earlier run.
	Repeated int `json:"repeated"`
	// Runs is the number of runs that the stand-in counted for these keys.
	Runs int `json:"runs"`
	// Unconfirmed is the number of keys that ran and got no confirmation.
	Unconfirmed int `json:"unconfirmed"`
}

// keyRecord is what callers heard about one idempotency key.
type keyRecord struct {
	outcomes []outcome
}

// checkOrders compares what callers heard with the stand-in's order log.
func checkOrders(keys map[string]*keyRecord, log standin.OrderLog) (OrderReport, []Violation) {
	report := OrderReport{Keys: len(keys)}
	var violations []Violation
	for key, record := range keys {
		runs := log.Runs[key]
		report.Runs += len(runs)
		found := findings{}
		if len(runs) > 1 {
			found.add(RepeatedOrder, "key %s ran %d times: %v", key, len(runs), runs)
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

// check looks for answers that the runs contradict.
func (r *keyRecord) check(found *findings, key string, runs []standin.OrderRun) {
	firsts, denials := 0, 0
	for _, o := range r.outcomes {
		found.request = o.requestID
		switch {
		case o.code == CodeOK:
			if !isConfirmedBy(runs, o.result.Confirmation) {
				found.add(FalseConfirmation, "key %s: no run gave %q", key, o.result.Confirmation)
			}
			if !o.result.Repeated {
				firsts++
			}
		case o.ran == failure.NotRun:
			denials++
			if ranFor(runs, o.requestID) {
				found.add(FalseNotRun, "key %s: %s said not-run at %s, but it ran", key, o.entry, o.step)
			}
		}
	}
	if firsts > 1 {
		found.add(FalseConfirmation, "key %s: %d answers say that they were first", key, firsts)
	}
	if len(runs) > 0 && denials == len(r.outcomes) {
		found.add(FalseNotRun, "key %s: every answer said not-run, but it ran: %s", key, fmt.Sprint(runs))
	}
}

func isConfirmedBy(runs []standin.OrderRun, confirmation string) bool {
	for _, run := range runs {
		if run.Confirmation == confirmation {
			return true
		}
	}
	return false
}

func ranFor(runs []standin.OrderRun, id model.RequestID) bool {
	for _, run := range runs {
		if id != "" && run.Request == id {
			return true
		}
	}
	return false
}
