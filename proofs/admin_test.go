//go:build proofs

package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/problem"
)

// adminClient calls the admin API as one operator, without starting a process
// for each request.
type adminClient struct{ http *http.Client }

func (f *fleet) adminClient(operator string) *adminClient {
	GinkgoHelper()
	credentials, err := keys.Load(keys.Files{
		Authority:   f.folder + "/keys/" + keys.AuthorityCertificateFile,
		Certificate: f.folder + "/keys/" + operator + ".pem",
		Key:         f.folder + "/keys/" + operator + ".key",
	})
	Expect(err).NotTo(HaveOccurred())
	transport := &http.Transport{TLSClientConfig: credentials.ClientConfig([]string{"http/1.1"}, "")}
	DeferCleanup(transport.CloseIdleConnections)
	return &adminClient{http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// call sends one request to instance n. The outcome is unknown unless the
// instance reported the failure itself.
func (c *adminClient) call(n int, method, path string, body, result any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return err
	}
	url := "https://" + address(adminPort+n) + path
	request, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return failure.New(failure.PeerUnreachable, failure.Unknown, method, url, "%w", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return failure.New(failure.PeerUnreachable, failure.Unknown, method, url, "%w", err)
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(text, result)
	}
	var d problem.Details
	if err := json.Unmarshal(text, &d); err != nil {
		return failure.New(failure.Internal, failure.Unknown, method, url, "status %d", response.StatusCode)
	}
	return failure.New(d.Code, d.Ran, d.Step, d.Peer, "%s", d.Detail)
}
