package balance

import "time"

// deadInstanceRetention is how long a dead instance still counts towards global
// limits. It may be alive behind a network partition and still use its share of
// them.
const deadInstanceRetention = time.Minute

// InstanceRank returns the zero-based rank of this instance, in the order of ids,
// among the instances that share global limits. It also returns the number of these
// instances. Those known only by address are taken to come first, so that no two
// instances claim the same rank.
func (b *Balancer) InstanceRank() (rank, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rank = b.addressOnlyCount
	for id := range b.instances {
		if id < b.config.Instance {
			rank++
		}
	}
	return rank, b.instanceCount()
}

// MembershipSettled reports whether this instance has listed the registered instances or
// has run for long enough to have heard of others.
func (b *Balancer) MembershipSettled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instancesListed || b.config.Now().Sub(b.startedAt) >= membershipSettleTime
}

// SetInstancesListed states that the registered instances have been listed, so that all
// others are known at least by address.
func (b *Balancer) SetInstancesListed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instancesListed = true
}

// knownInstance is an instance that counts towards global limits.
type knownInstance struct {
	Instance
	live bool
	// deadSince is the time at which the instance was found dead.
	deadSince time.Time
}

// SetInstances sets the live instances and the number of instances known only by
// address. This instance always counts as live.
func (b *Balancer) SetInstances(list []Instance, addressOnlyCount int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addressOnlyCount = addressOnlyCount
	now := b.config.Now()
	live := map[string]bool{b.config.Instance: true}
	for _, i := range list {
		live[i.ID] = true
		if known := b.instances[i.ID]; known == nil || known.Region != i.Region {
			b.instancesVersion++
		}
		b.instances[i.ID] = &knownInstance{Instance: i, live: true}
	}
	for id, i := range b.instances {
		if i.live && !live[id] {
			i.live, i.deadSince = false, now
		}
	}
	b.expireInstances(now)
}

// expireInstances removes instances that left cleanly and those that have been dead
// for more than deadInstanceRetention; b.mu must be held.
func (b *Balancer) expireInstances(now time.Time) {
	for id, i := range b.instances {
		if !i.live && (i.Leaving || now.Sub(i.deadSince) > deadInstanceRetention) {
			delete(b.instances, id)
			b.instancesVersion++
		}
	}
}

// instanceCount returns the number of instances among which global limits are
// divided.
func (b *Balancer) instanceCount() int { return len(b.instances) + b.addressOnlyCount }
