package admission

import (
	"math"
	"time"
)

// Bounds of a cost histogram. Buckets grow by an eighth of an octave, so a
// quantile is at most 9% off.
const (
	minCost         = 50 * time.Microsecond
	bucketsPerTwice = 8
	costBuckets     = 23 * bucketsPerTwice
	// maxSamples bounds the weight of the past: the counts are halved when
	// their sum reaches it.
	maxSamples = 4000
	// enoughSamples is how many samples high quantiles need; below it, a multiple
	// of the largest sample stands for them.
	enoughSamples = 30
	// fewSamples is how many samples a median needs; below it the pool's costs
	// are used for a route. Long requests are rare, so that a higher number
	// leaves a long route unknown for half a minute in a small pool.
	fewSamples = 4
)

// costs is a decaying histogram of execution times.
type costs struct {
	counts [costBuckets]float32
	total  float64
	sum    float64
}

func bucketOf(d time.Duration) int {
	if d <= minCost {
		return 0
	}
	b := int(math.Log2(float64(d)/float64(minCost)) * bucketsPerTwice)
	return min(b, costBuckets-1)
}

func bucketTop(b int) time.Duration {
	return time.Duration(float64(minCost) * math.Exp2(float64(b+1)/bucketsPerTwice))
}

func (c *costs) add(d time.Duration) {
	c.counts[bucketOf(d)]++
	c.total++
	c.sum += float64(d)
	if c.total >= maxSamples {
		c.halve()
	}
}

func (c *costs) halve() {
	for i := range c.counts {
		c.counts[i] /= 2
	}
	c.total /= 2
	c.sum /= 2
}

func (c *costs) known() bool { return c.total >= fewSamples }

func (c *costs) mean() time.Duration {
	if c.total == 0 {
		return 0
	}
	return time.Duration(c.sum / c.total)
}

// high returns a quantile above the median.
func (c *costs) high(q float64) time.Duration {
	if c.total < enoughSamples {
		return 2 * c.quantile(1)
	}
	return c.quantile(q)
}

func (c *costs) quantile(q float64) time.Duration {
	if c.total == 0 {
		return 0
	}
	rank := q * c.total
	seen := 0.0
	for i, n := range c.counts {
		seen += float64(n)
		if seen >= rank && n > 0 {
			return bucketTop(i)
		}
	}
	return bucketTop(costBuckets - 1)
}
