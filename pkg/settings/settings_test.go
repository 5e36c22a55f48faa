package settings

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against a report that hides all errors but the first, or unknown keys.
func TestAllErrorsAreReported(t *testing.T) {
	r, err := Parse([]byte("[entry]\naddress = localhost:1\nlimit = many\nwait = 5h\ncolour = red\n"))
	require.NoError(t, err)
	r.Address("entry", "address")
	r.Int("entry", "limit", 5, 1, 10)
	r.Duration("entry", "wait", time.Second, 0, time.Minute)
	r.String("entry", "domain")
	err = r.Err()
	require.Equal(t, result.SettingsInvalid, result.CodeOf(err))
	for _, part := range []string{"[entry] address", "[entry] limit", "[entry] wait", "[entry] domain: required", "[entry] colour: unknown key"} {
		require.Contains(t, err.Error(), part)
	}
}

// Guards against defaults that hide a value that is present.
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
	f.Add([]byte("[entry]\naddress = 127.0.0.1:1\n"))
	f.Add([]byte("[[x]\n=\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Parse(text)
		if err != nil {
			return
		}
		r.Address("entry", "address")
		r.Int("entry", "limit", 5, 1, 10)
		_ = r.Err()
	})
}

const instanceText = `[instance]
id = a-1
region = north
domain = north-a
[tls]
certificate_file = c
key_file = k
authority_file = a
[entry]
caller_address = 127.0.0.1:1
peer_address = 127.0.0.1:2
admin_address = 127.0.0.1:3
[agent]
peer_address = 127.0.0.1:4
operator_address = 127.0.0.1:5
admin_address = 127.0.0.1:6
%s
[platform]
table_address = 127.0.0.1:7
objects_address = 127.0.0.1:7
list_address = 127.0.0.1:7
`

// Guards against an advertised address that is lost or differs without need.
func TestAdvertisedAddress(t *testing.T) {
	r, err := Parse([]byte(fmt.Sprintf(instanceText, "advertised_address = 127.0.0.9:4")))
	require.NoError(t, err)
	s, err := ReadInstance(r)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:2", s.Entry.AdvertisedAddress)
	require.Equal(t, "127.0.0.9:4", s.Agent.AdvertisedAddress)
	require.Equal(t, "127.0.0.1:4", s.Agent.PeerAddress)
}
