// Package docs holds the checks of the generated pages.
package docs

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

var update = flag.Bool("update", false, "rewrite the pages of result codes and events")

// catalogue is a numbered table in the source and its page.
type catalogue struct {
	title, header, page, source, pkg, typ string
	numbers                               []int
	names                                 []string
	rows                                  string
}

func codes() catalogue {
	c := catalogue{title: "Result codes", page: "result-codes.md", source: "../pkg/result/codes.go", pkg: "result", typ: "Code",
		header: "| code | name | outcome | HTTP status | meaning |\n|---|---|---|---|---|\n"}
	for _, i := range result.Catalogue() {
		c.numbers, c.names = append(c.numbers, int(i.Code)), append(c.names, i.Name)
		c.rows += fmt.Sprintf("| %d | `%s` | `%s` | %d | %s |\n", i.Code, i.Name, i.Outcome, i.HTTPStatus, i.Text)
	}
	return c
}

func events() catalogue {
	c := catalogue{title: "Log events", page: "events.md", source: "../pkg/event/events.go", pkg: "event", typ: "ID",
		header: "| event | level | text | what to do |\n|---|---|---|---|\n"}
	for _, i := range event.Catalogue() {
		c.numbers, c.names = append(c.numbers, int(i.ID)), append(c.names, i.Text)
		c.rows += fmt.Sprintf("| %d | %s | %s | %s |\n", i.ID, i.Level, i.Text, i.Action)
	}
	return c
}

// Guards against a code or event that is in the source but not in the docs, or
// the reverse; that has no entry or two; and that nothing uses.
func TestCatalogues(t *testing.T) {
	product := productSource(t)
	for _, c := range []catalogue{codes(), events()} {
		text := fmt.Sprintf("# %s\n\nGenerated from `%s` by `go test ./docs -update`.\n\n%s%s", c.title, strings.TrimPrefix(c.source, "../"), c.header, c.rows)
		if *update {
			require.NoError(t, os.WriteFile(c.page, []byte(text), 0o644))
		}
		page, err := os.ReadFile(c.page)
		require.NoError(t, err)
		require.Equal(t, text, string(page), "run go test ./docs -update")

		names := make(map[string]bool)
		for i, name := range c.names {
			require.False(t, names[name], "%s stands twice", name)
			require.True(t, i == 0 || c.numbers[i] > c.numbers[i-1], "%s is out of order", name)
			names[name] = true
		}
		source, err := os.ReadFile(c.source)
		require.NoError(t, err)
		constants := regexp.MustCompile(`(?m)^\s+(\w+)\s+`+c.typ+` = `).FindAllStringSubmatch(string(source), -1)
		require.Len(t, constants, len(c.numbers), "every constant needs an entry")
		for _, constant := range constants {
			require.Regexp(t, `\b`+c.pkg+`\.`+constant[1]+`\b`, product, "%s is not used", constant[1])
		}
	}
}

// productSource returns all Go files but tests.
func productSource(t *testing.T) string {
	var source strings.Builder
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		source.Write(text)
		return err
	})
	require.NoError(t, err)
	return source.String()
}
