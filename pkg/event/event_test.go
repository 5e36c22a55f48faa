package event

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against log lines that lack the event number, the instance or the
// arguments of the call.
func TestLogIncludesEventNumber(t *testing.T) {
	var b bytes.Buffer
	Log(NewLogger(&b, slog.LevelInfo, "entry", "e1"), StoreDown, "backoff_ms", 20)
	var line map[string]any
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	require.EqualValues(t, StoreDown, line["event"])
	require.Equal(t, "e1", line["instance"])
	require.EqualValues(t, 20, line["backoff_ms"])
}
