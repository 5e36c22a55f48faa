package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// controlLimit bounds a status or cancel call.
const controlLimit = time.Second

// Status is an upstream's answer to a status call.
type Status struct {
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// AgeMS is the age of the load figures.
	AgeMS int64 `json:"age_ms"`
}

// States of a cancelled execution.
const (
	// StateCancelled means that the execution no longer holds a slot.
	StateCancelled = "cancelled"
	// StateFinished means that the execution ended before the cancel call.
	StateFinished = "finished"
	// StateUnknown means that the upstream has not seen the execution.
	StateUnknown = "unknown"
)

// Status asks the upstream for its state and load.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	err := c.control(ctx, address, http.MethodGet, request.StatusPath, &status)
	return status, err
}

// Cancel asks the upstream over a new connection to cancel an execution and
// returns its state.
func (c *Client) Cancel(ctx context.Context, address, execution string) (string, error) {
	var answer struct {
		State string `json:"state"`
	}
	path := request.ExecutionsPath + url.PathEscape(execution)
	err := c.control(WithNewConnection(ctx), address, http.MethodDelete, path, &answer)
	return answer.State, err
}

func (c *Client) control(ctx context.Context, address, method, path string, answer any) error {
	req := &request.Request{Method: method, Path: path, Idempotent: true, Deadline: time.Now().Add(controlLimit)}
	resp, err := c.Do(ctx, address, req, "")
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return result.New(result.UpstreamProtocol, "%s answered with status %d", path, resp.Status)
	}
	if err := json.Unmarshal(resp.Body, answer); err != nil {
		return result.New(result.UpstreamProtocol, "%s: %v", path, err)
	}
	return nil
}
