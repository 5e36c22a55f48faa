package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/entry"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// entryTimeout bounds a question to an entry.
const entryTimeout = 2 * time.Second

// backend answers the operator API for an agent.
type backend struct{ *Agent }

// Current implements operatorapi.Backend.
func (b backend) Current() cluster.Version { return b.sync.Current() }

// Adopt implements operatorapi.Backend.
func (b backend) Adopt(v cluster.Version) {
	b.sync.Offer(v)
	if v.Number >= b.sync.Current().Number {
		b.distribute(v)
	}
}

// Members implements operatorapi.Backend.
func (b backend) Members() []cluster.Member { return b.members.Members() }

// Explain implements operatorapi.Backend.
func (b backend) Explain(ctx context.Context, service, method, path string) (any, error) {
	question := entry.ExplainRequest{Service: service, Method: method, Path: path}
	var answer entry.Explanation
	if err := b.askEntry(ctx, b.settings.Entry.PeerAddress, peer.Explain, question, &answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// Request implements operatorapi.Backend.
func (b backend) Request(id string) (any, error) {
	return nil, result.New(result.NotFound, "request %.128q: an entry keeps requests in its log only", id)
}

// State implements operatorapi.Backend.
func (b backend) State(ctx context.Context) (operator.State, error) {
	own, err := json.Marshal(b.state())
	if err != nil {
		return operator.State{}, result.New(result.Internal, "encoding the agent's state: %v", err)
	}
	reply := operator.State{Agent: own}
	var dump []byte
	if err := b.askEntry(ctx, b.settings.Entry.PeerAddress, peer.DumpState, nil, &dump); err != nil {
		reply.EntryError = err.Error()
		return reply, nil
	}
	reply.Entry = dump
	return reply, nil
}

// description returns the description in force and its version.
func (a *Agent) description() (*description.Description, cluster.Version, error) {
	version := a.sync.Current()
	if version.Number == 0 {
		return nil, version, result.New(result.NoConfiguration, "no version has arrived")
	}
	d, err := description.Parse(version.Body)
	return d, version, err
}

// askEntry sends a message to an entry and waits at most entryTimeout.
func (a *Agent) askEntry(ctx context.Context, addr string, typ peer.MessageType, msg, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	return a.client.Call(ctx, addr, typ, msg, reply)
}
