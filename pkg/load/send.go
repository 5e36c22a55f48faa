package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// answerSlack lets the system's own refusal arrive after the deadline.
	answerSlack = 500 * time.Millisecond
	settlePause = 200 * time.Millisecond
	roundPause  = 20 * time.Millisecond
	// maxRounds bounds the passes over the preference list after "not run".
	maxRounds = 2
)

// callers holds the simulated callers of a run.
type callers struct {
	clients     *clients
	identifiers *identifiers
	list        []*caller
}

type caller struct {
	cfg     Config
	shared  *callers
	lookups *cache
}

func newCallers(cfg Config) *callers {
	shared := &callers{clients: newClients()}
	shared.identifiers = newIdentifiers(shared.clients, cfg.Service)
	for i, block := range cfg.Blocks {
		lookups := &cache{clients: shared.clients, service: cfg.Service, block: block, entries: cfg.Entries, next: i}
		if len(cfg.Direct) > 0 {
			lookups.fixed = []Target{{ID: cfg.Direct[i], Address: cfg.Direct[i]}}
		}
		shared.list = append(shared.list, &caller{cfg: cfg, shared: shared, lookups: lookups})
	}
	return shared
}

func (c *callers) of(item Item) *caller { return c.list[item.Caller] }

func (c *callers) close() { c.clients.close() }

// attempt is the result of one submission.
type attempt struct {
	outcome  result.Outcome
	code     result.Code
	upstream string
	domain   string
	fault    string
	detail   string
	repeats  int
}

func notSent(detail string) attempt {
	return attempt{outcome: result.NotRun, code: result.PeerUnreachable, detail: detail}
}

// send carries one request to its final outcome.
func (c *caller) send(item Item, intended time.Time) Record {
	record := Record{Token: item.Token, Class: item.Class, Idempotent: item.Idempotent, IntendedUnixUS: intended.UnixMicro()}
	deadline := intended.Add(c.cfg.Deadline)
	last := notSent("no entry instance is known")
	for round := 0; round < maxRounds && last.outcome == result.NotRun; round++ {
		if round > 0 {
			time.Sleep(roundPause)
		}
		last = c.tryTargets(item, deadline, &record, last)
		if c.cfg.Single || last.code == result.BadRequest || last.code == result.UnknownService {
			break
		}
	}
	record.LatencyUS = time.Since(intended).Microseconds()
	record.Outcome, record.Code, record.Detail = last.outcome.String(), last.code, last.detail
	record.Upstream, record.Domain, record.Fault = last.upstream, last.domain, last.fault
	return record
}

// tryTargets follows the order of preference until an answer is not "not run".
func (c *caller) tryTargets(item Item, deadline time.Time, record *Record, last attempt) attempt {
	for _, target := range c.lookups.targets() {
		if time.Until(deadline) <= 0 {
			return last
		}
		id := ""
		if !item.Idempotent {
			issued, err := c.shared.identifiers.take(target.Address)
			if err != nil {
				last = notSent(err.Error())
				continue
			}
			id = issued
		}
		last = c.submit(target, item, id, deadline, record)
		if last.outcome == result.Unknown && !c.cfg.Single {
			last = c.repeat(target, item, id, deadline, record, last)
		}
		if last.outcome != result.NotRun || c.cfg.Single {
			return last
		}
	}
	return last
}

// repeat sends a request again after "outcome unknown": an idempotent one to
// the other instances within its deadline, any other with its identifier until
// the outcome is known or SettleFor has passed. Only a complete answer settles
// the outcome, because "not run" describes the repeat alone.
func (c *caller) repeat(first Target, item Item, id string, deadline time.Time, record *Record, last attempt) attempt {
	limit := deadline
	if !item.Idempotent {
		limit = time.Now().Add(c.cfg.SettleFor)
	}
	for time.Now().Before(limit) && canSettle(last.code) {
		if !item.Idempotent || last.repeats > 0 {
			time.Sleep(settlePause)
		}
		targets := c.lookups.targets()
		for _, target := range targets {
			if item.Idempotent && target.ID == first.ID && len(targets) > 1 {
				continue
			}
			again := c.submit(target, item, id, limit, record)
			if again.outcome == result.Complete {
				record.Settled = true
				return again
			}
			if again.outcome == result.Unknown {
				again.repeats = last.repeats
				last = again
				break
			}
		}
		last.repeats++
	}
	return last
}

// canSettle tells whether a repeat can still change the outcome.
func canSettle(code result.Code) bool {
	switch code {
	case result.RequestIDOwnerGone, result.RequestIDExpired, result.RequestIDConsumed:
		return false
	}
	return true
}

func (c *caller) submit(target Target, item Item, id string, deadline time.Time, record *Record) attempt {
	record.Sends++
	record.Entry = target.ID
	remaining := time.Until(deadline)
	wait := remaining + answerSlack
	if item.Idempotent && c.cfg.AttemptTimeout > 0 {
		wait = min(wait, c.cfg.AttemptTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := c.newRequest(ctx, target, item, id, remaining)
	if err != nil {
		return notSent(err.Error())
	}
	resp, err := c.shared.clients.of(target.Address).Do(req)
	if err != nil {
		c.shared.clients.retire(target.Address)
		return failed(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return failed(fmt.Errorf("reading the answer: %w", err))
	}
	return judge(item, resp, body, int(req.ContentLength))
}

func failed(err error) attempt {
	if neverSent(err) {
		return notSent(err.Error())
	}
	return attempt{outcome: result.Unknown, code: result.PeerNoAnswer, detail: err.Error()}
}

func (c *caller) newRequest(ctx context.Context, target Target, item Item, id string, remaining time.Duration) (*http.Request, error) {
	url := "http://" + target.Address + "/v1/services/" + c.cfg.Service + item.Path()
	body := ""
	if !item.Idempotent {
		body = bodyOf(item, c.cfg.BodyBytes)
	}
	req, err := http.NewRequestWithContext(ctx, item.Method(), url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(request.HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	req.Header.Set(request.HeaderIdempotent, strconv.FormatBool(item.Idempotent))
	if id != "" {
		req.Header.Set(request.HeaderRequestID, id)
	}
	return req, nil
}
