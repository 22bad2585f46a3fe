package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock tells the time since boot, also that during which the VM was
// suspended. Go's own monotonic clock stands still then, and a holder that was
// moved to another host would wake and believe that its lease goes on.
func BootClock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
