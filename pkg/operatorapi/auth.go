package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// operators checks the tokens and the rates of operators.
type operators struct {
	list []operatorAccess
	now  func() time.Time
	// refused bounds the log of requests without a valid token.
	refused *rate.Limiter
}

// operatorAccess is the token and the rate of one operator.
type operatorAccess struct {
	name      string
	tokenHash [sha256.Size]byte
	requests  *rate.Limiter
}

// refusedLogsPerSecond keeps a sender without a token from filling the log.
const refusedLogsPerSecond = 1

func newOperators(tokens map[string]string, perSecond float64, now func() time.Time) *operators {
	o := &operators{now: now, refused: rate.NewLimiter(refusedLogsPerSecond, refusedLogsPerSecond)}
	for name, token := range tokens {
		o.list = append(o.list, operatorAccess{
			name:      name,
			tokenHash: sha256.Sum256([]byte(token)),
			requests:  rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))),
		})
	}
	return o
}

// authorize returns the name of the operator that the header belongs to.
func (o *operators) authorize(header string) (name string, err error) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", result.New(result.Unauthorized, "a bearer token is required")
	}
	found := o.find(token)
	if found == nil {
		return "", result.New(result.Unauthorized, "unknown token")
	}
	if !found.requests.AllowN(o.now(), 1) {
		return found.name, result.New(result.RateLimited, "operator %s is at the limit of requests per second", found.name)
	}
	return found.name, nil
}

// find compares every token, in constant time, so that the time of the answer
// tells nothing about the tokens.
func (o *operators) find(token string) (found *operatorAccess) {
	sum := sha256.Sum256([]byte(token))
	for i := range o.list {
		if subtle.ConstantTimeCompare(o.list[i].tokenHash[:], sum[:]) == 1 {
			found = &o.list[i]
		}
	}
	return found
}
