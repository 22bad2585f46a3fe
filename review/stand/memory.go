//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a front machine of the site.
	memoryMB = 134
	// largestBody is the configuration's max_body_bytes, usualBody the site's mean.
	largestBody = 4194304
	usualBody   = 12000
	// uploads is the number of clients that send large bodies to one machine.
	uploads = 31
)

// residentMB is the memory of a process as the system reports it.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// watchMemory kills the process when it exceeds its memory, as the platform does.
func (g *gateway) watchMemory(most *atomic.Int64, killed *atomic.Bool) {
	for {
		select {
		case <-g.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := residentMB(g.command.Process.Pid)
		most.Store(max(most.Load(), int64(mb)))
		if mb > memoryMB {
			killed.Store(true)
			g.site.record("platform: %s has %.0f MB, more than its %d MB", g.name, mb, memoryMB)
			g.signal(syscall.SIGKILL)
			return
		}
	}
}

// largeBodies: clients send bodies of the largest size that the configuration allows. LOST: no
// connection on which a request was passed on is closed without an answer; a process that ends
// by itself, which one over its memory does, counts as running.
func largeBodies(s *site) (int, error) {
	models, err := s.runners(engines, true, 5)
	if err != nil {
		return unable, err
	}
	for _, r := range models {
		r.pieces, r.pieceTime = 60, 20*time.Millisecond
	}
	s.configure(1, nil)
	s.nameVersion(1)
	time.Sleep(200 * time.Millisecond)
	if err := s.startGateways(1); err != nil {
		return unable, err
	}
	g := s.gateways[0]
	var most atomic.Int64
	var killed atomic.Bool
	go g.watchMemory(&most, &killed)
	time.Sleep(3 * time.Second)
	s.record("%s has %.0f MB before the traffic", g.name, residentMB(g.command.Process.Pid))
	var mu sync.Mutex
	failed := map[string]error{}
	answered := 0
	var clients sync.WaitGroup
	var count atomic.Int64
	size := usualBody
	if s.trouble {
		size = largestBody
	}
	for c := range uploads {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", g.callers, time.Second)
			if err != nil {
				s.record("client %d: %v", c, err)
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			// Each client begins with a usual request, so that its connection is a kept one.
			for n := range 6 {
				bytes := size
				if n == 0 {
					bytes = usualBody
				}
				id := fmt.Sprintf("%016x", count.Add(1))
				status, err := upload(conn, reader, id, bytes)
				s.record("client: %s of %d bytes sent to %s, answered %d, error %v", id, bytes, g.name, status, err)
				mu.Lock()
				if err == nil {
					answered++
				} else {
					failed[id] = err
				}
				mu.Unlock()
				if err != nil {
					return
				}
				time.Sleep(time.Duration(50+c*10) * time.Millisecond)
			}
		})
	}
	clients.Wait()
	runs := runsOf(models)
	lost := 0
	for id, err := range failed {
		if len(runs[id]) > 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
			lost++
			s.record("LOST: %s, run by %s, ended without an answer: %v", id, runs[id][0].runner, err)
		}
	}
	s.record("%d requests answered, %d failed, %d of them passed on and run; most memory %d MB, killed %v", answered, len(failed), lost, most.Load(), killed.Load())
	if lost > 3 {
		return broken, nil
	}
	return held, nil
}

// upload sends a request of a streaming route and reads its answer to the end.
func upload(conn net.Conn, reader *bufio.Reader, id string, size int) (int, error) {
	const limit = 15000
	_ = conn.SetDeadline(time.Now().Add(limit * time.Millisecond))
	head := strings.Join([]string{
		"POST /review/x HTTP/1.1", "Host: a.example", "Request-Id: " + id, fmt.Sprintf("Deadline-Ms: %d", limit), "Authorization: Token key1",
		"Model: " + model, "Token-Usage: 1460,80", "Prompt-Prefix: 00000001:800,00000002:410," + id[8:] + ":250", fmt.Sprintf("Content-Length: %d", size),
	}, "\r\n")
	if _, err := io.WriteString(conn, head+"\r\n\r\n"); err != nil {
		return 0, err
	}
	if _, err := conn.Write(bytes.Repeat([]byte("p"), size)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
