package platform

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against an answer of the platform that crashes the client, exceeds
// its limits or is taken for another one than was asked for.
func FuzzAnswers(f *testing.F) {
	f.Add(200, []byte(`{"key":"k","value":"dg==","revision":3}`))
	f.Add(200, []byte(`{"rows":[{"key":"k1","value":"dg==","revision":3},{"key":"k2","revision":4}]}`))
	f.Add(200, []byte(`{"rows":[{"key":"k2","revision":3},{"key":"k1","revision":4}]}`))
	f.Add(409, []byte(`{"key":"k","revision":5}`))
	f.Add(200, []byte(`{"instances":[{"id":"u","role":"upstream","service":"s","address":"127.0.0.1:1","state":"serving","slots":4},null]}`))
	f.Add(404, []byte(`null`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		client := NewClient(ClientConfig{ReadsPerSecond: 1e6, WritesPerSecond: 1e6, Random: rand.New(rand.NewPCG(1, 1)).Float64})
		transport := func(bool, time.Duration, func(*fasthttp.Request)) (answer, error) {
			return answer{status: status, body: body}, nil
		}
		client.table.transport, client.objects.transport, client.list.transport = transport, transport, transport
		ctx := context.Background()
		if row, err := client.Get(ctx, "k"); err == nil {
			require.Equal(t, "k", row.Key)
		}
		if rows, err := client.List(ctx, "k", "k0", 2); err == nil {
			require.LessOrEqual(t, len(rows), 2)
			for _, row := range rows {
				require.Greater(t, row.Key, "k0")
				require.NotZero(t, row.Revision)
			}
		}
		revision, err := client.Transact(ctx, oneWrite)
		require.Equal(t, err == nil, revision > 0)
		if status != 409 && status != 503 && err != nil {
			require.Equal(t, result.Unknown, result.OutcomeOf(err), "status %d leaves the outcome unknown", status)
		}
		if got, err := client.Objects().Get(ctx, hashOfB); err == nil {
			require.Equal(t, "b", string(got))
		}
		instances, _ := client.Instances(ctx)
		for _, instance := range instances {
			require.True(t, instance.valid())
		}
	})
}

// Guards against keys and values that exceed the limits of the table.
func TestLimitsBeforeSending(t *testing.T) {
	client := testClient("127.0.0.1:1", frozen)
	ctx := context.Background()
	long := string(make([]byte, MaxKeyBytes+1))
	_, err := client.Get(ctx, long)
	require.Equal(t, result.BadRequest, result.CodeOf(err))
	for _, tx := range []Transaction{
		{},
		{Writes: []Write{{Key: long}}},
		{Writes: []Write{{Key: "k", Value: make([]byte, MaxValueBytes+1)}}},
		{Writes: make([]Write, maxConditions+1)},
		{Writes: []Write{{Key: "k"}}, Conditions: []Condition{{Key: ""}}},
	} {
		_, err = client.Transact(ctx, tx)
		require.Equal(t, result.BadRequest, result.CodeOf(err))
	}
}
