package adminapi

import (
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/httpserver"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/problem"
)

const (
	defaultHistory = 20
	maxHistory     = 1000
)

// reply writes the result or the error of an admin call.
func reply[T any](c echo.Context, result T, err error) error {
	if err != nil {
		return problem.Write(c, err, "")
	}
	return c.JSON(http.StatusOK, result)
}

// replyNoContent writes an empty reply or the error of an admin call.
func replyNoContent(c echo.Context, err error) error {
	if err != nil {
		return problem.Write(c, err, "")
	}
	return c.NoContent(http.StatusNoContent)
}

// operator returns the name in the operator's client certificate.
func operator(c echo.Context) string { return keys.PeerName(*c.Request().TLS) }

func badRequest(format string, args ...any) error {
	return failure.New(failure.BadRequest, failure.NotRun, "read request", "", format, args...)
}

func (m *Module) status(c echo.Context) error {
	v := m.view.View()
	return c.JSON(http.StatusOK, Status{
		Instance:         m.settings.Instance.ID,
		AvailabilityZone: m.settings.Instance.AvailabilityZone,
		Version:          radishturn.Version,
		Lease:            m.view.Lease(),
		LeaseLeftMs:      m.view.LeaseLeft().Milliseconds(),
		Revision:         v.Revision,
		Instances:        v.Instances,
		ZonesOut:         slices.Sorted(maps.Keys(v.ZonesOut)),
		Drained:          slices.Sorted(maps.Keys(v.Drained)),
	})
}

// rules returns the newest accepted revision of the rules; a control.Change is one
// accepted revision.
func (m *Module) rules(c echo.Context) error {
	change, err := m.admin.Rules(c.Request().Context())
	return reply(c, change, err)
}

func (m *Module) applyRules(c echo.Context) error {
	var body ApplyRequest
	if err := problem.Decode(c, maxBodyBytes, &body); err != nil {
		return problem.Write(c, err, "")
	}
	request := control.ApplyRequest{Base: body.Base, Text: body.Text, Author: operator(c)}
	change, err := m.admin.ApplyRules(c.Request().Context(), request)
	return reply(c, change, err)
}

func (m *Module) history(c echo.Context) error {
	limit := defaultHistory
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return problem.Write(c, badRequest("limit %q is not a number between 1 and %d", text, maxHistory), "")
		}
		limit = n
	}
	changes, err := m.admin.History(c.Request().Context(), limit)
	return reply(c, changes, err)
}

func (m *Module) inForce(c echo.Context) error {
	revision, err := strconv.ParseUint(c.Param("revision"), 10, 64)
	if err != nil {
		return problem.Write(c, badRequest("revision %q is not a number", c.Param("revision")), "")
	}
	state, err := m.admin.InForce(c.Request().Context(), model.Revision(revision))
	return reply(c, state, err)
}

func (m *Module) moves(c echo.Context) error {
	moves, err := m.admin.Moves(c.Request().Context())
	return reply(c, moves, err)
}

func (m *Module) burnReport(c echo.Context) error {
	report, err := m.burn.Report(c.Request().Context())
	return reply(c, report, err)
}

func (m *Module) quarantined(c echo.Context) error {
	list, err := m.admin.Quarantined(c.Request().Context())
	return reply(c, list, err)
}

func (m *Module) liftQuarantine(c echo.Context) error {
	f, err := strconv.ParseUint(c.Param("fingerprint"), 16, 64)
	if err != nil {
		return problem.Write(c, badRequest("fingerprint %q is not a hexadecimal number", c.Param("fingerprint")), "")
	}
	ctx := c.Request().Context()
	call := control.NewCall(httpserver.Waiting(ctx))
	return replyNoContent(c, m.admin.Lift(ctx, call, model.Fingerprint(f), operator(c)))
}

// instances returns the holders of leases.
func (m *Module) instances(c echo.Context) error {
	leaseHolders, err := m.admin.Instances(c.Request().Context())
	return reply(c, leaseHolders, err)
}

func (m *Module) members(c echo.Context) error {
	status, err := m.admin.Members(c.Request().Context())
	return reply(c, status, err)
}

func (m *Module) addMember(c echo.Context) error {
	var body AddMemberRequest
	if err := problem.Decode(c, maxBodyBytes, &body); err != nil {
		return problem.Write(c, err, "")
	}
	return replyNoContent(c, m.admin.AddMember(c.Request().Context(), body.Instance))
}

func (m *Module) replaceMember(c echo.Context) error {
	var body ReplaceMemberRequest
	if err := problem.Decode(c, maxBodyBytes, &body); err != nil {
		return problem.Write(c, err, "")
	}
	return replyNoContent(c, m.admin.ReplaceMember(c.Request().Context(), body.Old, body.Next))
}

func (m *Module) removeMember(c echo.Context) error {
	var body RemoveMemberRequest
	if err := problem.Decode(c, maxBodyBytes, &body); err != nil {
		return problem.Write(c, err, "")
	}
	return replyNoContent(c, m.admin.RemoveMember(c.Request().Context(), body.Member))
}
