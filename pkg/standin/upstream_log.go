package standin

import (
	"strings"
	"time"
)

// UpstreamRecord is one execution in the log.
type UpstreamRecord struct {
	ID          string `json:"id"`
	Trace       string `json:"trace"`
	Path        string `json:"path"`
	StartUnixUS int64  `json:"start_unix_us"`
	EndUnixUS   int64  `json:"end_unix_us"`
	Result      string `json:"result"`
}

// UpstreamLog is the answer to GET /log.
type UpstreamLog struct {
	Executions  []UpstreamRecord `json:"executions"`
	Started     uint64           `json:"started"`
	Shed        uint64           `json:"shed"`
	MaxInFlight int              `json:"max_in_flight"`
}

// maxLogged bounds the executions in the log; the older half is dropped when
// it is reached.
const maxLogged = 500_000

func (l *UpstreamLog) add(e *upstreamExecution) {
	if len(l.Executions) >= maxLogged {
		l.Executions = append(l.Executions[:0], l.Executions[maxLogged/2:]...)
	}
	if e.result == UpstreamShed {
		l.Shed++
	} else {
		l.Started++
	}
	l.Executions = append(l.Executions, UpstreamRecord{
		ID: e.id, Trace: traceOf(e.id), Path: e.path,
		StartUnixUS: e.started.UnixMicro(), EndUnixUS: e.ended.UnixMicro(), Result: e.result,
	})
}

func (l *UpstreamLog) noteRunning(running int) { l.MaxInFlight = max(l.MaxInFlight, running) }

// traceOf returns the trace that an execution id starts with.
func traceOf(id string) string {
	if i := strings.LastIndexByte(id, '-'); i > 0 {
		return id[:i]
	}
	return id
}

// Log returns a copy of the log.
func (u *Upstream) Log() UpstreamLog {
	u.mu.Lock()
	defer u.mu.Unlock()
	log := u.log
	log.Executions = append([]UpstreamRecord{}, log.Executions...)
	return log
}

// upstreamLoad is the load at one time; the status shows past loads.
type upstreamLoad struct {
	at      time.Time
	running int
	waiting int
}

// maxLoads bounds the past loads; the older half is dropped when it is reached.
const maxLoads = 50_000

func (u *Upstream) noteLoad() {
	if len(u.loads) >= maxLoads {
		u.loads = append(u.loads[:0], u.loads[maxLoads/2:]...)
	}
	u.loads = append(u.loads, upstreamLoad{at: time.Now(), running: u.running, waiting: len(u.waiting)})
}

// loadBefore returns the load that was in force at a time.
func (u *Upstream) loadBefore(at time.Time) upstreamLoad {
	for i := len(u.loads) - 1; i >= 0; i-- {
		if !u.loads[i].at.After(at) {
			return u.loads[i]
		}
	}
	return upstreamLoad{}
}
