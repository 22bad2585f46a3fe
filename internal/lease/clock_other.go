//go:build !linux

package lease

import "time"

// BootClock is the wall clock where the system tells no time since boot.
func BootClock() time.Time { return time.Now() }
