package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/platform"
)

const (
	// responseSlack lets the system's own refusal arrive after the deadline.
	responseSlack = 500 * time.Millisecond
	// maxRounds bounds the passes over the addresses of a look-up answer.
	maxRounds = 3
	// maxWaitFraction is the part of the time left that a caller waits at most before
	// it comes back after a refusal.
	maxWaitFraction = 1.0 / 3
)

// callers holds the simulated callers of a run.
type callers struct {
	clients *clients
	list    []*caller
}

type caller struct {
	cfg     Config
	shared  *callers
	lookups *lookupCache
}

func newCallers(cfg Config) *callers {
	shared := &callers{clients: newClients()}
	for i, region := range cfg.Regions {
		lookups := &lookupCache{clients: shared.clients, host: cfg.Host, region: region, lookupAddresses: cfg.LookupAddresses, nextAddress: i}
		if len(cfg.DirectAddresses) > 0 {
			lookups.fixedAddresses = []string{cfg.DirectAddresses[i]}
		}
		shared.list = append(shared.list, &caller{cfg: cfg, shared: shared, lookups: lookups})
	}
	return shared
}

func (c *callers) callerFor(item PlannedRequest) *caller { return c.list[item.Caller] }

func (c *callers) close() { c.clients.close() }

// attempt is the result of one submission.
type attempt struct {
	outcome result.Outcome
	// status is that of the answer, or 0 if there was none.
	status int
	// notRetryable tells that a repeat would get the same answer.
	notRetryable   bool
	upstream string
	fault    string
	detail   string
	// retryAfter is the time that the answer asks the caller to wait.
	retryAfter time.Duration
}

func notSent(detail string) attempt { return attempt{outcome: result.NotRun, detail: detail} }

// send carries one request to its final outcome.
func (c *caller) send(item PlannedRequest, intended time.Time) Record {
	record := Record{Token: item.Token, Class: item.Class, Idempotent: item.Idempotent, IntendedUnixUS: intended.UnixMicro()}
	deadline := intended.Add(c.cfg.Deadline)
	last, unknown := notSent("no instance is known"), false
	for round := 0; round < maxRounds && !c.isFinal(item, last); round++ {
		if round > 0 {
			time.Sleep(min(last.retryAfter, time.Duration(maxWaitFraction*float64(time.Until(deadline)))))
		}
		for _, address := range c.lookups.targets() {
			if time.Until(deadline) <= 0 {
				break
			}
			last = c.submit(address, item, deadline, &record)
			unknown = unknown || last.outcome == result.Unknown
			if c.isFinal(item, last) {
				break
			}
		}
	}
	if unknown && last.outcome == result.NotRun {
		// "Not run" describes the last submission alone.
		last.outcome = result.Unknown
	}
	record.LatencyUS = time.Since(intended).Microseconds()
	record.Outcome, record.Status, record.Detail = last.outcome.String(), last.status, last.detail
	record.Upstream, record.Fault = last.upstream, last.fault
	return record
}

// isFinal tells whether no other submission follows.
func (c *caller) isFinal(item PlannedRequest, last attempt) bool {
	return last.status != 0 && c.cfg.SingleAttempt || last.outcome == result.Complete || last.notRetryable || last.outcome == result.Unknown && (c.cfg.SingleAttempt || !item.Idempotent)
}

// submit sends the request once, under an identifier of its own.
func (c *caller) submit(address string, item PlannedRequest, deadline time.Time, record *Record) attempt {
	record.Attempts++
	record.Instance = address
	remaining := time.Until(deadline)
	wait := remaining + responseSlack
	if item.Idempotent && c.cfg.AttemptTimeout > 0 {
		wait = min(wait, c.cfg.AttemptTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	id, sent := fmt.Sprintf("%s.%d", item.Token, record.Attempts), ""
	if !item.Idempotent {
		sent = requestBody(item, c.cfg.BodyBytes)
	}
	req, err := c.newRequest(ctx, address, item, id, sent, remaining)
	if err != nil {
		return notSent(err.Error())
	}
	resp, err := c.shared.clients.get(address).Do(req)
	if err != nil {
		c.shared.clients.closeIdle(address)
		return failedAttempt(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return failedAttempt(fmt.Errorf("reading the answer: %w", err))
	}
	a := classifyResponse(id, item.Path(), sent, resp, string(body))
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

func failedAttempt(err error) attempt {
	if isDialError(err) {
		return notSent(err.Error())
	}
	return attempt{outcome: result.Unknown, detail: err.Error()}
}

func (c *caller) newRequest(ctx context.Context, address string, item PlannedRequest, id, body string, remaining time.Duration) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, item.Method(), "http://"+address+item.Path(), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	h := platform.Headers()
	req.Host = c.cfg.Host
	req.Header.Set(h.RequestID, id)
	req.Header.Set(h.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	return req, nil
}
