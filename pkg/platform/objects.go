package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// objectStore implements Objects on the endpoint of a Client.
type objectStore struct{ endpoint *endpoint }

// Put stores body under its hash. Storing it again changes nothing, so a Put
// whose answer was lost may be repeated.
func (o objectStore) Put(ctx context.Context, hash string, body []byte) error {
	if len(body) > MaxObjectBytes || !hashMatches(hash, body) {
		return result.New(result.BadRequest, "object of %d bytes does not fit its hash or the limit", len(body))
	}
	got, err := o.endpoint.exchange(ctx, true, func(req *fasthttp.Request) {
		req.Header.SetMethod(fasthttp.MethodPut)
		req.URI().SetPath("/objects/" + hash)
		req.SetBody(body)
	})
	if err != nil {
		return err
	}
	if got.status != fasthttp.StatusOK && got.status != fasthttp.StatusCreated {
		return protocolError("object", got)
	}
	return nil
}

// Get returns the object and checks its content against the hash.
func (o objectStore) Get(ctx context.Context, hash string) ([]byte, error) {
	if !ValidHash(hash) {
		return nil, result.New(result.BadRequest, "not a SHA-256 in hexadecimal")
	}
	got, err := o.endpoint.exchange(ctx, false, func(req *fasthttp.Request) {
		req.URI().SetPath("/objects/" + hash)
	})
	if err != nil {
		return nil, err
	}
	switch {
	case got.status == fasthttp.StatusNotFound:
		return nil, result.New(result.ObjectNotFound, "object %s", hash)
	case got.status != fasthttp.StatusOK:
		return nil, protocolError("object", got)
	case len(got.body) > MaxObjectBytes || !hashMatches(hash, got.body):
		return nil, result.New(result.ObjectCorrupt, "object %s", hash)
	}
	return got.body, nil
}

// ValidHash tells whether hash is a SHA-256 in lower-case hexadecimal.
func ValidHash(hash string) bool {
	if len(hash) != hex.EncodedLen(sha256.Size) {
		return false
	}
	for _, c := range hash {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func hashMatches(hash string, body []byte) bool {
	sum := sha256.Sum256(body)
	return hash == hex.EncodeToString(sum[:])
}
