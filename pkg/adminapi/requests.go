package adminapi

import (
	"context"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/fanout"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/problem"
	"radishturn.example/radishturn/pkg/rules"
)

// kindExplain asks the instance that served a query for its trace.
const kindExplain mesh.Kind = "admin.explain"

// explainRequest identifies a request.
type explainRequest struct {
	ID model.RequestID `cbor:"1,keyasint"`
}

// explainReply carries the trace of a query.
type explainReply struct {
	Trace *fanout.QueryTrace `cbor:"1,keyasint"`
}

func (m *Module) serveExplain(_ context.Context, from model.InstanceID, r *explainRequest) (*explainReply, error) {
	trace, ok := m.explainer.Explain(r.ID)
	if !ok {
		return nil, failure.New(failure.NotFound, failure.NotRun, "explain", string(from),
			"%s is not among the recent or slowest requests of %s", r.ID, m.settings.Instance.ID)
	}
	return &explainReply{Trace: trace}, nil
}

// explain asks the instance whose ID is the prefix of the request ID.
func (m *Module) explain(c echo.Context) error {
	id := model.RequestID(c.Param("id"))
	owner, _, found := strings.Cut(string(id), ".")
	if !found {
		return problem.Write(c, badRequest("request ID %q does not begin with an instance ID", id), "")
	}
	r, err := mesh.Call[explainRequest, explainReply](c.Request().Context(), m.mesh, model.InstanceID(owner), kindExplain, &explainRequest{ID: id})
	if err != nil {
		return problem.Write(c, err, id)
	}
	return c.JSON(http.StatusOK, r.Trace)
}

func (m *Module) slowestRequests(c echo.Context) error {
	return c.JSON(http.StatusOK, m.explainer.Slowest())
}

func (m *Module) listTargets(c echo.Context) error {
	return c.JSON(http.StatusOK, m.targets.Targets())
}

// checkRules returns the mistakes in the rules or, if there are none, the changes
// that they would make.
func (m *Module) checkRules(c echo.Context) error {
	var body CheckRequest
	if err := problem.Decode(c, maxBodyBytes, &body); err != nil {
		return problem.Write(c, err, "")
	}
	newest, err := m.admin.Rules(c.Request().Context())
	if err != nil {
		return problem.Write(c, err, "")
	}
	set, mistakes := rules.Parse(body.Text, rules.TopologyOf(m.settings))
	reply := CheckReply{Mistakes: mistakes, Base: newest.Revision}
	if len(mistakes) == 0 {
		reply.Differences = rules.Diff(newest.Rules, set)
	}
	return c.JSON(http.StatusOK, reply)
}
