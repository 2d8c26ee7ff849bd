package standin

import (
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
	// HitsPerLeaf is the number of hits that a leaf has for any query.
	HitsPerLeaf int `json:"hitsPerLeaf"`
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
	e.GET(TruthPath, func(c echo.Context) error {
		return c.JSON(http.StatusOK, Truth{Snapshots: s.contents.snapshots, HitsPerLeaf: content.HitsPerLeaf})
	})
	e.PUT(FaultsPath, s.putFaults)
	e.DELETE(FaultsPath, func(c echo.Context) error { return s.deleteFaults(c, clearAll) })
	e.DELETE(FaultsPath+"/:name", func(c echo.Context) error { return s.deleteFaults(c, c.Param("name")) })
	return e
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

func (s *Standin) deleteFaults(c echo.Context, name string) error {
	s.Clear(name)
	return c.NoContent(http.StatusNoContent)
}
