package balance

import "time"

// instanceMemory is how long an instance that is heard no more still counts for
// the limits over all instances: it may be cut off and use its part.
const deadInstanceRetention = time.Minute

// InstanceRank returns the rank of the own instance among those that share the limits
// over all instances, and their number.
func (b *Balancer) InstanceRank() (rank, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.instances {
		if id < b.config.Instance {
			rank++
		}
	}
	return rank, b.instanceCount()
}

// knownInstance is an instance that counts for the limits.
type knownInstance struct {
	Instance
	live bool
	// lost is the time at which the instance was found dead.
	deadSince time.Time
}

// SetInstances installs the live instances, the own one included, and the
// number of those that are known by address only.
func (b *Balancer) SetInstances(list []Instance, addressOnly int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addressOnly = addressOnly
	now := b.config.Now()
	live := map[string]bool{b.config.Instance: true}
	for _, i := range list {
		live[i.ID] = true
		b.instances[i.ID] = &knownInstance{Instance: i, live: true}
	}
	for id, i := range b.instances {
		if i.live && !live[id] {
			i.live, i.deadSince = false, now
		}
	}
	b.expireInstances(now)
}

// expireInstances forgets the instances that have stopped on purpose and those
// that were dead for long; the caller holds the lock.
func (b *Balancer) expireInstances(now time.Time) {
	for id, i := range b.instances {
		if !i.live && (i.Leaving || now.Sub(i.deadSince) > deadInstanceRetention) {
			delete(b.instances, id)
		}
	}
}

// population is the number of instances that may use a part of a limit.
func (b *Balancer) instanceCount() int { return len(b.instances) + b.addressOnly }
