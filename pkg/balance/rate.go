package balance

import "time"

// rateMemory is the time over which rates are averaged.
const rateMemory = 2 * time.Second

// rate is an average of events per second.
type rate struct {
	value float64
	at    time.Time
	count float64
}

func (r *rate) add(now time.Time, n float64) {
	r.count += n
	r.roll(now)
}

// roll folds the events of the last interval into the average.
func (r *rate) roll(now time.Time) {
	const interval = 250 * time.Millisecond
	if r.at.IsZero() {
		r.at = now
		return
	}
	passed := now.Sub(r.at)
	if passed < interval {
		return
	}
	seconds := passed.Seconds()
	weight := min(1, seconds/rateMemory.Seconds())
	r.value += weight * (r.count/seconds - r.value)
	r.count, r.at = 0, now
}
