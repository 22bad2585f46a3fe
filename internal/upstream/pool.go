package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxIdlePerAddress bounds the connections kept to one backend server.
const maxIdlePerAddress = 64

// Pool keeps connections to backend servers. Safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int

	opened atomic.Int64
}

// NewPool makes a pool; connect bounds the opening of a connection, silence
// how long sent bytes may stay unacknowledged.
func NewPool(connect, silence time.Duration) *Pool {
	return &Pool{dialer: Dialer(connect, silence), idle: map[string][]*conn{}, open: map[string]int{}}
}

// Opened counts the connections opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Open counts the connections to an address, idle ones too.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Busy counts the connections to an address that carry a request.
func (p *Pool) Busy(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address] - len(p.idle[address])
}

// ReusePolicy says how idle a kept connection may have been.
type ReusePolicy struct {
	// MaxIdle of a kept connection; 0: only a new one will do.
	MaxIdle time.Duration
}

// Send sends a request to an address and returns the head of the answer. The
// request is sent once, or not at all (ErrNotSent). When ctx ends the
// connection is closed, whatever was under way.
func (p *Pool) Send(ctx context.Context, address string, r *Request, fresh ReusePolicy, belongs func(h http.Header, reused bool) bool) (*Response, error) {
	c, err := p.take(ctx, address, fresh)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	reused := c.used > 0
	response, err := c.exchange(ctx, r, func(h http.Header) bool { return belongs(h, reused) })
	if err != nil {
		p.closed(c)
		return nil, err
	}
	response.pool = p
	return response, nil
}

func (p *Pool) take(ctx context.Context, address string, fresh ReusePolicy) (*conn, error) {
	now := time.Now()
	for fresh.MaxIdle > 0 {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) <= fresh.MaxIdle && c.alive() {
			return c, nil
		}
		p.drop(c)
	}
	p.opened.Add(1)
	opened, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	return &conn{Conn: opened, address: address, reader: bufio.NewReaderSize(opened, readBufferBytes)}, nil
}

// Probe opens a connection to an address, to find out whether its server
// listens: ErrNoListener when it does not. The connection is kept for later
// requests.
func (p *Pool) Probe(ctx context.Context, address string, keep time.Duration) error {
	c, err := p.take(ctx, address, ReusePolicy{})
	if err != nil {
		return fmt.Errorf("probe %s: %w", address, err)
	}
	p.put(c, keep)
	return nil
}

// pop takes the connection that was used last: it is the least likely to have
// been closed by the other side.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

func (p *Pool) put(c *conn, keep time.Duration) {
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(keep)
	p.mu.Lock()
	kept := p.idle[c.address]
	if len(kept) < maxIdlePerAddress {
		p.idle[c.address] = append(kept, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.drop(c)
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.closed(c)
}

func (p *Pool) closed(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c.address]--; p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// CloseIdle closes the idle connections to an address: its server is gone, or
// answered under another name.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range kept {
		p.drop(c)
	}
}

// CloseExpired closes connections whose time is over.
func (p *Pool) CloseExpired(now time.Time) {
	var over []*conn
	p.mu.Lock()
	for address, kept := range p.idle {
		var still []*conn
		for _, c := range kept {
			if now.Before(c.idleUntil) {
				still = append(still, c)
				continue
			}
			over = append(over, c)
		}
		if len(still) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = still
	}
	p.mu.Unlock()
	for _, c := range over {
		p.drop(c)
	}
}
