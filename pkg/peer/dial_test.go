package peer_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/faultproxy"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/peer/peertest"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against connections that leave from another address than the
// instance's own, which would make a partition between instances incomplete.
func TestConnectionsLeaveFromTheOwnAddress(t *testing.T) {
	authority, err := peertest.NewAuthority(time.Hour)
	require.NoError(t, err)
	serverTLS, clientTLS, err := authority.TLS("test")
	require.NoError(t, err)
	server, err := peer.NewServer(peer.ServerConfig{Address: "127.0.0.1:0", TLS: serverTLS})
	require.NoError(t, err)
	server.Handle(testType, echo)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go server.Serve(ctx)
	relay, err := faultproxy.NewUDP(server.Addr(), 1)
	require.NoError(t, err)
	defer relay.Close()
	relay.Set(faultproxy.Faults{Cut: true, From: []netip.Addr{netip.MustParseAddr("127.0.5.1")}})

	call := func(local string) error {
		client := peer.NewClient(peer.ClientConfig{TLS: clientTLS, LocalAddress: local})
		defer client.Close()
		var reply string
		return client.Call(ctx, relay.Addr(), testType, "x", &reply)
	}
	require.NoError(t, call("127.0.6.1:1234"))
	require.Equal(t, result.PeerUnreachable, result.CodeOf(call("127.0.5.1:1234")))
}
