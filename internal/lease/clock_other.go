//go:build !linux

package lease

import "time"

// BootClock returns the wall clock on systems without CLOCK_BOOTTIME.
func BootClock() time.Time { return time.Now() }
