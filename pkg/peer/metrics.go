package peer

import (
	"fmt"

	"github.com/rcrowley/go-metrics"
)

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
	byType                  map[MessageType]typeCounters
	other                   typeCounters
	opened, replaced, fails metrics.Counter
}

// newCounters registers counters under peer.<role>; a nil registry keeps them
// unregistered.
func newCounters(registry metrics.Registry, role string) *counters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	get := func(format string, args ...any) metrics.Counter {
		name := fmt.Sprintf("peer.%s.", role) + fmt.Sprintf(format, args...)
		return metrics.GetOrRegisterCounter(name, registry)
	}
	group := func(name string) typeCounters {
		return typeCounters{
			calls:    get("%s.messages", name),
			sent:     get("%s.bytes_sent", name),
			received: get("%s.bytes_received", name),
		}
	}
	c := &counters{
		byType:   make(map[MessageType]typeCounters, len(typeNames)),
		other:    group("other"),
		opened:   get("connections_opened"),
		replaced: get("connections_replaced"),
		fails:    get("failures"),
	}
	for typ, name := range typeNames {
		c.byType[typ] = group(name)
	}
	return c
}

func (c *counters) of(typ MessageType) typeCounters {
	if counters, ok := c.byType[typ]; ok {
		return counters
	}
	return c.other
}
