package exchange

import (
	"bytes"
	"math"
	"strconv"
	"strings"
	"time"
)

// parseLoad parses "running,waiting,slots" with an optional fourth value, the
// slowness in percent. It returns the zero Load for an invalid value.
func parseLoad(value []byte) Load {
	parts := bytes.Split(value, []byte{','})
	if len(parts) < 3 {
		return Load{}
	}
	var n [4]int
	n[3] = 100
	for i := range min(len(parts), len(n)) {
		v, err := strconv.Atoi(string(bytes.TrimSpace(parts[i])))
		if err != nil || v < 0 || v > maxSlots*maxSlowness {
			return Load{}
		}
		n[i] = v
	}
	return Load{Known: true, Running: min(n[0], maxSlots), Waiting: min(n[1], maxSlots), Slots: min(n[2], maxSlots), Slowness: min(maxSlowness, max(0.1, float64(n[3])/100))}
}

// parseRateLimit parses a decimal number of requests per second, which is at least
// smallestRateLimit. It returns unreadableRateLimit for an invalid value.
func parseRateLimit(value []byte) float64 {
	limit, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 0) {
		return unreadableRateLimit
	}
	return max(limit, smallestRateLimit)
}

// leavingValue is the value of the field that says that an upstream leaves.
const leavingValue = "1"

// maxRetryAfter bounds the time for which an upstream may ask for no requests. Its process is
// expected to be replaced before.
const maxRetryAfter = 24 * time.Hour

// parseRetryAfter parses a decimal number of seconds. It returns 0, which asks for nothing,
// for an invalid or negative value.
func parseRetryAfter(value []byte) time.Duration {
	seconds, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// parseKeepAlive returns the idle timeout announced by a Keep-Alive field, or 0
// if there is none.
func parseKeepAlive(value []byte) time.Duration {
	for _, part := range strings.Split(string(value), ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && n > 0 && n < 1<<20 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
