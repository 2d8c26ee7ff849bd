package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/problem"
)

// maxReplyBytes limits the size of a reply of the admin API.
const maxReplyBytes = 64 << 20

// apiClient calls the admin API of the first instance that is reachable, or any
// other URL of a process.
type apiClient struct {
	http      *http.Client
	addresses []string
}

func (o *options) client() (*apiClient, error) {
	if len(o.admin) == 0 {
		return nil, exitWith(ExitInvalid, errors.New("no admin address given; use --admin or $"+adminVariable))
	}
	if o.keys == "" || o.operator == "" {
		return nil, exitWith(ExitInvalid, errors.New("no keys given; use --keys and --operator"))
	}
	credentials, err := keys.Load(keys.Files{
		Authority:   filepath.Join(o.keys, keys.AuthorityCertificateFile),
		Certificate: filepath.Join(o.keys, o.operator+".pem"),
		Key:         filepath.Join(o.keys, o.operator+".key"),
	})
	if err != nil {
		return nil, exitWith(ExitInvalid, err)
	}
	transport := &http.Transport{TLSClientConfig: credentials.ClientConfig([]string{"http/1.1"}, "")}
	return &apiClient{
		http:      &http.Client{Transport: transport, Timeout: o.timeout},
		addresses: o.admin,
	}, nil
}

// call sends a request to the first reachable instance. A change that may
// have run is not sent to a second instance.
func (c *apiClient) call(ctx context.Context, method, path string, body, result any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	var failures []error
	for _, address := range c.addresses {
		err := c.send(ctx, method, "https://"+address+path, payload, result)
		if !mayTryNext(method, err) {
			return err
		}
		failures = append(failures, err)
	}
	return exitWith(ExitUnreachable, errors.Join(failures...))
}

// mayTryNext reports whether the request may be sent to the next instance after
// err.
func mayTryNext(method string, err error) bool {
	if failure.CodeOf(err) != failure.PeerUnreachable {
		return false
	}
	return method == http.MethodGet || failure.RanOf(err) == failure.NotRun
}

// ranFromTransportError tells whether a request may have run although its exchange
// failed: it certainly did not if the connection could not be opened.
func ranFromTransportError(err error) failure.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.NotRun
	}
	return failure.Unknown
}

func (c *apiClient) send(ctx context.Context, method, url string, payload []byte, result any) (err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return failure.New(failure.PeerUnreachable, ranFromTransportError(err), method, url, "%w", err)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return failure.New(failure.PeerUnreachable, failure.Unknown, "read reply", url, "%w", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return replyFailure(url, response.StatusCode, text)
	}
	if result == nil || len(text) == 0 {
		return nil
	}
	if err := json.Unmarshal(text, result); err != nil {
		return failure.New(failure.MismatchedReply, failure.Unknown, "read reply", url, "%w", err)
	}
	return nil
}

func replyFailure(url string, status int, text []byte) error {
	var d problem.Details
	if err := json.Unmarshal(text, &d); err != nil || d.Code == "" {
		return failure.New(failure.Internal, failure.Unknown, "call", url, "status %d", status)
	}
	return failure.New(d.Code, d.Ran, d.Step, d.Peer, "%s", d.Detail)
}
