package event

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/events.md")

const page = "../../docs/events.md"

// Guards against an event that is in the source but not in the docs, or the reverse.
func TestPageListsEveryEvent(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated from `pkg/event/events.go` by `go test ./pkg/event -update`.\n\n")
	b.WriteString("| event | level | text | what to do |\n|---|---|---|---|\n")
	for _, i := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", i.ID, i.Level, i.Text, i.Action)
	}
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(b.String()), 0o644))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(got), "run go test ./pkg/event -update")
}

// Guards against a constant without a catalogue entry and duplicate numbers.
func TestCatalogueIsComplete(t *testing.T) {
	source, err := os.ReadFile("events.go")
	require.NoError(t, err)
	require.Equal(t, strings.Count(string(source), " ID = "), len(Catalogue()))
	last := ID(0)
	for _, i := range Catalogue() {
		require.Greater(t, i.ID, last)
		last = i.ID
	}
}

// Guards against log lines without their event number.
func TestLogCarriesNumber(t *testing.T) {
	var b bytes.Buffer
	Log(NewLogger(&b, slog.LevelInfo, "entry", "e1"), StoreDown, "backoff_ms", 20)
	var line map[string]any
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	require.EqualValues(t, StoreDown, line["event"])
	require.Equal(t, "e1", line["instance"])
	require.EqualValues(t, 20, line["backoff_ms"])
}

// Guards against an event that is documented but that no code uses.
func TestEveryEventIsUsed(t *testing.T) {
	var source strings.Builder
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		source.Write(text)
		return err
	})
	require.NoError(t, err)
	constants, err := os.ReadFile("events.go")
	require.NoError(t, err)
	names := regexp.MustCompile(`(?m)^\s+(\w+)\s+ID = `).FindAllStringSubmatch(string(constants), -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		used := regexp.MustCompile(`\bevent\.` + name[1] + `\b`)
		require.True(t, used.MatchString(source.String()), "%s is not used", name[1])
	}
}
