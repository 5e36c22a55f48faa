package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// fakeInstance serves canned responses by path; the last response of a path is
// repeated. A result.Code is served as an error.
type fakeInstance struct {
	mu        sync.Mutex
	responses map[string][]any
	patches   []operator.PatchRequest
	addr      string
}

func newFakeInstance(t *testing.T, responses map[string][]any) *fakeInstance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	a := &fakeInstance{responses: responses, addr: listener.Addr().String()}
	go fasthttp.Serve(listener, a.handle)
	return a
}

func (a *fakeInstance) handle(ctx *fasthttp.RequestCtx) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ctx.IsPost() {
		var p operator.PatchRequest
		_ = json.Unmarshal(ctx.PostBody(), &p)
		a.patches = append(a.patches, p)
	}
	remaining := a.responses[string(ctx.Path())]
	if len(remaining) == 0 {
		remaining = []any{result.NotFound}
	} else if len(remaining) > 1 {
		a.responses[string(ctx.Path())] = remaining[1:]
	}
	value := remaining[0]
	if code, ok := value.(result.Code); ok {
		ctx.SetStatusCode(result.Lookup(code).HTTPStatus)
		value = operator.NewErrorBody(result.New(code, "refused"), 9)
	}
	body, _ := json.Marshal(value)
	ctx.SetBody(body)
}

// run executes a command line against the fake instance.
func (a *fakeInstance) run(t *testing.T, stdin string, args ...string) (status int, stdout, stderr string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var out, errs bytes.Buffer
	args = append([]string{"--address", a.addr, "--token", "secret-token-of-length"}, args...)
	status = Run(ctx, args, strings.NewReader(stdin), &out, &errs)
	return status, out.String(), errs.String()
}

const baseDescription = `{"regions": {"north": {"domains": ["north-a"]}}, "lookup": {"ttl_ms": 200}, "services": {}}`

func writeTempFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "file.json")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Guards against a patch that the operator cannot retry because its patch id was
// not printed.
func TestPatchPrintsPatchID(t *testing.T) {
	a := newFakeInstance(t, map[string][]any{
		operator.PathCurrent: {operator.Version{Version: 7}},
		operator.PathPatches: {operator.PatchReply{Version: 8, Hash: "abc"}},
	})
	status, out, errs := a.run(t, `{"lookup": {"ttl_ms": 300}}`, "patch", "-")
	require.Equal(t, exitOK, status, errs)
	require.Equal(t, "version 8 abc\n", out)
	require.Contains(t, errs, "patch id "+a.patches[0].PatchID+", base version 7")

	_, _, _ = a.run(t, `{}`, "patch", "--patch-id", "mine", "--base", "5", "--kind", "json", "-")
	require.Equal(t, "mine", a.patches[1].PatchID)
	require.EqualValues(t, 5, a.patches[1].BaseVersion)
	require.EqualValues(t, "json", a.patches[1].Kind)
	status, _, errs = a.run(t, `{}`, "patch", "--patch-id", "mine", "-")
	require.Equal(t, exitFailed, status)
	require.Contains(t, errs, "--base")
}

// Guards against scripts that mistake an unknown outcome for a rejection.
func TestExitStatus(t *testing.T) {
	a := newFakeInstance(t, map[string][]any{operator.PathPatches: {result.PatchOutcomeUnknown}})
	status, _, errs := a.run(t, `{}`, "patch", "--base", "7", "--patch-id", "mine", "-")
	require.Equal(t, exitOutcomeUnknown, status)
	require.Contains(t, errs, "patch id mine")
	require.Len(t, a.patches, 3, "a patch with an unknown outcome must be retried")

	a = newFakeInstance(t, map[string][]any{operator.PathPatches: {result.VersionConflict}})
	status, _, errs = a.run(t, `{}`, "patch", "--base", "7", "-")
	require.Equal(t, exitFailed, status)
	require.Contains(t, errs, "version_conflict")
	require.Contains(t, errs, "current version 9")
	status, _, _ = a.run(t, "", "nonsense")
	require.Equal(t, exitFailed, status)
	status, out, _ := a.run(t, "", "--help")
	require.Equal(t, exitOK, status)
	require.Contains(t, out, "Examples:")
}

// Guards against a validation that contacts an instance although a base file is
// given.
func TestValidateOffline(t *testing.T) {
	var out, errs bytes.Buffer
	baseFile := writeTempFile(t, baseDescription)
	run := func(patch string) int {
		out.Reset()
		errs.Reset()
		return Run(context.Background(), []string{"validate", "--base-file", baseFile, "-"}, strings.NewReader(patch), &out, &errs)
	}
	require.Equal(t, exitOK, run(`{"lookup": {"ttl_ms": 300}}`), errs.String())
	require.Equal(t, "/lookup/ttl_ms: 200 -> 300\n", out.String())
	require.Equal(t, exitFailed, run(`{"lookup": {"ttl_ms": 1}}`))
	require.Contains(t, errs.String(), "lookup.ttl_ms")
}

// Guards against a watch that ends early, never ends, or is aborted by a short
// outage of an instance.
func TestWatch(t *testing.T) {
	a := newFakeInstance(t, map[string][]any{
		operator.PathMoves + "shop": {
			operator.Move{Service: "shop", Target: map[string]float64{"north-a": 1}},
			result.NoConfiguration,
			operator.Move{Service: "shop", Target: map[string]float64{"north-a": 1}, Finished: true},
		},
		operator.PathDrains + "u1": {
			operator.Drain{ID: "u1", State: operator.DrainDraining, InFlight: 2},
			operator.Drain{ID: "u1", State: operator.DrainDrained},
		},
	})
	status, out, errs := a.run(t, "", "move", "--watch", "--interval", "1ms", "shop")
	require.Equal(t, exitOK, status)
	require.Equal(t, 2, strings.Count(out, "shop version"))
	require.Contains(t, errs, "no_configuration")
	status, out, _ = a.run(t, "", "drain", "--watch", "--interval", "1ms", "u1")
	require.Equal(t, exitOK, status)
	require.Equal(t, "u1 draining, 2 in flight\nu1 drained, 0 in flight\n", out)
	status, _, _ = a.run(t, "", "drain", "--watch", "none")
	require.Equal(t, exitFailed, status, "an unknown id must end the watch")
}

// Guards against a diff in the wrong direction, and against one from version 0
// that does not start at the empty description.
func TestDiff(t *testing.T) {
	a := newFakeInstance(t, map[string][]any{
		operator.PathCurrent:         {operator.Version{Version: 8, Description: json.RawMessage(`{"a": 2}`)}},
		operator.PathVersions + "/7": {operator.Version{Version: 7, Description: json.RawMessage(`{"a": 1}`)}},
	})
	_, out, _ := a.run(t, "", "diff", "7")
	require.Equal(t, "/a: 1 -> 2\n", out)
	_, out, _ = a.run(t, "", "diff", "0", "7")
	require.Equal(t, "/a: (added) -> 1\n", out)
}

// Guards against a request that is reported as not found because it was not served
// by the first instance in the list.
func TestRequestQueriesAllInstances(t *testing.T) {
	other := newFakeInstance(t, nil)
	served := newFakeInstance(t, map[string][]any{operator.PathRequests + "abc": {map[string]string{"outcome": "refused"}}})
	var out, errs bytes.Buffer
	status := Run(context.Background(), []string{"--address", other.addr + "," + served.addr, "--token", "t", "request", "abc"}, nil, &out, &errs)
	require.Zero(t, status, errs.String())
	require.Contains(t, out.String(), "refused")
	status = Run(context.Background(), []string{"--address", other.addr, "--token", "t", "request", "abc"}, nil, &out, &errs)
	require.Equal(t, exitFailed, status)
}
