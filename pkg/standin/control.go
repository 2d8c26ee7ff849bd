package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/standin/content"
)

// Paths of the control API.
const (
	FaultsPath = "/faults"
	StatsPath  = "/stats"
	OrdersPath = "/orders"
	TruthPath  = "/truth"
	// RanPath returns those of the request IDs in the body that some target
	// started to process.
	RanPath = "/ran"
	// ResetPath returns every target to its initial state.
	ResetPath = "/reset"
)

// FaultsRequest is the body of a PUT request to FaultsPath.
type FaultsRequest struct {
	Faults []Fault `json:"faults"`
}

// FaultsReply holds the number of targets at which each fault was set.
type FaultsReply struct {
	Targets []int `json:"targets"`
}

// Truth is the ground truth against which a checker verifies answers.
type Truth struct {
	// Snapshots lists every snapshot that targets can hold.
	Snapshots []model.Snapshot `json:"snapshots"`
	// IdealWarmUp is the shortest time, in milliseconds, in which a target can
	// warm up without exceeding its cold load.
	IdealWarmUp map[model.CollectionID]int64 `json:"idealWarmUpMs"`
	// HitsPerLeaf is the number of hits of a leaf for any query.
	HitsPerLeaf int `json:"hitsPerLeaf"`
}

// RequestIDs is the body of a request to RanPath and of its reply.
type RequestIDs struct {
	Requests []model.RequestID `json:"requests"`
}

// errorReply is the body of an error reply.
type errorReply struct {
	Error string `json:"error"`
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (s *Standin) platformHandler() http.Handler {
	e := newEcho()
	e.GET(platform.ListPath, func(c echo.Context) error {
		return c.JSONBlob(http.StatusOK, s.list.visible())
	})
	return e
}

func (s *Standin) controlHandler() http.Handler {
	e := newEcho()
	e.GET(StatsPath, func(c echo.Context) error {
		return c.JSON(http.StatusOK, s.Stats(c.QueryParam("targets") != "none"))
	})
	e.GET(OrdersPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.orders.all()) })
	e.GET(TruthPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.truth()) })
	e.POST(RanPath, s.postRan)
	e.POST(ResetPath, s.postReset)
	e.PUT(FaultsPath, s.putFaults)
	e.DELETE(FaultsPath, func(c echo.Context) error { return s.deleteFaults(c, clearAll) })
	e.DELETE(FaultsPath+"/:name", func(c echo.Context) error { return s.deleteFaults(c, c.Param("name")) })
	return e
}

func (s *Standin) truth() Truth {
	t := Truth{
		Snapshots:   s.partitionMaps.snapshots,
		IdealWarmUp: make(map[model.CollectionID]int64),
		HitsPerLeaf: content.HitsPerLeaf,
	}
	for i := range s.settings.Collections {
		c := &s.settings.Collections[i]
		t.IdealWarmUp[c.ID] = c.idealWarmUp().Milliseconds()
	}
	return t
}

func (s *Standin) putFaults(c echo.Context) error {
	request, err := readFaults(c.Request().Body)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{err.Error()})
	}
	var reply FaultsReply
	for _, f := range request.Faults {
		n, err := s.Apply(f)
		if err != nil {
			return c.JSON(http.StatusBadRequest, errorReply{err.Error()})
		}
		reply.Targets = append(reply.Targets, n)
	}
	return c.JSON(http.StatusOK, reply)
}

func readFaults(body io.Reader) (FaultsRequest, error) {
	var request FaultsRequest
	text, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return request, err
	}
	if err := DecodeStrict(text, &request); err != nil {
		return request, err
	}
	if len(request.Faults) == 0 {
		return request, errors.New("faults: must not be empty")
	}
	for _, f := range request.Faults {
		if err := f.Check(); err != nil {
			return request, err
		}
	}
	return request, nil
}

func (s *Standin) postRan(c echo.Context) error {
	var request, reply RequestIDs
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{err.Error()})
	}
	for _, id := range request.Requests {
		if s.startedRequests.has(string(id)) {
			reply.Requests = append(reply.Requests, id)
		}
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Standin) postReset(c echo.Context) error {
	if err := s.Reset(); err != nil {
		return c.JSON(http.StatusInternalServerError, errorReply{err.Error()})
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Standin) deleteFaults(c echo.Context, name string) error {
	s.Clear(name)
	return c.NoContent(http.StatusNoContent)
}
