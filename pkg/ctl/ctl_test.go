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

// fakeInstance serves canned responses for each path in order and repeats the last one
// of the path. A result.Code is served as an error response.
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
	f := &fakeInstance{responses: responses, addr: listener.Addr().String()}
	go fasthttp.Serve(listener, f.handle)
	return f
}

func (f *fakeInstance) handle(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.IsPost() {
		var p operator.PatchRequest
		_ = json.Unmarshal(ctx.PostBody(), &p)
		f.patches = append(f.patches, p)
	}
	remaining := f.responses[string(ctx.Path())]
	if len(remaining) == 0 {
		remaining = []any{result.NotFound}
	} else if len(remaining) > 1 {
		f.responses[string(ctx.Path())] = remaining[1:]
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
func (f *fakeInstance) run(t *testing.T, stdin string, args ...string) (status int, stdout, stderr string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var outBuf, errBuf bytes.Buffer
	args = append([]string{"--address", f.addr, "--token", "secret-token-of-length"}, args...)
	status = Run(ctx, args, strings.NewReader(stdin), &outBuf, &errBuf)
	return status, outBuf.String(), errBuf.String()
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
	fake := newFakeInstance(t, map[string][]any{
		operator.PathCurrent: {operator.Version{Version: 7}},
		operator.PathPatches: {operator.PatchReply{Version: 8, Hash: "abc"}},
	})
	status, stdout, stderr := fake.run(t, `{"lookup": {"ttl_ms": 300}}`, "patch", "-")
	require.Equal(t, exitOK, status, stderr)
	require.Equal(t, "version 8 abc\n", stdout)
	require.Contains(t, stderr, "patch id "+fake.patches[0].PatchID+", base version 7")

	_, _, _ = fake.run(t, `{}`, "patch", "--patch-id", "mine", "--base", "5", "--kind", "json", "-")
	require.Equal(t, "mine", fake.patches[1].PatchID)
	require.EqualValues(t, 5, fake.patches[1].BaseVersion)
	require.EqualValues(t, "json", fake.patches[1].Kind)
	status, _, stderr = fake.run(t, `{}`, "patch", "--patch-id", "mine", "-")
	require.Equal(t, exitFailed, status)
	require.Contains(t, stderr, "--base")
}

// Guards against scripts that mistake an unknown outcome for a rejection.
func TestExitStatus(t *testing.T) {
	fake := newFakeInstance(t, map[string][]any{operator.PathPatches: {result.PatchOutcomeUnknown}})
	status, _, stderr := fake.run(t, `{}`, "patch", "--base", "7", "--patch-id", "mine", "-")
	require.Equal(t, exitOutcomeUnknown, status)
	require.Contains(t, stderr, "patch id mine")
	require.Len(t, fake.patches, 3, "a patch with an unknown outcome must be retried")

	fake = newFakeInstance(t, map[string][]any{operator.PathPatches: {result.VersionConflict}})
	status, _, stderr = fake.run(t, `{}`, "patch", "--base", "7", "-")
	require.Equal(t, exitFailed, status)
	require.Contains(t, stderr, "version_conflict")
	require.Contains(t, stderr, "current version 9")
	status, _, _ = fake.run(t, "", "nonsense")
	require.Equal(t, exitFailed, status)
	status, stdout, _ := fake.run(t, "", "--help")
	require.Equal(t, exitOK, status)
	require.Contains(t, stdout, "Examples:")
}

// Guards against a validation that contacts an instance although a base file is
// given.
func TestValidateOffline(t *testing.T) {
	var stdout, stderr bytes.Buffer
	baseFile := writeTempFile(t, baseDescription)
	run := func(patch string) int {
		stdout.Reset()
		stderr.Reset()
		return Run(context.Background(), []string{"validate", "--base-file", baseFile, "-"}, strings.NewReader(patch), &stdout, &stderr)
	}
	require.Equal(t, exitOK, run(`{"lookup": {"ttl_ms": 300}}`), stderr.String())
	require.Equal(t, "/lookup/ttl_ms: 200 -> 300\n", stdout.String())
	require.Equal(t, exitFailed, run(`{"lookup": {"ttl_ms": 1}}`))
	require.Contains(t, stderr.String(), "lookup.ttl_ms")
}

// Guards against a watch that ends early, never ends, or is aborted by a short
// outage of an instance.
func TestWatch(t *testing.T) {
	fake := newFakeInstance(t, map[string][]any{
		operator.PathMoves + "shop": {
			operator.MoveReply{Service: "shop", Target: map[string]float64{"north-a": 1}},
			result.NoConfiguration,
			operator.MoveReply{Service: "shop", Target: map[string]float64{"north-a": 1}, Finished: true},
		},
		operator.PathDrains + "u1": {
			operator.DrainReply{ID: "u1", State: operator.DrainDraining, InFlight: 2},
			operator.DrainReply{ID: "u1", State: operator.DrainDrained},
		},
	})
	status, stdout, stderr := fake.run(t, "", "move", "--watch", "--interval", "1ms", "shop")
	require.Equal(t, exitOK, status)
	require.Equal(t, 2, strings.Count(stdout, "shop version"))
	require.Contains(t, stderr, "no_configuration")
	status, stdout, _ = fake.run(t, "", "drain", "--watch", "--interval", "1ms", "u1")
	require.Equal(t, exitOK, status)
	require.Equal(t, "u1 draining, 2 in flight\nu1 drained, 0 in flight\n", stdout)
	status, _, _ = fake.run(t, "", "drain", "--watch", "none")
	require.Equal(t, exitFailed, status, "an unknown id must end the watch")
}

// Guards against a diff that shows the changes from the newer version to the older one.
// A diff from version 0 must start from the empty description.
func TestDiff(t *testing.T) {
	fake := newFakeInstance(t, map[string][]any{
		operator.PathCurrent:         {operator.Version{Version: 8, Description: json.RawMessage(`{"a": 2}`)}},
		operator.PathVersions + "/7": {operator.Version{Version: 7, Description: json.RawMessage(`{"a": 1}`)}},
	})
	_, stdout, _ := fake.run(t, "", "diff", "7")
	require.Equal(t, "/a: 1 -> 2\n", stdout)
	_, stdout, _ = fake.run(t, "", "diff", "0", "7")
	require.Equal(t, "/a: (added) -> 1\n", stdout)
}

// Guards against a request that is reported as not found because it was not served
// by the first instance in the list.
func TestRequestQueriesAllInstances(t *testing.T) {
	other := newFakeInstance(t, nil)
	served := newFakeInstance(t, map[string][]any{operator.PathRequests + "abc": {map[string]string{"outcome": "refused"}}})
	var stdout, stderr bytes.Buffer
	status := Run(context.Background(), []string{"--address", other.addr + "," + served.addr, "--token", "t", "request", "abc"}, nil, &stdout, &stderr)
	require.Zero(t, status, stderr.String())
	require.Contains(t, stdout.String(), "refused")
	status = Run(context.Background(), []string{"--address", other.addr, "--token", "t", "request", "abc"}, nil, &stdout, &stderr)
	require.Equal(t, exitFailed, status)
}
