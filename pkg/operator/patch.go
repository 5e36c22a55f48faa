package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// dialTimeout is shorter than the default timeout of an attempt, so that the client
// moves on sooner from an unreachable instance to the next one.
const dialTimeout = 3 * time.Second

func dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, dialError{err}
	}
	return conn, nil
}

// NewPatchID returns a random patch id.
func NewPatchID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Patch submits a patch and retries it with the same patch id while its outcome is
// unknown. The error PatchOutcomeUnknown means that an attempt may already have been
// accepted, or may still be accepted after Patch has returned.
func (c *Client) Patch(ctx context.Context, patch PatchRequest) (PatchReply, error) {
	body, err := json.Marshal(patch)
	if err != nil {
		return PatchReply{}, result.New(result.PatchMalformed, "%v", err)
	}
	s := submission{client: c, body: body, lastErr: errNoAddress()}
	for round := range maxPatchRounds {
		if round > 0 && c.cfg.Sleep(ctx, patchBackoffBase<<round) != nil {
			break
		}
		reply, outcomeKnown, err := s.tryInstances(ctx)
		if outcomeKnown {
			return reply, err
		}
		if !s.mayHaveArrived {
			return PatchReply{}, s.lastErr
		}
	}
	return PatchReply{}, result.New(result.PatchOutcomeUnknown,
		"retry with patch id %s: %v", patch.PatchID, s.lastErr)
}

// submission is the state of a patch over all attempts to submit it.
type submission struct {
	client *Client
	body   []byte
	// mayHaveArrived is set once an instance may have received the patch.
	mayHaveArrived bool
	// lastErr is the error of the most recent attempt.
	lastErr error
}

// tryInstances submits the patch once to each instance, in order, until the outcome
// is known. outcomeKnown is false if no attempt determined the outcome.
func (s *submission) tryInstances(ctx context.Context) (reply PatchReply, outcomeKnown bool, err error) {
	for _, addr := range s.client.cfg.Addresses {
		reply, err := s.attempt(ctx, addr)
		if err == nil {
			return reply, true, nil
		}
		if provesRejection(err, s.mayHaveArrived) {
			return PatchReply{}, true, err
		}
		s.mayHaveArrived = s.mayHaveArrived || result.OutcomeOf(err) == result.Unknown
		s.lastErr = err
	}
	return PatchReply{}, false, nil
}

func (s *submission) attempt(ctx context.Context, addr string) (reply PatchReply, err error) {
	respBody, err := s.client.attempt(ctx, addr, fasthttp.MethodPost, PathPatches, s.body)
	if err != nil {
		return PatchReply{}, err
	}
	err = decode(addr, respBody, &reply)
	return reply, err
}

// provesRejection reports whether err proves that the patch was not accepted and never
// will be. mayHaveArrived reports whether an earlier attempt may have reached an
// instance. If none has, every non-retryable error is proof. Otherwise the earlier
// attempt may have been accepted, and only two kinds of error are proof, because they
// depend only on the patch and the current version: a version conflict, for which the
// instance has looked up the patch id and found that the current version has advanced,
// and errors after which the patch can never be accepted.
func provesRejection(err error, mayHaveArrived bool) bool {
	code := result.CodeOf(err)
	switch code {
	case result.VersionConflict, result.PatchIDReused, result.DescriptionInvalid, result.DescriptionTooLarge, result.PatchMalformed:
		return true
	}
	return !mayHaveArrived && !Retryable(err)
}
