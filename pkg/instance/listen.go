package instance

import (
	"net"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// listeners holds the open sockets of an instance. Those without an address in
// the settings are nil.
type listeners struct {
	callers   net.Listener
	readiness net.Listener
	lookup    net.Listener
	admin     net.Listener
	metrics   net.Listener
	snapshots net.Listener
	datagrams net.PacketConn
}

// listen opens the sockets named in the settings.
func (i *Instance) listen() (*listeners, error) {
	l := &listeners{}
	s := i.settings
	var err error
	if l.datagrams, err = net.ListenPacket("udp4", s.MeshAddress); err != nil {
		return nil, result.New(result.SettingsInvalid, "listen on the mesh address: %v", err)
	}
	for _, socket := range []struct {
		address string
		target  *net.Listener
	}{{s.CallerAddress, &l.callers}, {s.ReadinessAddress, &l.readiness}, {s.LookupAddress, &l.lookup}, {s.AdminAddress, &l.admin}, {s.MetricsAddress, &l.metrics}, {s.MeshAddress, &l.snapshots}} {
		if socket.address == "" {
			continue
		}
		if *socket.target, err = net.Listen("tcp4", socket.address); err != nil {
			event.Log(i.logger, event.ListenerFailed, "address", socket.address, "error", err.Error())
			return nil, result.New(result.SettingsInvalid, "listen on %s: %v", socket.address, err)
		}
	}
	return l, nil
}
