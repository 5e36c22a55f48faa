package standin_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

func start(t *testing.T, now func() time.Time) (*standin.Platform, *platform.Client) {
	t.Helper()
	server := standin.NewPlatform(now)
	require.NoError(t, server.Start("127.0.0.1:0"))
	t.Cleanup(server.Close)
	address := server.Address()
	return server, platform.NewClient(platform.ClientConfig{
		TableAddress: address, ObjectsAddress: address, ListAddress: address,
		ReadsPerSecond: 1000, WritesPerSecond: 1000, Timeout: 2 * time.Second,
	})
}

func put(key, value string, revision uint64) platform.Transaction {
	return platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: []byte(value)}},
	}
}

// Guards against transactions that apply in part or ignore a condition.
func TestPlatformTransactions(t *testing.T) {
	_, client := start(t, time.Now)
	ctx := context.Background()
	row, err := client.Get(ctx, "a b/ü&=")
	require.NoError(t, err)
	require.Zero(t, row.Revision)
	revision, err := client.Transact(ctx, put("a b/ü&=", "1", 0))
	require.NoError(t, err)
	_, err = client.Transact(ctx, put("a b/ü&=", "2", 0))
	require.Equal(t, result.StoreConflict, result.CodeOf(err))
	row, err = client.Get(ctx, "a b/ü&=")
	require.NoError(t, err)
	require.Equal(t, platform.Row{Key: "a b/ü&=", Value: []byte("1"), Revision: revision}, row)

	for _, key := range []string{"p/3", "p/1", "p/2", "q/1"} {
		_, err = client.Transact(ctx, put(key, key, 0))
		require.NoError(t, err)
	}
	rows, err := client.List(ctx, "p/", "p/1", 10)
	require.NoError(t, err)
	require.Len(t, rows, 2)
	require.Equal(t, "p/2", rows[0].Key)
}

// Guards against objects that are stored under another hash than their own.
func TestPlatformObjects(t *testing.T) {
	_, client := start(t, time.Now)
	ctx := context.Background()
	body := []byte("body")
	hash := description.Hash(body)
	_, err := client.Objects().Get(ctx, hash)
	require.Equal(t, result.ObjectNotFound, result.CodeOf(err))
	require.NoError(t, client.Objects().Put(ctx, hash, body))
	require.NoError(t, client.Objects().Put(ctx, hash, body))
	got, err := client.Objects().Get(ctx, hash)
	require.NoError(t, err)
	require.Equal(t, body, got)
	require.Equal(t, result.BadRequest, result.CodeOf(client.Objects().Put(ctx, hash, []byte("other"))))
}

// Guards against a stand-in that applies a write it should drop, or the reverse.
func TestPlatformFaults(t *testing.T) {
	server, client := start(t, time.Now)
	ctx := context.Background()

	server.SetFaults(standin.PlatformFaults{Mode: standin.PlatformLoseAnswers})
	_, err := client.Transact(ctx, put("lost", "1", 0))
	require.Equal(t, result.StoreNoAnswer, result.CodeOf(err))
	row, err := client.Get(ctx, "lost")
	require.NoError(t, err)
	require.NotZero(t, row.Revision, "the write took effect")

	server.SetFaults(standin.PlatformFaults{Mode: standin.PlatformDown})
	_, err = client.Transact(ctx, put("down", "1", 0))
	require.Equal(t, result.StoreNoAnswer, result.CodeOf(err))
	server.SetFaults(standin.PlatformFaults{DropAfterWrites: 1})
	row, err = client.Get(ctx, "down")
	require.NoError(t, err)
	require.Zero(t, row.Revision, "the write was dropped")

	_, err = client.Transact(ctx, put("last", "1", 0))
	require.NoError(t, err)
	_, err = client.Get(ctx, "last")
	require.Equal(t, result.StoreUnavailable, result.CodeOf(err))
}

// Guards against an instance list that shows changes before its lag has passed.
func TestPlatformListLags(t *testing.T) {
	now := time.Unix(1000, 0)
	server, client := start(t, func() time.Time { return now })
	instance := platform.Instance{ID: "u", Role: platform.RoleUpstream, Service: "s",
		Region: "r", Domain: "d", Address: "127.0.0.1:1", State: cluster.Serving, Slots: 4}
	server.SetFaults(standin.PlatformFaults{ListLagMS: 2000})
	server.PutInstance(instance)
	list, err := client.Instances(context.Background())
	require.NoError(t, err)
	require.Empty(t, list)
	now = now.Add(2 * time.Second)
	list, err = client.Instances(context.Background())
	require.NoError(t, err)
	require.Equal(t, []platform.Instance{instance}, list)
}

// Guards against control calls that differ from docs/protocols.md.
func TestPlatformControlCalls(t *testing.T) {
	server, _ := start(t, time.Now)
	call := func(method, path, body string) (int, string) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(method)
		req.SetRequestURI("http://" + server.Address() + path)
		req.SetBodyString(body)
		require.NoError(t, fasthttp.DoTimeout(req, resp, 2*time.Second))
		return resp.StatusCode(), string(resp.Body())
	}
	status, _ := call("PUT", "/instances/u", `{"role":"upstream","service":"s","region":"r","domain":"d","address":"127.0.0.1:1","state":"serving","slots":4}`)
	require.Equal(t, 200, status)
	_, body := call("GET", "/instances", "")
	require.JSONEq(t, `{"instances":[{"id":"u","role":"upstream","service":"s","region":"r","domain":"d","address":"127.0.0.1:1","state":"serving","slots":4}]}`, body)
	status, _ = call("DELETE", "/instances/u", "")
	require.Equal(t, 200, status)
	_, body = call("GET", "/instances", "")
	require.JSONEq(t, `{"instances":[]}`, body)
	_, body = call("GET", "/table/rows?key=K", "")
	require.JSONEq(t, `{"key":"K","value":null,"revision":0}`, body)
	status, body = call("POST", "/table/transactions", `{"conditions":[{"key":"K","revision":3}],"writes":[{"key":"K","value":"dg=="}]}`)
	require.Equal(t, 409, status)
	require.JSONEq(t, `{"key":"K","revision":0}`, body)
	status, body = call("POST", "/table/transactions", `{"writes":[{"key":"K","value":"dg=="}]}`)
	require.Equal(t, 200, status)
	require.JSONEq(t, `{"revision":1}`, body)
	status, _ = call("POST", "/faults", `{"mode":"down"}`)
	require.Equal(t, 200, status)
	_, body = call("GET", "/stats", "")
	require.JSONEq(t, `{"reads":3,"writes":2,"dropped":0}`, body)
}

// Guards against a stop that waits for clients with open connections.
func TestPlatformCloseIsPrompt(t *testing.T) {
	server := standin.NewPlatform(time.Now)
	require.NoError(t, server.Start("127.0.0.1:0"))
	conn, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET /stats HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err)
	closed := make(chan struct{})
	go func() { server.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("Close waits for an idle connection")
	}
}
