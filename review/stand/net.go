//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// freePorts returns addresses at which nothing listens.
func freePorts(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// readyStatus is the status of the readiness probe; 0: no answer.
func readyStatus(address string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/ready")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// request is one attempt of a client.
type request struct {
	method, path, id, body string
	// header are further header lines.
	header     []string
	deadlineMS int
}

// answer is what the client saw. sent: it had written the whole request, at sentAt.
type answer struct {
	status int
	seal   string
	body   string
	sent   bool
	sentAt time.Time
	err    error
}

// send sends a request over a new connection, and waits for its answer until its time limit.
func send(address string, r request) (a answer) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(r.deadlineMS) * time.Millisecond))
	lines := append([]string{
		r.method + " " + r.path + " HTTP/1.1", "Host: a.example", "Request-Id: " + r.id, fmt.Sprintf("Deadline-Ms: %d", r.deadlineMS), "Authorization: Token key1",
	}, r.header...)
	if r.body != "" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.body)))
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+r.body); err != nil {
		return answer{err: err}
	}
	a.sent, a.sentAt = true, time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.seal = response.StatusCode, response.Header.Get("Server-Seal")
	body, err := io.ReadAll(response.Body)
	a.body, a.err = string(body), err
	return a
}

// timedOut reports whether the client gave up, rather than its connection ended.
func (a answer) timedOut() bool {
	var netErr net.Error
	return errors.As(a.err, &netErr) && netErr.Timeout()
}
