package peer

import "github.com/rcrowley/go-metrics"

// typeNames names the message types in metrics.
var typeNames = map[MessageType]string{
	Ping: "ping", PushSnapshot: "push_snapshot", Forward: "forward",
	SyncMembers: "sync_members", PushVersion: "push_version",
	FetchVersion: "fetch_version", Explain: "explain", Submit: "submit",
	Control: "control", DumpState: "dump_state", FetchInstances: "fetch_instances",
}

// typeCounters counts the messages of one type in one role.
type typeCounters struct {
	calls, sent, received metrics.Counter
}

// counters holds the counters of a client or a server.
type counters struct {
	byType                     map[MessageType]typeCounters
	other                      typeCounters
	opened, replaced, failures metrics.Counter
}

// newCounters registers counters under peer.<role>; a nil registry keeps them
// unregistered.
func newCounters(registry metrics.Registry, role string) *counters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	get := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("peer."+role+"."+name, registry)
	}
	group := func(name string) typeCounters {
		return typeCounters{
			calls:    get(name + ".messages"),
			sent:     get(name + ".bytes_sent"),
			received: get(name + ".bytes_received"),
		}
	}
	c := &counters{
		byType:   make(map[MessageType]typeCounters, len(typeNames)),
		other:    group("other"),
		opened:   get("connections_opened"),
		replaced: get("connections_replaced"),
		failures: get("failures"),
	}
	for typ, name := range typeNames {
		c.byType[typ] = group(name)
	}
	return c
}

// of returns the counters of a message type, those of other for an unknown one.
func (c *counters) of(typ MessageType) typeCounters {
	if counters, ok := c.byType[typ]; ok {
		return counters
	}
	return c.other
}
