package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startTestUpstream(t *testing.T, config UpstreamConfig) (*Upstream, string) {
	u, err := StartUpstream(config)
	require.NoError(t, err)
	t.Cleanup(u.Close)
	return u, "http://" + u.Address()
}

func call(t *testing.T, method, url, body string, header map[string]string) (*http.Response, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(text)
}

// Guards against a stand-in that runs more than its slots or sheds without
// saying that nothing ran.
func TestUpstreamHoldsSlotsAndSheds(t *testing.T) {
	u, url := startTestUpstream(t, UpstreamConfig{ID: "u", Slots: 2, Queue: 1})
	statuses := make(chan string, 10)
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			resp, _ := call(t, "GET", url+"/a?work_ms=100", "", map[string]string{"Sequoia-Execution": fmt.Sprintf("t%d-1", i)})
			statuses <- fmt.Sprint(resp.StatusCode, resp.Header.Get("Sequoia-Not-Run"))
		})
	}
	group.Wait()
	close(statuses)
	counts := make(map[string]int)
	for s := range statuses {
		counts[s]++
	}
	require.Equal(t, map[string]int{"200": 3, "5031": 7}, counts)
	log := u.Log()
	require.Equal(t, []any{uint64(3), uint64(7), 2}, []any{log.Started, log.Shed, log.MaxInFlight})
	require.True(t, strings.HasPrefix(log.Executions[9].Trace, "t"))
}

// Guards against a cancelled or expired execution that keeps its slot.
func TestUpstreamCancelAndDeadline(t *testing.T) {
	u, url := startTestUpstream(t, UpstreamConfig{ID: "u", Slots: 1})
	_, body := call(t, "DELETE", url+"/.sequoia/executions/x-1", "", nil)
	require.JSONEq(t, `{"state":"unknown"}`, body)
	done := make(chan int)
	go func() {
		resp, _ := call(t, "GET", url+"/a?work_ms=60000", "", map[string]string{"Sequoia-Execution": "x-1"})
		done <- resp.StatusCode
	}()
	require.Eventually(t, func() bool { return u.Log().MaxInFlight == 1 }, time.Second, time.Millisecond)
	_, body = call(t, "DELETE", url+"/.sequoia/executions/x-1", "", nil)
	require.JSONEq(t, `{"state":"cancelled"}`, body)
	require.Equal(t, statusClientClosed, <-done)
	resp, _ := call(t, "GET", url+"/a?work_ms=60000", "", map[string]string{"Sequoia-Deadline-Ms": "30", "Sequoia-Execution": "x-2"})
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	call(t, "GET", url+"/a?work_ms=1", "", map[string]string{"Sequoia-Execution": "x-3"})
	_, body = call(t, "DELETE", url+"/.sequoia/executions/x-3", "", nil)
	require.JSONEq(t, `{"state":"finished"}`, body)
}

// Guards against status figures that do not lag or mislead as requested.
func TestUpstreamStatusLagsAndMisleads(t *testing.T) {
	u, url := startTestUpstream(t, UpstreamConfig{ID: "u", Slots: 2, Cold: 1})
	status := func() (s UpstreamStatus) {
		_, body := call(t, "GET", url+"/.sequoia/status", "", nil)
		require.NoError(t, json.Unmarshal([]byte(body), &s))
		return s
	}
	require.Equal(t, "warming", status().State)
	go call(t, "GET", url+"/a?work_ms=60000", "", map[string]string{"Sequoia-Execution": "x-1", "Sequoia-Deadline-Ms": "5000"})
	require.Eventually(t, func() bool { return status().InFlight == 1 }, time.Second, time.Millisecond)
	require.Equal(t, "ready", status().State)
	call(t, "POST", url+"/control", `{"status_lag_ms":60000,"leaving":true,"status_leaving_lag_ms":60000}`, nil)
	require.Equal(t, UpstreamStatus{State: "ready", Slots: 2, AgeMS: 60000}, status())
	call(t, "POST", url+"/control", `{"status_false":true,"leaving":true}`, nil)
	require.Equal(t, UpstreamStatus{State: "leaving", Slots: 2, InFlight: 1}, status())
	resp, _ := call(t, "GET", url+"/a", "", nil)
	require.Equal(t, "1", resp.Header.Get("Sequoia-Leaving"))
	require.Equal(t, "1", resp.Header.Get("Sequoia-Not-Run"))
	u.SetFault(UpstreamFault{})
}
