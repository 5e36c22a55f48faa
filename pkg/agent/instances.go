package agent

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	listInterval = 2 * time.Second
	// listReadsPerSecond bounds the reads of all agents together.
	listReadsPerSecond = 100
	// firstReadTimeout and askTimeout leave time for a slow platform and two
	// peers before the first snapshot.
	firstReadTimeout = 900 * time.Millisecond
	askTimeout       = 500 * time.Millisecond
)

// instances keeps the last answer of the platform's instance list.
type instances struct {
	lister platform.Lister
	domain string
	// live returns the number of live agents, which share the rate of reads.
	live func() int
	// changed is called with each answer.
	changed func([]platform.Instance)
	caller  peer.Caller
	// peers returns the agent addresses to ask while the platform is out.
	peers func() []string

	mu        sync.Mutex
	known     bool
	list      []platform.Instance
	upstreams []cluster.UpstreamRecord
}

// InstanceList answers peer.FetchInstances.
type InstanceList struct {
	// Known tells whether the sender has ever read the list.
	Known     bool                `cbor:"k"`
	Instances []platform.Instance `cbor:"i"`
}

// run reads the list until ctx ends; while the platform is out, the last
// answer stays.
func (i *instances) run(ctx context.Context) {
	for {
		_ = i.read(ctx)
		delay := max(listInterval, time.Duration(i.live())*time.Second/listReadsPerSecond)
		if platform.Sleep(ctx, jittered(delay)) != nil {
			return
		}
	}
}

// read takes the platform's list or, if that is out and no list is known yet,
// the list of a peer: an instance that starts during an outage needs the
// upstreams of its pools.
func (i *instances) read(ctx context.Context) error {
	known := i.isKnown()
	list, err := i.fromPlatform(ctx, known)
	if err != nil && !known {
		list, err = i.ask(ctx)
	}
	if err != nil {
		return err
	}
	i.set(list)
	return nil
}

func (i *instances) fromPlatform(ctx context.Context, known bool) ([]platform.Instance, error) {
	if !known {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, firstReadTimeout)
		defer cancel()
	}
	return i.lister.Instances(ctx)
}

func (i *instances) isKnown() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.known
}

// ask returns the list of the first peer that has one.
func (i *instances) ask(ctx context.Context) ([]platform.Instance, error) {
	for _, addr := range i.peers() {
		var reply InstanceList
		call, cancel := context.WithTimeout(ctx, askTimeout)
		err := i.caller.Call(call, addr, peer.FetchInstances, nil, &reply)
		cancel()
		if err == nil && reply.Known {
			return reply.Instances, nil
		}
	}
	return nil, result.New(result.StoreUnavailable, "neither the platform nor a peer has an instance list")
}

// handle answers peer.FetchInstances.
func (i *instances) handle(context.Context, []byte) (any, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return InstanceList{Known: i.known, Instances: i.list}, nil
}

func (i *instances) set(list []platform.Instance) {
	// A list without upstreams is not the same as no list.
	upstreams := []cluster.UpstreamRecord{}
	for _, in := range list {
		if in.Role == platform.RoleUpstream && in.Domain == i.domain {
			upstreams = append(upstreams, upstreamRecord(in))
		}
	}
	i.mu.Lock()
	i.known, i.list, i.upstreams = true, list, upstreams
	i.mu.Unlock()
	i.changed(list)
}

func upstreamRecord(in platform.Instance) cluster.UpstreamRecord {
	return cluster.UpstreamRecord{
		ID:      in.ID,
		Service: in.Service,
		Region:  in.Region,
		Domain:  in.Domain,
		Address: in.Address,
		State:   in.State,
		Slots:   in.Slots,
	}
}

// domainUpstreams returns the upstreams of the own failure domain, nil if no
// list is known; the slice is shared and must not be changed.
func (i *instances) domainUpstreams() []cluster.UpstreamRecord {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.upstreams
}

// find returns a listed instance by id.
func (i *instances) find(id string) (platform.Instance, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, in := range i.list {
		if in.ID == id {
			return in, true
		}
	}
	return platform.Instance{}, false
}
