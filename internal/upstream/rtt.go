package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// RTT returns the round-trip time that the kernel has measured on the response's
// connection; 0 if it is not known. It must be called before Close.
func (r *Response) RTT() time.Duration {
	source, ok := r.conn.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0
	}
	var rtt time.Duration
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return rtt
}
