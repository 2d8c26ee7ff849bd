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

// Paths of the control address.
const (
	FaultsPath = "/faults"
	StatsPath  = "/stats"
	OrdersPath = "/orders"
	TruthPath  = "/truth"
	// RanPath answers which of the requests in the body some target began to run.
	RanPath = "/ran"
	// ResetPath brings every target back to its state at start.
	ResetPath = "/reset"
)

// FaultsRequest is the body of PUT on FaultsPath.
type FaultsRequest struct {
	Faults []Fault `json:"faults"`
}

// FaultsReply says at how many targets each fault was set.
type FaultsReply struct {
	Targets []int `json:"targets"`
}

// Truth is what a checker has to know: every snapshot that targets may hold.
type Truth struct {
	Snapshots []model.Snapshot `json:"snapshots"`
	// IdealWarmUp is the shortest time, in milliseconds, in which a target can
	// turn warm without bearing more than its cold load.
	IdealWarmUp map[model.CollectionID]int64 `json:"idealWarmUpMs"`
	// HitsPerLeaf is the number of hits that a leaf has for any query.
	HitsPerLeaf int `json:"hitsPerLeaf"`
}

// RequestIDs is the body of RanPath and of its reply.
type RequestIDs struct {
	Requests []model.RequestID `json:"requests"`
}

// problem is the body of an error reply.
type problem struct {
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
		Snapshots:   s.contents.snapshots,
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
		return c.JSON(http.StatusBadRequest, problem{err.Error()})
	}
	var reply FaultsReply
	for _, f := range request.Faults {
		n, err := s.Apply(f)
		if err != nil {
			return c.JSON(http.StatusBadRequest, problem{err.Error()})
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
		return request, errors.New("faults: is empty")
	}
	for _, f := range request.Faults {
		if err := f.Check(); err != nil {
			return request, err
		}
	}
	return request, nil
}

func (s *Standin) postRan(c echo.Context) error {
	var asked, reply RequestIDs
	if err := json.NewDecoder(c.Request().Body).Decode(&asked); err != nil {
		return c.JSON(http.StatusBadRequest, problem{err.Error()})
	}
	for _, id := range asked.Requests {
		if s.ran.has(string(id)) {
			reply.Requests = append(reply.Requests, id)
		}
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Standin) postReset(c echo.Context) error {
	if err := s.Reset(); err != nil {
		return c.JSON(http.StatusInternalServerError, problem{err.Error()})
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Standin) deleteFaults(c echo.Context, name string) error {
	s.Clear(name)
	return c.NoContent(http.StatusNoContent)
}
