// Package endproof proves that backend servers still run when their responses have ended.
// A response that ends with its connection is complete only if its server, in the same
// incarnation, answers for itself after that: a server that ended in the middle of the
// response has closed the connection as well.
package endproof

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Errors of a check, for errors.Is.
var (
	// ErrEnded: the server that sent the response has ended.
	ErrEnded = errors.New("the server of the response has ended")
	// ErrNoProof: whether it still runs is not known.
	ErrNoProof = errors.New("the server of the response does not answer for itself")
)

const (
	// maxTries bounds the tries of one check. They are counted, not timed: a process that
	// was frozen looks again after it.
	maxTries = 4
	// tryTimeout bounds one try. tryPause follows the first failed one and doubles with each:
	// a server at its connection limit resets new connections at once.
	tryTimeout = 400 * time.Millisecond
	tryPause   = 120 * time.Millisecond
)

// Check asks a server once whether it still runs. Its error wraps ErrEnded if it has
// ended, and ErrNoProof if another try would not show that either; any other error leaves
// it open.
type Check func(ctx context.Context) error

// Checks runs at most one check of each server at a time: one that begins after several
// responses have ended proves all of them. It is safe for concurrent use.
type Checks struct {
	mu sync.Mutex
	// servers holds those with a check in progress.
	servers map[string]*server
}

// server has one check in progress.
type server struct {
	// next is the check after it, nil if nobody waits for one.
	next *round
}

// round is one check and its result, to be read when done is closed.
type round struct {
	done chan struct{}
	err  error
}

// NewChecks returns a Checks without a check in progress.
func NewChecks() *Checks { return &Checks{servers: map[string]*server{}} }

// Runs returns nil if a check that begins after the call shows that the server runs, and
// an error that wraps ErrEnded or ErrNoProof otherwise, at the latest when ctx ends.
func (c *Checks) Runs(ctx context.Context, id string, check Check) error {
	r := c.join(id, check)
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return errors.Join(ErrNoProof, ctx.Err())
	}
}

// join returns the next check of a server.
func (c *Checks) join(id string, check Check) *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, busy := c.servers[id]
	if !busy {
		s = &server{}
		c.servers[id] = s
		go c.run(id, s, check)
	}
	if s.next == nil {
		s.next = &round{done: make(chan struct{})}
	}
	return s.next
}

// run makes checks of a server until nobody waits for one.
func (c *Checks) run(id string, s *server, check Check) {
	for {
		r := c.take(id, s)
		if r == nil {
			return
		}
		r.err = try(check)
		close(r.done)
	}
}

func (c *Checks) take(id string, s *server) *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := s.next
	s.next = nil
	if r == nil {
		delete(c.servers, id)
	}
	return r
}

// try makes a check until it shows whether the server runs or that no try will, at most
// maxTries times.
func try(check Check) error {
	pause := tryPause
	for n := 1; ; n++ {
		err := once(check)
		switch {
		case err == nil || errors.Is(err, ErrEnded) || errors.Is(err, ErrNoProof):
			return err
		case n == maxTries:
			return errors.Join(ErrNoProof, err)
		}
		time.Sleep(pause)
		pause *= 2
	}
}

func once(check Check) error {
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	return check(ctx)
}
