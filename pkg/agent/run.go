package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/admin"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/entry"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

const (
	// stopMargin is added to the entry's own bound for a graceful stop.
	stopMargin = 10 * time.Second
	// stopCheck is the interval in which a leaving agent looks for its entry.
	stopCheck = 100 * time.Millisecond
	// orderTimeout bounds the order to the entry to leave.
	orderTimeout = time.Second
	closeTimeout = 2 * time.Second
	// prepareTimeout bounds the time to the first snapshot.
	prepareTimeout = 2 * time.Second
)

// holderName is different after each restart, so that the lease tells a process
// from the one before it.
func holderName(id string, incarnation uint64) string { return fmt.Sprintf("%s.%d", id, incarnation) }

// Run serves until ctx ends; then the instance leaves, and Run returns when the
// entry has gone or its bound for a graceful stop has passed.
func (a *Agent) Run(ctx context.Context) error {
	event.Log(a.logger, event.ProcessStarted, "incarnation", a.members.Self().Incarnation)
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = a.server.Serve(context.Background()) })
	tasks.Go(func() { a.members.Run(work) })
	tasks.Go(func() { a.instances.run(work) })
	tasks.Go(func() { a.sync.Run(work) })
	tasks.Go(func() { runWhile(work, contendInterval, a.contends, a.lease.Run) })
	tasks.Go(func() { a.checkpoints.runReads(work) })
	tasks.Go(func() { a.checkpoints.runWrites(work) })
	tasks.Go(func() {
		a.prepare(work)
		a.link.run(work)
	})
	tasks.Go(func() {
		err := admin.ServeListener(work, a.adminListener, a.state, a.registry)
		a.logListener(a.settings.Agent.AdminAddress, err)
	})
	tasks.Go(func() {
		err := a.api.Serve(work, a.operatorListener)
		a.logListener(a.settings.Agent.OperatorAddress, err)
	})
	<-ctx.Done()
	a.leave()
	stop()
	a.close()
	tasks.Wait()
	event.Log(a.logger, event.ProcessStopped)
	return nil
}

// logListener logs the error with which a listener ended, if any.
func (a *Agent) logListener(address string, err error) {
	if err != nil {
		event.Log(a.logger, event.ListenerFailed, "address", address, "error", err.Error())
	}
}

// contends reports whether this agent contends for the lease of checkpoints.
func (a *Agent) contends() bool {
	return contends(checkpointLease, a.settings.ID, a.settings.Domain, a.members.Members())
}

// prepare learns the members, the version and the instance list before the
// first snapshot: an entry that gets a snapshot without its upstreams would own
// pools that it cannot serve. The bound is below the 3 s after which an entry
// detaches from an agent that restarts.
func (a *Agent) prepare(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { a.resync(ctx) })
	group.Go(func() { _ = a.instances.read(ctx) })
	group.Wait()
}

// leave takes the instance out of use: the member leaves, the entry is ordered
// to drain, and the agent keeps serving it until it has gone.
func (a *Agent) leave() {
	event.Log(a.logger, event.ProcessStopping)
	a.link.stop()
	a.members.Leave()
	if a.link.entryIncarnation() == 0 {
		return
	}
	a.orderLeave()
	end := time.Now().Add(a.settings.Entry.DrainGrace + stopMargin)
	for a.link.entryIncarnation() != 0 && time.Now().Before(end) {
		time.Sleep(stopCheck)
	}
}

// orderLeave tells the entry to drain; one that already does ignores it.
func (a *Agent) orderLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	order := entry.ControlRequest{Action: entry.ControlLeave}
	_ = a.client.Call(ctx, a.settings.Entry.PeerAddress, peer.Control, order, nil)
}

func (a *Agent) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	a.sync.Close()
	a.background.Wait()
	_ = a.server.Close(ctx)
	a.client.Close()
}

// state is the dump of the agent for operators.
func (a *Agent) state() any {
	version := a.sync.Current()
	return struct {
		Instance    string           `json:"instance"`
		Version     uint64           `json:"version"`
		Hash        string           `json:"hash"`
		EntryAlive  bool             `json:"entry_alive"`
		StoreDown   bool             `json:"store_down"`
		LeaseHeld   bool             `json:"lease_held"`
		Checkpoint  cluster.Shares   `json:"checkpoint"`
		Members     []cluster.Member `json:"members"`
		Upstreams   int              `json:"upstreams"`
		Incarnation uint64           `json:"incarnation"`
	}{
		Instance:    a.settings.ID,
		Version:     version.Number,
		Hash:        version.Hash,
		EntryAlive:  a.link.entryIncarnation() != 0,
		StoreDown:   a.platform.Down(),
		LeaseHeld:   a.lease.Held(),
		Checkpoint:  a.checkpoints.current(),
		Members:     a.members.Members(),
		Upstreams:   len(a.instances.domainUpstreams()),
		Incarnation: a.members.Self().Incarnation,
	}
}
