package agent

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
)

const (
	listInterval = 2 * time.Second
	// listReadsPerSecond bounds the reads of all agents together.
	listReadsPerSecond = 100
)

// instances keeps the last answer of the platform's instance list.
type instances struct {
	lister platform.Lister
	domain string
	// live returns the number of live agents, which share the rate of reads.
	live func() int
	// changed is called with each answer.
	changed func([]platform.Instance)

	mu        sync.Mutex
	list      []platform.Instance
	upstreams []cluster.UpstreamRecord
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

func (i *instances) read(ctx context.Context) error {
	list, err := i.lister.Instances(ctx)
	if err != nil {
		return err
	}
	var upstreams []cluster.UpstreamRecord
	for _, in := range list {
		if in.Role == platform.RoleUpstream && in.Domain == i.domain {
			upstreams = append(upstreams, upstreamRecord(in))
		}
	}
	i.mu.Lock()
	i.list, i.upstreams = list, upstreams
	i.mu.Unlock()
	i.changed(list)
	return nil
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

// domainUpstreams returns the upstreams of the own failure domain; the slice is
// shared and must not be changed.
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
