// Package upstream exchanges HTTP/1.1 messages with backend servers over its own
// connections. It never retries: its errors say how far an exchange got, and the
// caller decides whether to retry.
package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// TCP keep-alive settings: a connection on which nothing is sent is closed about
	// three seconds after the peer has become unreachable.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer for TCP connections that are closed when the peer becomes
// unreachable. connectTimeout bounds the opening of a connection, ackTimeout how long
// sent bytes may stay unacknowledged: without that limit, a call to a peer that has
// lost its network or power would last until its deadline.
func Dialer(connectTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setAckTimeout(raw, ackTimeout) },
	}
}

func setAckTimeout(raw syscall.RawConn, ackTimeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
