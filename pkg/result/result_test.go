package result

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/result-codes.md")

const page = "../../docs/result-codes.md"

// Guards against a code that is in the source but not in the docs, or the reverse.
func TestPageListsEveryCode(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Result codes\n\nGenerated from `pkg/result/codes.go` by `go test ./pkg/result -update`.\n\n")
	b.WriteString("| code | name | outcome | HTTP status | meaning |\n|---|---|---|---|---|\n")
	for _, i := range Catalogue() {
		fmt.Fprintf(&b, "| %d | `%s` | `%s` | %d | %s |\n", i.Code, i.Name, i.Outcome, i.HTTPStatus, i.Text)
	}
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(b.String()), 0o644))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(got), "run go test ./pkg/result -update")
}

// Guards against two entries for one code or name, and codes out of order.
func TestCatalogueIsOrderedAndUnique(t *testing.T) {
	names := make(map[string]bool)
	last := Code(0)
	for _, i := range Catalogue() {
		require.Greater(t, i.Code, last, "code %d", i.Code)
		require.False(t, names[i.Name], "name %s", i.Name)
		names[i.Name] = true
		last = i.Code
	}
}

// Guards against a constant that has no catalogue entry.
func TestEveryConstantIsCatalogued(t *testing.T) {
	source, err := os.ReadFile("codes.go")
	require.NoError(t, err)
	require.Equal(t, strings.Count(string(source), " Code = "), len(Catalogue()))
}

// Guards against a wrapped error losing its code.
func TestCodeSurvivesWrapping(t *testing.T) {
	err := errors.Annotate(New(QueueFull, "pool %s", "a"), "forwarding")
	require.Equal(t, QueueFull, CodeOf(err))
	require.Equal(t, NotRun, OutcomeOf(err))
	require.Equal(t, "pool a", Detail(err))
	require.Equal(t, Unknown, OutcomeOf(errors.New("plain")), "an uncoded error must not claim that nothing ran")
}

// Guards against a code that is documented but that no code uses.
func TestEveryCodeIsUsed(t *testing.T) {
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
	constants, err := os.ReadFile("codes.go")
	require.NoError(t, err)
	names := regexp.MustCompile(`(?m)^\s+(\w+)\s+Code = `).FindAllStringSubmatch(string(constants), -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		used := regexp.MustCompile(`\bresult\.` + name[1] + `\b`)
		require.True(t, used.MatchString(source.String()), "%s is not used", name[1])
	}
}
