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
	// responseSlack is how long the caller waits for a response after the deadline, so
	// that a refusal sent by an instance at the deadline still arrives.
	responseSlack = 500 * time.Millisecond
	// maxRounds is the maximum number of passes over the looked-up addresses.
	maxRounds = 3
	// maxWaitFraction is the maximum wait before the next round after a refusal,
	// as a fraction of the remaining time.
	maxWaitFraction = 1.0 / 3
)

// callers holds the simulated callers of a run.
type callers struct {
	httpClients *httpClients
	list        []*caller
}

// caller is one simulated caller. shared holds the HTTP clients that all callers of the
// run use.
type caller struct {
	cfg     Config
	shared  *callers
	lookups *lookupCache
}

func newCallers(cfg Config) *callers {
	shared := &callers{httpClients: newHTTPClients()}
	for i, region := range cfg.Regions {
		lookups := &lookupCache{httpClients: shared.httpClients, host: cfg.Host, region: region, lookupAddresses: cfg.LookupAddresses, nextAddressIndex: i}
		if len(cfg.DirectAddresses) > 0 {
			lookups.fixedAddresses = []string{cfg.DirectAddresses[i]}
		}
		shared.list = append(shared.list, &caller{cfg: cfg, shared: shared, lookups: lookups})
	}
	return shared
}

func (c *callers) callerFor(planned PlannedRequest) *caller { return c.list[planned.CallerIndex] }

func (c *callers) close() { c.httpClients.close() }

// attemptResult is the result of one attempt to send a request.
type attemptResult struct {
	outcome result.Outcome
	// status is the status of the response, or 0 if there was none.
	status int
	// notRetryable is set if a retry would get the same response.
	notRetryable bool
	upstream     string
	fault        string
	detail       string
	// retryAfter is the wait time requested by the Retry-After header.
	retryAfter time.Duration
}

func notSent(detail string) attemptResult {
	return attemptResult{outcome: result.NotRun, detail: detail}
}

// send sends one request, with retries, and returns its final outcome.
func (c *caller) send(planned PlannedRequest, intended time.Time) Record {
	record := Record{Token: planned.Token, Class: planned.Class, Idempotent: planned.Idempotent, IntendedUnixUS: intended.UnixMicro()}
	deadline := intended.Add(c.cfg.Timeout)
	last, unknown := notSent("no instance address available"), false
	for round := 0; round < maxRounds && !c.isFinal(planned, last); round++ {
		if round > 0 {
			time.Sleep(min(last.retryAfter, time.Duration(maxWaitFraction*float64(time.Until(deadline)))))
		}
		for _, address := range c.lookups.addresses() {
			if time.Until(deadline) <= 0 {
				break
			}
			last = c.sendAttempt(address, planned, deadline, &record)
			unknown = unknown || last.outcome == result.Unknown
			if c.isFinal(planned, last) {
				break
			}
		}
	}
	if unknown && last.outcome == result.NotRun {
		// The last attempt has not run, but an earlier attempt may have.
		last.outcome = result.Unknown
	}
	record.LatencyUS = time.Since(intended).Microseconds()
	record.Outcome, record.Status, record.Detail = last.outcome.String(), last.status, last.detail
	record.Upstream, record.Fault = last.upstream, last.fault
	return record
}

// isFinal reports whether last is the final attempt of the request.
func (c *caller) isFinal(planned PlannedRequest, last attemptResult) bool {
	return last.status != 0 && c.cfg.SingleAttempt || last.outcome == result.Complete || last.notRetryable || last.outcome == result.Unknown && (c.cfg.SingleAttempt || !planned.Idempotent)
}

// sendAttempt sends the request once, under a new request ID.
func (c *caller) sendAttempt(address string, planned PlannedRequest, deadline time.Time, record *Record) attemptResult {
	record.Attempts++
	record.InstanceAddress = address
	remaining := time.Until(deadline)
	wait := remaining + responseSlack
	if planned.Idempotent && c.cfg.AttemptTimeout > 0 {
		wait = min(wait, c.cfg.AttemptTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	id, sentBody := fmt.Sprintf("%s.%d", planned.Token, record.Attempts), ""
	if !planned.Idempotent {
		sentBody = requestBody(planned, c.cfg.BodyBytes)
	}
	req, err := c.newRequest(ctx, address, planned, id, sentBody, remaining)
	if err != nil {
		return notSent(err.Error())
	}
	resp, err := c.shared.httpClients.get(address).Do(req)
	if err != nil {
		c.shared.httpClients.closeIdle(address)
		return failedAttempt(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return failedAttempt(fmt.Errorf("reading the response body: %w", err))
	}
	a := classifyResponse(id, planned.Path(), sentBody, resp, string(body))
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

func failedAttempt(err error) attemptResult {
	if isDialError(err) {
		return notSent(err.Error())
	}
	return attemptResult{outcome: result.Unknown, detail: err.Error()}
}

func (c *caller) newRequest(ctx context.Context, address string, planned PlannedRequest, id, body string, remaining time.Duration) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, planned.Method(), "http://"+address+planned.Path(), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	h := platform.Headers()
	req.Host = c.cfg.Host
	req.Header.Set(h.RequestID, id)
	req.Header.Set(h.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	return req, nil
}
