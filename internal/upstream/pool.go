package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxIdlePerAddress bounds the idle connections to one backend server.
const maxIdlePerAddress = 64

// Pool is a pool of connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int

	opened atomic.Int64
	// openTotal is the sum of open.
	openTotal atomic.Int64
}

// NewPool returns an empty pool. connectTimeout bounds the opening of a connection,
// ackTimeout how long sent bytes may stay unacknowledged.
func NewPool(connectTimeout, ackTimeout time.Duration) *Pool {
	return &Pool{dialer: Dialer(connectTimeout, ackTimeout), idle: map[string][]*conn{}, open: map[string]int{}}
}

// Opened returns how many connections the pool has tried to open so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// OpenTotal returns the number of connections to all addresses, idle ones included.
func (p *Pool) OpenTotal() int64 { return p.openTotal.Load() }

// Open returns the number of connections to an address, idle ones included.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Busy returns the number of connections to an address that carry a request.
func (p *Pool) Busy(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address] - len(p.idle[address])
}

// ReusePolicy says which idle connections may be reused.
type ReusePolicy struct {
	// MaxIdle is how long the connection may have been idle; 0: use a new one.
	MaxIdle time.Duration
}

// Send sends a request to an address and returns the response once its header has been
// read. belongs reports whether a header is that of a response to this request; reused
// says whether the connection has carried other requests. The request is sent at most
// once, and not at all if the error is ErrNotSent; when it is sent again later, another
// connection is used. When ctx ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, address string, r *Request, reuse ReusePolicy, belongs func(h http.Header, reused bool) bool) (*Response, error) {
	c, err := p.take(ctx, address, r, reuse)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	reused := c.used > 0
	response, err := c.exchange(ctx, r, func(h http.Header) bool { return belongs(h, reused) })
	if err != nil {
		p.countClosed(c)
		return nil, err
	}
	response.pool = p
	return response, nil
}

// take returns an idle connection that may be reused for the request, or a new one.
func (p *Pool) take(ctx context.Context, address string, r *Request, reuse ReusePolicy) (*conn, error) {
	now := time.Now()
	for reuse.MaxIdle > 0 {
		c := p.pop(address, r)
		if c == nil {
			break
		}
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) <= reuse.MaxIdle && c.alive() {
			return c, nil
		}
		p.discard(c)
	}
	number := p.opened.Add(1)
	opened, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	p.openTotal.Add(1)
	limited := &limitedReader{conn: opened}
	return &conn{Conn: opened, address: address, number: number, reader: bufio.NewReaderSize(limited, readBufferBytes), limited: limited}, nil
}

// pop removes and returns the most recently used idle connection over which the request was
// not sent, nil if there is none. It is the least likely to have been closed by the peer.
func (p *Pool) pop(address string, r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for i, c := range slices.Backward(idle) {
		if !r.wasSentOver(c) {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

// put adds a connection to the idle ones, unless there are enough of them.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(keep)
	p.mu.Lock()
	idle := p.idle[c.address]
	if len(idle) < maxIdlePerAddress {
		p.idle[c.address] = append(idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.countClosed(c)
}

// countClosed records that a connection has been closed.
func (p *Pool) countClosed(c *conn) {
	p.openTotal.Add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c.address]--; p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// CloseIdle closes the idle connections to an address, for when its server is gone or
// another instance has the address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		var remaining []*conn
		for _, c := range idle {
			if now.Before(c.idleUntil) {
				remaining = append(remaining, c)
				continue
			}
			expired = append(expired, c)
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = remaining
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}
