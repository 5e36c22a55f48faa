package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	callTimeout = 5 * time.Second
	maxAnswer   = 64 << 20
)

var client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// StatusError is an answer with a status other than 200 or 201.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.500s", e.Status, e.Body) }

func (e *StatusError) refusal() operator.ErrorBody {
	var r operator.ErrorBody
	_ = json.Unmarshal(e.Body, &r)
	return r
}

// Code returns the result code of the refusal, or 0.
func (e *StatusError) Code() result.Code { return e.refusal().Code }

// Outcome returns the outcome that the refusal states.
func (e *StatusError) Outcome() string { return e.refusal().Outcome }

// CurrentVersion returns the version that a conflict names, or 0.
func (e *StatusError) CurrentVersion() uint64 { return e.refusal().CurrentVersion }

// call sends body as JSON and decodes the answer into reply, if any.
func call(method, url, token string, body, reply any) error {
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequest(method, url, &payload)
	if err != nil {
		return err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{Status: resp.StatusCode, Body: content}
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(content, reply)
}
