package entryapi

import (
	"time"

	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/query"
)

// isCallerError reports whether an error does not count against the objectives of
// the service: invalid, limited and quarantined requests.
func isCallerError(err error) bool {
	switch failure.CodeOf(err) {
	case failure.BadRequest, failure.TooLarge, failure.UnknownCollection, failure.UnknownLeaf,
		failure.CallerLimit, failure.KeyReused, failure.Quarantined:
		return true
	}
	return false
}

func (m *Module) recordQuery(r query.Request, a *query.Answer, started time.Time, err error) {
	if err != nil && isCallerError(err) {
		return
	}
	o := burn.Observation{
		At:               started,
		Kind:             burn.KindQuery,
		Collection:       r.Collection,
		AvailabilityZone: m.settings.Instance.AvailabilityZone,
		Route:            r.Route,
		Caller:           r.Caller,
		Latency:          time.Since(started),
		Failed:           err != nil,
	}
	if a != nil {
		o.Coverage = a.Coverage.Fraction
		o.Version = a.Version
	}
	m.recorder.Record(o)
}

func (m *Module) recordOrder(r order.Request, started time.Time, err error) {
	if err != nil && isCallerError(err) {
		return
	}
	m.recorder.Record(burn.Observation{
		At:               started,
		Kind:             burn.KindOrder,
		Collection:       r.Collection,
		AvailabilityZone: m.settings.Instance.AvailabilityZone,
		Caller:           r.Caller,
		Latency:          time.Since(started),
		Failed:           err != nil,
	})
}
