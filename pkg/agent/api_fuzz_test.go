package agent

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/configsync"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/membership"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/operatorapi"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// newBareAPI returns the operator API of an agent that runs nothing and has a
// store in memory.
func newBareAPI() (*Agent, *operatorapi.API) {
	server := standin.NewPlatform(time.Now)
	a := &Agent{
		settings: &settings.Instance{ID: "a", Domain: "north-a", Agent: settings.Agent{
			Operators: map[string]string{"ana": token}, OperatorRequestsPerSecond: 1e9,
		}},
		logger: event.Discard(), registry: metrics.NewRegistry(), instances: &instances{},
		store: configstore.New(server.Direct(), server.Direct().Objects(), time.Now),
	}
	a.members = membership.New(membership.Config{Self: cluster.Member{ID: "a", Domain: "north-a"}})
	a.sync = configsync.New(configsync.Config{ID: "a", Members: a.members.Members})
	return a, a.newAPI()
}

// Guards against operator requests that crash the agent, are answered without
// an outcome, or change the configuration without a valid token.
func FuzzOperatorRequest(f *testing.F) {
	body := `{"base_version":0,"patch_id":"p","kind":"merge","patch":` + descriptionText + `}`
	f.Add("POST", operator.PathPatches, "Bearer "+token, body)
	f.Add("POST", operator.PathPatches, "Bearer x", body)
	f.Add("POST", operator.PathValidate, "Bearer "+token, `{"kind":"json","patch":[{"op":"add"}]}`)
	f.Add("GET", operator.PathVersions+"?before=18446744073709551615&limit=18446744073709551615", "Bearer "+token, "")
	f.Add("GET", operator.PathVersions+"/18446744073709551615", "Bearer "+token, "")
	f.Add("GET", operator.PathDrains+"%00", "Bearer "+token, "")
	f.Add("GET", operator.PathMoves+"../shop", "", "")
	f.Fuzz(func(t *testing.T, method, path, authorization, body string) {
		a, p := newBareAPI()
		defer a.sync.Close()
		var http fasthttp.RequestCtx
		http.Request.Header.SetMethod(method)
		http.Request.SetRequestURI("http://agent" + path)
		http.Request.Header.Set("Authorization", authorization)
		http.Request.SetBodyString(body)
		if leavesProcess(string(http.Path())) {
			return
		}
		p.Handle(&http)
		a.background.Wait()
		if http.Response.StatusCode() != 200 {
			var e operator.ErrorBody
			require.NoError(t, json.Unmarshal(http.Response.Body(), &e), "%s", http.Response.Body())
			require.NotEqual(t, result.OK, e.Code)
			require.Contains(t, []string{"not_run", "unknown"}, e.Outcome)
		}
		// The codec replaces line breaks in header values by spaces.
		if string(http.Request.Header.Peek("Authorization")) != "Bearer "+token {
			require.Equal(t, 401, http.Response.StatusCode())
			require.Zero(t, a.sync.Current().Number)
		}
	})
}

// leavesProcess reports calls that ask an entry, which this agent lacks.
func leavesProcess(path string) bool {
	return path == operator.PathExplain || path == operator.PathState
}
