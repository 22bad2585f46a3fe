package main

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// heapOf returns the growth of heap and stacks in bytes while the result of build is
// reachable.
func heapOf(build func() (keep any, err error)) (float64, error) {
	before := liveBytes()
	keep, err := build()
	after := liveBytes()
	runtime.KeepAlive(keep)
	return after - before, err
}

func liveBytes() float64 {
	// Twice, since objects with finalizers are freed only by the second collection.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// nanosecondsPer calls run repeatedly for at least the given time and returns the mean
// nanoseconds per call.
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

// cpuSeconds returns the CPU time used by this process, user and system.
func cpuSeconds() float64 {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	seconds := func(t unix.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(usage.Utime) + seconds(usage.Stime)
}
