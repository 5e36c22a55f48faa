package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// authorizer checks the tokens of operators and enforces their rate limits.
type authorizer struct {
	credentials       atomic.Pointer[[]credential]
	requestsPerSecond float64
	now               func() time.Time
	// refusalLogLimiter limits the rate of log records about rejected requests.
	refusalLogLimiter *rate.Limiter
}

// credential holds the token hash and the rate limiter of one operator.
type credential struct {
	name      string
	tokenHash [sha256.Size]byte
	limiter   *rate.Limiter
}

// maxRefusalLogsPerSecond keeps a sender without a valid token from flooding the
// log.
const maxRefusalLogsPerSecond = 1

func newAuthorizer(tokens map[string]string, requestsPerSecond float64, now func() time.Time) *authorizer {
	a := &authorizer{requestsPerSecond: requestsPerSecond, now: now, refusalLogLimiter: rate.NewLimiter(maxRefusalLogsPerSecond, maxRefusalLogsPerSecond)}
	a.setTokens(tokens)
	return a
}

// setTokens replaces the tokens of all operators. The rate limits start anew.
func (a *authorizer) setTokens(tokens map[string]string) {
	credentials := make([]credential, 0, len(tokens))
	for name, token := range tokens {
		credentials = append(credentials, credential{
			name:      name,
			tokenHash: sha256.Sum256([]byte(token)),
			limiter:   rate.NewLimiter(rate.Limit(a.requestsPerSecond), max(1, int(a.requestsPerSecond))),
		})
	}
	a.credentials.Store(&credentials)
}

// authorize returns the name of the operator that the Authorization header
// identifies. If the operator exceeds the rate limit, authorize returns both the name
// and an error.
func (a *authorizer) authorize(header string) (name string, err error) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", result.New(result.Unauthorized, "a bearer token is required")
	}
	found := a.findCredential(token)
	if found == nil {
		return "", result.New(result.Unauthorized, "unknown token")
	}
	if !found.limiter.AllowN(a.now(), 1) {
		return found.name, result.New(result.RateLimited, "operator %s exceeded the limit of requests per second", found.name)
	}
	return found.name, nil
}

// findCredential returns the credential of a token, or nil if there is none. It
// compares the token with all credentials in constant time, so that the response time
// reveals nothing about valid tokens.
func (a *authorizer) findCredential(token string) (found *credential) {
	sum := sha256.Sum256([]byte(token))
	credentials := *a.credentials.Load()
	for i := range credentials {
		if subtle.ConstantTimeCompare(credentials[i].tokenHash[:], sum[:]) == 1 {
			found = &credentials[i]
		}
	}
	return found
}
