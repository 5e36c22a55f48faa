package healthcheck

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/httpio/httpiotest"
)

var testHeaders = exchange.Headers{Upstream: "X-Upstream", ColdRemaining: "X-Cold"}

// Guards against a rest of the warm-up that is read wrongly or from another upstream.
func TestCheckReadsTheWarmUp(t *testing.T) {
	for name, c := range map[string]struct {
		id, cold string
		status   int
		want     time.Duration
		fails    bool
	}{
		"cold":              {"u", "1200ms", 200, 1200 * time.Millisecond, false},
		"cold and ill":      {"u", "2s", 503, 2 * time.Second, false},
		"a number":          {"u", "800", 200, 800 * time.Millisecond, false},
		"warm":              {"u", "0ms", 200, 0, false},
		"not stated":        {"u", "", 200, 0, false},
		"negative":          {"u", "-5ms", 200, 0, false},
		"very long":         {"u", "900h", 200, maxColdRemaining, false},
		"unreadable":        {"u", "soon", 200, 0, true},
		"no number":         {"u", "NaN", 200, 0, true},
		"another upstream":  {"v", "1200ms", 200, 0, true},
		"no upstream named": {"", "1200ms", 200, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/healthz" {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				w.Header().Set("X-Upstream", c.id)
				if c.cold != "" {
					w.Header().Set("X-Cold", c.cold)
				}
				w.WriteHeader(c.status)
			}))
			defer s.Close()
			got, err := NewClient(testHeaders).Check(Target{ID: "u", Address: s.Listener.Addr().String(), Path: "/healthz"}, time.Second)
			require.Equal(t, c.fails, err != nil, "%v", err)
			require.Equal(t, c.want, got.ColdRemaining)
		})
	}
}

// Guards against a broken response that is taken for the health of an upstream.
func TestBrokenResponseIsNoHealth(t *testing.T) {
	httpiotest.CheckReader(t, "X-Upstream: u\r\n", "", func(address string) error {
		_, err := NewClient(testHeaders).Check(Target{ID: "u", Address: address, Path: "/healthz"}, time.Second)
		return err
	})
}
