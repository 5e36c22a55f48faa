// Package slowdown lets tests compare elapsed times with bounds on a machine that also does
// other work.
package slowdown

import (
	"runtime"
	"syscall"
	"time"
)

const (
	// Work that never waits is measured for workTime of every workTime + pauseTime.
	workTime  = 2 * time.Millisecond
	pauseTime = 8 * time.Millisecond
	// rusageThread asks for the processor time of the calling thread (RUSAGE_THREAD).
	rusageThread = 1
)

// Meter measures by how much other processes slow this one down.
type Meter struct {
	end   chan struct{}
	ratio chan float64
}

// Start starts a measurement. It runs until Scale is called.
func Start() *Meter {
	m := &Meter{end: make(chan struct{}), ratio: make(chan float64, 1)}
	go m.run()
	return m
}

// Scale ends the measurement and returns bound times the slowdown, which is the ratio of
// elapsed time to processor time of work that never waits, at least 1.
func (m *Meter) Scale(bound time.Duration) time.Duration {
	close(m.end)
	return time.Duration(<-m.ratio * float64(bound))
}

func (m *Meter) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	elapsed, used := time.Duration(0), time.Duration(0)
	for {
		start, usedBefore := time.Now(), threadTime()
		for threadTime()-usedBefore < workTime {
		}
		elapsed += time.Since(start)
		used += threadTime() - usedBefore
		select {
		case <-m.end:
			m.ratio <- max(1, float64(elapsed)/float64(used))
			return
		case <-time.After(pauseTime):
		}
	}
}

// threadTime returns the processor time that the calling thread has used.
func threadTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
