package main

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// heapOf returns the bytes of heap and stacks that keep alive what build returns.
func heapOf(build func() (keep any, err error)) (float64, error) {
	before := liveBytes()
	keep, err := build()
	after := liveBytes()
	runtime.KeepAlive(keep)
	return after - before, err
}

func liveBytes() float64 {
	// Twice: finalizers of the first run free more in the second.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// nanosecondsPer runs the function for at least the time and returns the mean
// nanoseconds of one run.
func nanosecondsPer(least time.Duration, run func()) float64 {
	run()
	start := time.Now()
	n := 0
	for time.Since(start) < least {
		run()
		n++
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}

// cpuSeconds is the processor time that this process has used, user and system.
func cpuSeconds() float64 {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	seconds := func(t unix.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(usage.Utime) + seconds(usage.Stime)
}
