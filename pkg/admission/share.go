package admission

import (
	"math"
	"time"
)

// workMemory is the execution time after which the remembered work of a pool is
// halved, in slots of the pool and seconds.
const workMemory = 10.0

// work remembers how much of the requested execution time is for long routes.
// It counts arrivals, because the work that was done depends on the share.
type work struct {
	long   float64
	normal float64
}

func (w *work) add(d time.Duration, long bool, slots int) {
	if long {
		w.long += d.Seconds()
	} else {
		w.normal += d.Seconds()
	}
	if w.long+w.normal > workMemory*float64(max(slots, 1)) {
		w.long /= 2
		w.normal /= 2
	}
}

// longShare returns the part of the slots that gives long and other routes the
// same utilisation.
func (w *work) longShare() float64 {
	if w.long+w.normal == 0 {
		return 1
	}
	return w.long / (w.long + w.normal)
}

// shareRounding rounds the slots of long routes up from a quarter of a slot.
const shareRounding = 0.25

// longSlots returns how many slots tasks of long routes may hold: their part of
// the work within the part that the settings allow. A fixed part alone left
// short requests too few slots in small pools.
func (p *pool) longSlots() int {
	slots := float64(p.slots())
	share := min(p.work.longShare(), p.config.Settings.LongRouteSlots)
	return max(1, min(int(math.Ceil(share*slots-shareRounding)), int(p.config.Settings.LongRouteSlots*slots)))
}
