package pool

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/membudget"
)

// Reasons for which the reading of a reply is ended.
const (
	cutTooLong  = "too-long"
	cutNoMemory = "no-memory"
)

// cutReason returns why the reading of a reply was ended by this instance, or "" if it
// was not.
func cutReason(err error) string {
	switch {
	case errors.Is(err, exchange.ErrReplyTooLong):
		return cutTooLong
	case errors.Is(err, membudget.ErrExhausted):
		return cutNoMemory
	}
	return ""
}

// recordCut counts and logs a reply whose reading was ended by this instance, unless the
// connection was closed before.
func (c *conn) recordCut(a *Attempt, err error) {
	reason := cutReason(err)
	if reason == "" || c.isClosed() {
		return
	}
	metrics.GetOrCreateCounter(`radishturn_target_replies_cut_total{reason="` + reason + `"}`).Inc()
	request := ""
	if a != nil {
		request = string(a.Request.ID)
	}
	events.Emit(events.ReplyCut, c.pool.target, request, reason, c.pool.memory.Used())
}
