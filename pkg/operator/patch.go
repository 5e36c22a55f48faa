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
	maySent := false
	last := result.New(result.PeerUnreachable, "no agent address is given")
	for round := range patchRounds {
		if round > 0 && c.cfg.Sleep(ctx, patchPause<<round) != nil {
			break
		}
		for _, addr := range c.cfg.Addresses {
			var reply PatchReply
			answer, err := c.attempt(ctx, addr, fasthttp.MethodPost, PathPatches, body)
			if err == nil {
				err = decode(addr, answer, &reply)
			}
			if err == nil {
				return reply, nil
			}
			if final(err, maySent) {
				return PatchReply{}, err
			}
			maySent = maySent || result.OutcomeOf(err) == result.Unknown
			last = err
		}
		if !maySent {
			return PatchReply{}, last
		}
	}
	if maySent {
		return PatchReply{}, result.New(result.PatchOutcomeUnknown,
			"repeat with patch id %s: %v", patch.PatchID, last)
	}
	return PatchReply{}, last
}

// final reports whether err settles the outcome of a patch. After an attempt
// that may have arrived, only a refusal that depends on the patch and the head
// alone does: the agent has then looked the patch id up, and the head has moved
// or the patch can never be accepted.
func final(err error, maySent bool) bool {
	code := result.CodeOf(err)
	switch code {
	case result.VersionConflict, result.PatchIDReused, result.DescriptionInvalid, result.DescriptionTooLarge, result.PatchMalformed:
		return true
	}
	return !maySent && !elsewhere(err)
}
