package revision

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Guards against an order in which a high number of an earlier era comes last.
func TestEraComesBeforeNumber(t *testing.T) {
	ordered := []Revision{{}, {0, 1}, {0, 900}, {1, 0}, {1, 5}, {2, 1}, {2, 4}}
	for i, a := range ordered {
		for j, b := range ordered {
			require.Equal(t, i < j, a.Before(b), "%s before %s", a, b)
			require.Equal(t, i > j, a.After(b), "%s after %s", a, b)
		}
	}
}

// Guards against an era or a number that the encoding changes, and against a revision without
// an era that older releases can't read.
func TestEncodingKeepsEraAndNumber(t *testing.T) {
	for _, r := range []Revision{{}, {0, 7}, {1, 0}, {1, 7}, {3, math.MaxInt64}, {math.MaxInt64, 1}, {2, -1}} {
		data, err := cbor.Marshal(r)
		require.NoError(t, err)
		var got Revision
		require.NoError(t, cbor.Unmarshal(data, &got))
		require.Equal(t, r, got)
		var number int64
		require.NoError(t, cbor.Unmarshal(data, &number), "a release without eras reads the number")
		require.Equal(t, r.Number, number)
	}
}

// FuzzDecode guards against revisions that crash the decoder, and against ones that change
// when they are passed on.
func FuzzDecode(f *testing.F) {
	for _, r := range []Revision{{}, {0, -1}, {1, 7}, {math.MaxInt64, math.MaxInt64}} {
		data, err := cbor.Marshal(r)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xdb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{0x82, 0x01, 0x07})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Revision
		if cbor.Unmarshal(data, &r) != nil {
			return
		}
		require.GreaterOrEqual(t, r.Era, int64(0))
		again, err := cbor.Marshal(r)
		require.NoError(t, err)
		var got Revision
		require.NoError(t, cbor.Unmarshal(again, &got))
		require.Equal(t, r, got)
	})
}
