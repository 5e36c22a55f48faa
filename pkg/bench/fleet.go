package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/admission"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
	"github.com/sequoiacove/sequoiacove/pkg/upstream"
)

const service = "bench"

// Arrangements of owners in a domain.
const (
	// oneOwner is one owner of the whole pool.
	oneOwner = iota
	// splitOwners are two owners that each own half of the upstreams.
	splitOwners
	// twoSenders both use all upstreams without knowledge of each other.
	twoSenders
)

// variant is what a run compares: a policy and an arrangement of owners.
type variant struct {
	name   string
	policy string
	owners int
}

func policies() []variant {
	var all []variant
	for _, p := range settings.Policies {
		all = append(all, variant{name: p, policy: p})
	}
	return all
}

// fleet is the upstreams and owners of all domains of one run.
type fleet struct {
	size    Size
	domains []*domain
}

type domain struct {
	name      string
	client    *upstream.Client
	upstreams []*standin.Upstream
	records   []cluster.UpstreamRecord
	owners    []owner
	mu        sync.Mutex
	random    *rand.Rand
}

// owner is a set with the part of the domain's requests that it gets.
type owner struct {
	set  *admission.Set
	from int
	to   int
}

func newFleet(size Size, v variant, seed uint64) (*fleet, error) {
	f := &fleet{size: size}
	for d := range size.Domains {
		dom := &domain{
			name:   fmt.Sprintf("domain-%d", d),
			client: upstream.NewClient(upstream.Config{}),
			random: rand.New(rand.NewPCG(seed, uint64(d))),
		}
		f.domains = append(f.domains, dom)
		for range size.Upstreams / size.Domains {
			if err := dom.add(size, 0, seed); err != nil {
				return f, err
			}
		}
		dom.own(v, seed)
	}
	return f, nil
}

// add starts one more upstream; cold is its number of slow first executions.
func (d *domain) add(size Size, cold int, seed uint64) error {
	id := fmt.Sprintf("%s-%d", d.name, len(d.upstreams))
	u, err := standin.StartUpstream(standin.UpstreamConfig{
		ID: id, Service: service, Slots: size.Slots, ServiceTime: meanWork, Cold: cold, Seed: seed})
	if err != nil {
		return err
	}
	d.upstreams = append(d.upstreams, u)
	d.records = append(d.records, cluster.UpstreamRecord{
		ID: id, Service: service, Domain: d.name, Address: u.Address(), State: cluster.Serving, Slots: size.Slots})
	return nil
}

func (d *domain) own(v variant, seed uint64) {
	all := len(d.records)
	switch v.owners {
	case splitOwners:
		half := (all + 1) / 2
		d.owners = []owner{{from: 0, to: half}, {from: half, to: all}}
	case twoSenders:
		d.owners = []owner{{from: 0, to: all}, {from: 0, to: all}}
	default:
		d.owners = []owner{{from: 0, to: all}}
	}
	for i := range d.owners {
		d.owners[i].set = admission.New(admission.Config{
			Domain: d.name, Settings: admissionSettings(v.policy), Exchange: d.client, Seed: seed + uint64(i)})
	}
	d.update()
}

// update gives the owners the current records.
func (d *domain) update() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.owners {
		o := &d.owners[i]
		if len(d.owners) == 1 {
			o.to = len(d.records)
		}
		o.set.Update([]admission.PoolConfig{{Service: service, Upstreams: d.records[o.from:o.to]}})
	}
}

func admissionSettings(policy string) settings.Admission {
	return settings.Admission{
		Policy: policy, QueueLength: 1024, ExtraExecutions: 0.05,
		HedgeQuantile: 0.97, LongRouteSlots: 0.75, MaxEjected: 0.33,
	}
}

// do sends a request to one of the owners, weighted by their upstreams.
func (d *domain) do(ctx context.Context, req *request.Request) (*request.Response, error) {
	return d.pick().Do(ctx, req)
}

func (d *domain) pick() *admission.Set {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, o := range d.owners {
		total += o.to - o.from
	}
	ticket := d.random.IntN(total)
	for _, o := range d.owners {
		if ticket -= o.to - o.from; ticket < 0 {
			return o.set
		}
	}
	return d.owners[0].set
}

// settle waits until no slot is occupied, so that the logs are complete.
func (f *fleet) settle(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end) && f.busy(); {
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) busy() bool {
	for _, d := range f.domains {
		for _, o := range d.owners {
			for _, r := range o.set.Reports() {
				if r.InUse > 0 {
					return true
				}
			}
		}
	}
	return false
}

func (f *fleet) close() {
	for _, d := range f.domains {
		for _, o := range d.owners {
			o.set.Close()
		}
		d.client.Close()
		for _, u := range d.upstreams {
			u.Close()
		}
	}
}
