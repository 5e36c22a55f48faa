package balance

import "time"

// rateTimeConstant is the time constant of the EWMA of rates.
const rateTimeConstant = 2 * time.Second

// rate is an EWMA of events per second.
type rate struct {
	value     float64
	updatedAt time.Time
	// count is the number of events since updatedAt.
	count float64
}

// add counts n events.
func (r *rate) add(now time.Time, n float64) {
	r.count += n
	r.update(now)
}

// update adds the events counted since the last update to the average. It does
// nothing if the last update is less than interval ago.
func (r *rate) update(now time.Time) {
	const interval = 250 * time.Millisecond
	if r.updatedAt.IsZero() {
		r.updatedAt = now
		return
	}
	elapsed := now.Sub(r.updatedAt)
	if elapsed < interval {
		return
	}
	seconds := elapsed.Seconds()
	weight := min(1, seconds/rateTimeConstant.Seconds())
	r.value += weight * (r.count/seconds - r.value)
	r.count, r.updatedAt = 0, now
}
