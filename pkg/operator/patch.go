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

// dialTimeout is below the timeout of an attempt, so that an unreachable instance
// delays the next one less.
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

// Patch submits a patch and repeats it with the same patch id while its outcome
// is unknown. PatchOutcomeUnknown means that it may still be accepted.
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
		reply, settled, err := s.tryInstances(ctx)
		if settled {
			return reply, err
		}
		if !s.mayHaveArrived {
			return PatchReply{}, s.lastErr
		}
	}
	return PatchReply{}, result.New(result.PatchOutcomeUnknown,
		"repeat with patch id %s: %v", patch.PatchID, s.lastErr)
}

// submission is the state of a patch over all attempts to submit it.
type submission struct {
	client *Client
	body   []byte
	// mayHaveArrived tells that an instance may have received the patch.
	mayHaveArrived bool
	// lastErr is the error of the lastErr attempt.
	lastErr error
}

// tryInstances tries all instances once; settled tells that the outcome is known.
func (s *submission) tryInstances(ctx context.Context) (reply PatchReply, settled bool, err error) {
	for _, addr := range s.client.cfg.Addresses {
		reply, err := s.attempt(ctx, addr)
		if err == nil {
			return reply, true, nil
		}
		if isFinal(err, s.mayHaveArrived) {
			return PatchReply{}, true, err
		}
		s.mayHaveArrived = s.mayHaveArrived || result.OutcomeOf(err) == result.Unknown
		s.lastErr = err
	}
	return PatchReply{}, false, nil
}

func (s *submission) attempt(ctx context.Context, addr string) (reply PatchReply, err error) {
	answer, err := s.client.attempt(ctx, addr, fasthttp.MethodPost, PathPatches, s.body)
	if err != nil {
		return PatchReply{}, err
	}
	err = decode(addr, answer, &reply)
	return reply, err
}

// isFinal reports whether err settles the outcome of a patch. After an attempt
// that may have arrived, only a refusal that depends on the patch and the head
// alone does: the instance has then looked the patch id up, and the head has moved
// or the patch can never be accepted.
func isFinal(err error, mayHaveArrived bool) bool {
	code := result.CodeOf(err)
	switch code {
	case result.VersionConflict, result.PatchIDReused, result.DescriptionInvalid, result.DescriptionTooLarge, result.PatchMalformed:
		return true
	}
	return !mayHaveArrived && !Retryable(err)
}
