package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against an error that reports only the first invalid key or omits unknown
// keys.
func TestAllErrorsAreReported(t *testing.T) {
	r, err := Parse([]byte("[listen]\naddress = localhost:1\nlimit = many\nwait = 5h\ncolour = red\n"))
	require.NoError(t, err)
	r.Address("listen", "address")
	r.Int("listen", "limit", 5, 1, 10)
	r.Duration("listen", "wait", time.Second, 0, time.Minute)
	r.String("listen", "domain")
	err = r.Err()
	require.Equal(t, result.SettingsInvalid, result.CodeOf(err))
	for _, part := range []string{"[listen] address", "[listen] limit", "[listen] wait", "[listen] domain: required", "[listen] colour: unknown key"} {
		require.Contains(t, err.Error(), part)
	}
}

// Guards against a default being returned for a key that is set.
func TestValues(t *testing.T) {
	r, err := Parse([]byte("[a]\nseeds = 127.0.0.1:1, 127.0.0.1:2\nrate = 0.5\n[tokens]\nana = x\n"))
	require.NoError(t, err)
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, r.Addresses("a", "seeds"))
	require.Equal(t, 0.5, r.Float("a", "rate", 1, 0, 1))
	require.Equal(t, map[string]string{"ana": "x"}, r.Section("tokens"))
	require.NoError(t, r.Err())
}

// Guards against panics on arbitrary settings files.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[listen]\naddress = 127.0.0.1:1\n"))
	f.Add([]byte("[[x]\n=\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Parse(text)
		if err != nil {
			return
		}
		r.Address("listen", "address")
		r.Int("listen", "limit", 5, 1, 10)
		_ = r.Err()
	})
}
