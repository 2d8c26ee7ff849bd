//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientConn is one connection of a client to a front.
type clientConn struct {
	net.Conn
	br *bufio.Reader
}

func dialFront(n *node) (*clientConn, error) {
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", n.ip, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, br: bufio.NewReader(c)}, nil
}

// answer is what a client has got for one request; status 0 stands for a closed
// connection or no answer in time.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// ask sends one request and reads its answer.
func (c *clientConn) ask(method, uri, host, id string, deadline time.Duration, body []byte) answer {
	began := time.Now()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Radishturn-Request-Id: %s\r\nX-Radishturn-Deadline-Milliseconds: %d\r\n", method, uri, host, id, deadline.Milliseconds())
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Type: application/octet-stream\r\nContent-Length: %d\r\n", len(body))
	}
	_ = c.SetDeadline(began.Add(deadline + 500*time.Millisecond))
	if _, err := c.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	return c.readAnswer(method, began)
}

func (c *clientConn) readAnswer(method string, began time.Time) answer {
	response, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	if response.Close {
		_ = c.Close()
	}
	return answer{status: response.StatusCode, header: response.Header, body: text, took: time.Since(began)}
}

// askOnce opens a connection, asks once and closes it.
func askOnce(n *node, method, uri, host, id string, deadline time.Duration, body []byte) answer {
	c, err := dialFront(n)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	return c.ask(method, uri, host, id, deadline, body)
}
