package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/standin"
)

const standinTimeout = 10 * time.Second

// standinClient is a client of the control API of a stand-in.
type standinClient struct {
	address netip.AddrPort
	client  *http.Client
}

func newStandinClient(address netip.AddrPort) *standinClient {
	return &standinClient{address: address, client: &http.Client{Timeout: standinTimeout}}
}

func (c *standinClient) truth(ctx context.Context) (t standin.Truth, err error) {
	return t, c.do(ctx, http.MethodGet, standin.TruthPath, nil, &t)
}

func (c *standinClient) statsWithoutTargets(ctx context.Context) (s standin.Stats, err error) {
	return s, c.do(ctx, http.MethodGet, standin.StatsPath+"?targets=none", nil, &s)
}

func (c *standinClient) stats(ctx context.Context) (s standin.Stats, err error) {
	return s, c.do(ctx, http.MethodGet, standin.StatsPath, nil, &s)
}

func (c *standinClient) orders(ctx context.Context) (l standin.OrderLog, err error) {
	return l, c.do(ctx, http.MethodGet, standin.OrdersPath, nil, &l)
}

// ran returns the subset of the requests that a target started to process. A
// request that was answered as not run must not be among them.
func (c *standinClient) ran(ctx context.Context, ids []model.RequestID) ([]model.RequestID, error) {
	var reply standin.RequestIDs
	err := c.do(ctx, http.MethodPost, standin.RanPath, standin.RequestIDs{Requests: ids}, &reply)
	return reply.Requests, err
}

func (c *standinClient) reset(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, standin.ResetPath, nil, nil)
}

func (c *standinClient) applyFault(ctx context.Context, scheduled standin.ScheduledFault) error {
	if scheduled.Clear != "" {
		return c.do(ctx, http.MethodDelete, standin.FaultsPath+"/"+scheduled.Clear, nil, nil)
	}
	return c.do(ctx, http.MethodPut, standin.FaultsPath, standin.FaultsRequest{Faults: []standin.Fault{scheduled.Fault}}, nil)
}

func (c *standinClient) do(ctx context.Context, method, path string, body, result any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address.String()+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("request to the stand-in: %w", err)
	}
	defer response.Body.Close() // the body was only read, so an error of Close loses nothing
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read response of the stand-in: %w", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("stand-in rejected %s %s: status %d: %.200s", method, path, response.StatusCode, text)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(text, result)
}
