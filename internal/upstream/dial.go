// Package upstream exchanges HTTP/1.1 messages with backend servers over
// connections that it owns. It repeats nothing by itself and tells exactly how
// far an exchange came, since what may be repeated is decided by others.
package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeInterval and probeCount find a connection that went
	// silent while nothing is sent: it ends after about three seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer opens TCP connections that end by themselves when the other side goes
// silent. silence is how long sent bytes may stay unacknowledged: without it a
// cut link or a peer without power would hold a call until its deadline.
func Dialer(connect, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return limitSilence(raw, silence) },
	}
}

func limitSilence(raw syscall.RawConn, silence time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
