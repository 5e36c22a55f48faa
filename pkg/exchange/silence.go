package exchange

import (
	"sync"
	"time"
)

const (
	// minSilence is the shortest time without a byte after which kept connections may
	// count as silent.
	minSilence = 300 * time.Millisecond
	// minSilentRequests and minSilentUpstreams are how many requests have to wait, and at
	// how many upstreams, for kept connections to count as silent. Fewer may wait for
	// their upstream.
	minSilentRequests  = 3
	minSilentUpstreams = 2
	// maxCheckStep caps the time that passes between two checks. A process that was paused
	// has not yet read what arrived meanwhile.
	maxCheckStep = 100 * time.Millisecond
	// deliveryWindow is how long a delivery shows that kept connections work.
	deliveryWindow = time.Second
	// firstByteGain is the weight of a new sample in the estimated time to the first byte.
	firstByteGain = 0.05
	// maxFirstByteDeviations is how many mean deviations above the mean the time to the
	// first byte may usually be.
	maxFirstByteDeviations = 4
)

// silenceDetector detects that all kept connections have stopped delivering data,
// because something between the instance and the upstreams lost their state. One
// upstream that is slow, or one region that is cut off, does not count: no kept
// connection may have delivered a byte for longer than responses usually take, while
// several requests wait at several upstreams.
type silenceDetector struct {
	mu sync.Mutex
	// elapsed is the time that has passed, without pauses of the process.
	elapsed     time.Duration
	lastCheckAt time.Time
	// waiting holds the kept connections on which a request waits for its first byte.
	waiting map[*conn]silentWait
	// lastDelivery is the value of elapsed when a kept connection last delivered, and
	// lastDeliveryAt the time of that.
	lastDelivery   time.Duration
	lastDeliveryAt time.Time
	// firstByteMean and firstByteDeviation describe the time to the first byte, in
	// nanoseconds.
	firstByteMean, firstByteDeviation float64
}

// silentWait is a request that waits on a kept connection since the given value of
// elapsed.
type silentWait struct {
	upstream   string
	idempotent bool
	since      time.Duration
	sentAt     time.Time
}

func newSilenceDetector() *silenceDetector {
	return &silenceDetector{waiting: make(map[*conn]silentWait)}
}

// sent records a request that was sent on a kept connection.
func (d *silenceDetector) sent(k *conn, upstream string, idempotent bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[k] = silentWait{upstream: upstream, idempotent: idempotent, since: d.elapsed, sentAt: now}
}

// delivered records the first byte of a response.
func (d *silenceDetector) delivered(k *conn, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.waiting[k]
	if !ok {
		return
	}
	delete(d.waiting, k)
	d.lastDelivery, d.lastDeliveryAt = d.elapsed, now
	sample := float64(now.Sub(w.sentAt))
	if d.firstByteMean == 0 {
		d.firstByteMean, d.firstByteDeviation = sample, sample/2
		return
	}
	deviation := max(sample-d.firstByteMean, d.firstByteMean-sample)
	d.firstByteDeviation += firstByteGain * (deviation - d.firstByteDeviation)
	d.firstByteMean += firstByteGain * (sample - d.firstByteMean)
}

// deliveredRecently reports whether a kept connection has delivered within deliveryWindow.
func (d *silenceDetector) deliveredRecently(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastDeliveryAt) < deliveryWindow
}

// ended records that the request on the connection waits no longer.
func (d *silenceDetector) ended(k *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, k)
}

// threshold returns the time without a byte after which kept connections count as
// silent.
func (d *silenceDetector) threshold() time.Duration {
	return max(minSilence, time.Duration(d.firstByteMean+maxFirstByteDeviations*d.firstByteDeviation))
}

// check returns how long the kept connections have been silent, or 0 if they are not. If
// they are, it calls giveUp for each connection with an idempotent request that waits;
// ended is not called for a connection while giveUp runs.
func (d *silenceDetector) check(now time.Time, giveUp func(*conn)) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lastCheckAt.IsZero() {
		d.elapsed += min(maxCheckStep, now.Sub(d.lastCheckAt))
	}
	d.lastCheckAt = now
	threshold := d.threshold()
	if d.elapsed-d.lastDelivery < threshold || !d.enoughWait(threshold) {
		return 0
	}
	for k, w := range d.waiting {
		if w.idempotent {
			giveUp(k)
		}
		delete(d.waiting, k)
	}
	d.lastDelivery = d.elapsed
	return threshold
}

// enoughWait reports whether enough requests, at enough upstreams, have waited for at
// least the given time.
func (d *silenceDetector) enoughWait(threshold time.Duration) bool {
	requests, upstreams := 0, make(map[string]bool)
	for _, w := range d.waiting {
		if d.elapsed-w.since >= threshold {
			requests++
			upstreams[w.upstream] = true
		}
	}
	return requests >= minSilentRequests && len(upstreams) >= minSilentUpstreams
}
