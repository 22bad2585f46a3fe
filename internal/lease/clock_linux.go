package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since boot as a time.Time, including the time during
// which the VM was suspended. Go's monotonic clock does not advance then, so a
// holder that resumes after a suspension would still count its lease as valid.
// If the clock can't be read, BootClock returns the wall clock.
func BootClock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
