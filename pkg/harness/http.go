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
	requestTimeout   = 5 * time.Second
	maxResponseBytes = 64 << 20
)

var httpClient = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// StatusError is a response with a status code of 300 or above.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements the error interface.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.500s", e.Status, e.Body) }

func (e *StatusError) errorBody() operator.ErrorBody {
	var r operator.ErrorBody
	_ = json.Unmarshal(e.Body, &r)
	return r
}

// Code returns the result code in the error body, or 0.
func (e *StatusError) Code() result.Code { return e.errorBody().Code }

// Outcome returns the outcome in the error body.
func (e *StatusError) Outcome() string { return e.errorBody().Outcome }

// CurrentVersion returns the current version that a version conflict reports, or 0.
func (e *StatusError) CurrentVersion() uint64 { return e.errorBody().CurrentVersion }

// doJSON sends body as JSON, if not nil, and decodes the response into reply, if
// not nil.
func doJSON(method, url, token string, body, reply any) error {
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
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{Status: resp.StatusCode, Body: respBody}
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(respBody, reply)
}
