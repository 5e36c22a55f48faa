package entry

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// ownerOf returns the owner of a domain's pool as entry id sees it, and the
// other instance of the domain.
func (w *world) ownerOf(id, domain string) (owner, other string) {
	ranked := w.entries[id].view.Load().ranked("calls", domain)
	require.Len(w.t, ranked, 2)
	return ranked[0].ID, ranked[1].ID
}

func (w *world) kill(id string) {
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	delete(w.net.entries, "peer-"+id)
}

func (w *world) executions() int {
	n := 0
	for _, adm := range w.adm {
		n += adm.count()
	}
	return n
}

func post(req *request.Request) { req.Method, req.Idempotent = "POST", false }

// Guards against refusals for the 3 s until membership marks a dead owner: the
// next instance in rank takes the pool over at the first failed call.
func TestDeadOwnerIsPassedOver(t *testing.T) {
	for _, from := range []string{"a1", "b1", "s1", "s2"} {
		w := newWorld(t, twoRegions)
		owner, other := w.ownerOf("a1", "south-a")
		if from == owner {
			continue
		}
		w.kill(owner)
		for range 40 {
			resp, err := w.do(from, post)
			require.NoError(t, err, "from %s", from)
			require.NotEmpty(t, resp.Domain)
		}
		require.Equal(t, 20, w.adm[other].count(), "from %s", from)
	}
}

// Guards against a second execution of a request that is not idempotent, and
// against a failed idempotent one, when the owner runs it and its answer is
// lost.
func TestLostAnswer(t *testing.T) {
	w := newWorld(t, twoRegions)
	owner, _ := w.ownerOf("a1", "south-a")
	w.net.setLose(func(addr string) bool { return addr == "peer-"+owner })
	unknown := 0
	for range 16 {
		before, onOwner := w.executions(), w.adm[owner].count()
		_, err := w.do("a1", post)
		require.Equal(t, 1, w.executions()-before, "executions of one request")
		if w.adm[owner].count() > onOwner {
			require.Equal(t, result.PeerNoAnswer, result.CodeOf(err))
			unknown++
		} else {
			require.NoError(t, err)
		}
	}
	require.Equal(t, 8, unknown)
	onOwner := w.adm[owner].count()
	for range 4 {
		_, err := w.do("a1", nil)
		require.NoError(t, err)
	}
	require.Greater(t, w.adm[owner].count(), onOwner)
}

// Guards against an owner that gives its pool up because one sender got no
// answer from it, and against a next instance that passes a request on to an
// owner that does not answer.
func TestNextInstanceTakesOverAfterNoAnswer(t *testing.T) {
	w := newWorld(t, twoRegions)
	owner, other := w.ownerOf("a1", "south-a")
	for _, id := range []string{owner, other} {
		reply, err := w.entries[id].HandleForward(context.Background(), forwardBody(t, "south-a", owner))
		require.NoError(t, err)
		require.Equal(t, result.OK, reply.Code)
		require.Equal(t, 1, w.adm[id].count())
	}
	w.advance(avoidTime)
	w.push()
	require.False(t, w.adm[other].owned["calls"], "the pool returns to its owner")
}

// Guards against requests that wait for one connection attempt after another to
// a domain that is cut off, before membership marks it.
func TestCutOffDomainIsNotDialledByEachRequest(t *testing.T) {
	w := newWorld(t, twoRegions)
	dials := 0
	w.net.setFail(func(addr string, _ peer.MessageType) error {
		if addr == "peer-s1" || addr == "peer-s2" {
			dials++
			return result.New(result.PeerUnreachable, "%s", addr)
		}
		return nil
	})
	for range 100 {
		if _, err := w.do("a1", post); err != nil {
			require.Equal(t, result.PeerUnreachable, result.CodeOf(err))
		}
	}
	require.Equal(t, 2, dials, "each instance once")
	w.advance(skipTime)
	for range 100 {
		_, _ = w.do("a1", post)
	}
	require.Equal(t, 4, dials, "each instance once more after the skip time")
}

// Guards against "not run" for a request whose first attempt may have run, when
// the attempts after it certainly did not.
func TestLostAnswerThenUnreachable(t *testing.T) {
	w := newWorld(t, map[string]string{"a1": "north-a", "s1": "south-a", "s2": "south-a"})
	owner, _ := w.ownerOf("a1", "south-a")
	w.net.setLose(func(string) bool { return true })
	sent := false
	w.net.setFail(func(addr string, _ peer.MessageType) error {
		if sent {
			return result.New(result.PeerUnreachable, "%s", addr)
		}
		sent = addr == "peer-"+owner
		return nil
	})
	w.adm["a1"].set(queueFull)
	for !sent {
		_, err := w.do("a1", nil)
		require.Equal(t, sent, result.OutcomeOf(err) == result.Unknown, "%v", err)
	}
	require.Equal(t, 1, w.adm[owner].count())
}

// Guards against an answer to another request reaching the caller.
func TestAnswerToAnotherRequest(t *testing.T) {
	w := newWorld(t, map[string]string{"a1": "north-a", "b1": "north-b", "s1": "south-a"})
	e := w.entries["a1"]
	e.opt.Peers = callerFunc(func(_ any, reply any) error {
		*reply.(*request.Reply) = request.Reply{Trace: "other", Code: result.OK, Response: &request.Response{Status: 200}}
		return nil
	})
	for range 4 {
		resp, err := w.do("a1", post)
		if err == nil {
			require.Equal(t, "u-north-a", resp.Upstream)
			continue
		}
		require.Equal(t, result.PeerProtocol, result.CodeOf(err))
	}
}

type callerFunc func(msg, reply any) error

func (f callerFunc) Call(_ context.Context, _ string, _ peer.MessageType, msg, reply any) error {
	return f(msg, reply)
}

// Guards against requests that fail because the sender does not know a new
// owner yet, and against forwards that loop.
func TestSenderWithOldView(t *testing.T) {
	w := newWorld(t, twoRegions)
	owner, other := w.ownerOf("a1", "south-a")
	for id := range w.entries {
		if id == owner || id == other {
			members := w.members()
			for i := range members {
				if members[i].ID == owner {
					members[i].State = cluster.Leaving
				}
			}
			w.pushTo(id, members)
		}
	}
	w.entries[owner].Leave()
	w.advance(spreadTime)
	for range 8 {
		_, err := w.do("a1", post)
		require.NoError(t, err)
	}
	require.Zero(t, w.adm[owner].count())
	require.Equal(t, 4, w.adm[other].count())

	// Two instances that each take the other for the owner.
	for _, id := range []string{owner, other} {
		e := w.entries[id]
		v := *e.view.Load()
		v.caches = &caches{}
		others := []cluster.Member{v.byID[owner]}
		if id == owner {
			others = []cluster.Member{v.byID[other]}
		}
		v.caches.ranks.Store(cluster.PoolKey("calls", "south-a"), others)
		e.view.Store(&v)
	}
	before := w.net.calls
	_, err := w.entries[owner].HandleForward(context.Background(), forwardBody(t, "south-a", ""))
	require.NoError(t, err)
	require.LessOrEqual(t, w.net.calls-before, maxHops+1)
}

// forwardBody returns an encoded message to a domain; failed is the instance
// that gave the sender no answer, or empty.
func forwardBody(t testing.TB, domain, failed string) []byte {
	body, err := cbor.Marshal(&peer.ForwardRequest{
		Request: request.Request{Service: "calls", Method: "GET", Path: "/x", Trace: "t"},
		Domain:  domain, Region: "north", RemainingMS: 500, Failed: failed,
	})
	require.NoError(t, err)
	return body
}

// Guards against a full domain that fails requests although another one has
// credit, and against retries beyond the shares.
func TestFullDomain(t *testing.T) {
	w := newWorld(t, twoRegions)
	for _, id := range []string{"s1", "s2"} {
		w.adm[id].set(queueFull)
	}
	failed := 0
	for range 400 {
		if _, err := w.do("a1", post); err != nil {
			require.Equal(t, result.QueueFull, result.CodeOf(err))
			failed++
		}
	}
	// The other region may take its half of 400 and about two more.
	require.InDelta(t, 200, failed, 4)
	require.LessOrEqual(t, w.adm["a1"].count()+w.adm["a2"].count()+w.adm["b1"].count(), 204)
}

// Guards against traffic to a domain that is cut off and against one that is
// refused although the share has moved.
func TestDomainCutOff(t *testing.T) {
	w := newWorld(t, twoRegions)
	var rest []cluster.Member
	for _, m := range w.members() {
		if m.Domain != "south-a" {
			rest = append(rest, m)
		}
	}
	w.pushTo("a1", rest)
	_, err := w.do("a1", nil)
	refused := 0
	for range 270 {
		w.advance(tickInterval)
		w.pushTo("a1", rest)
		if _, err = w.do("a1", nil); err != nil {
			require.Equal(t, result.ShareExhausted, result.CodeOf(err))
			refused++
		}
	}
	require.NoError(t, err)
	require.InDelta(t, 62, refused, 4, "the share of 0.5 moves in 25 s")
}
