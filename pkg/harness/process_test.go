package harness

import (
	"errors"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/instance"
)

const (
	childKey = "SEQUOIA_HARNESS_CHILD"
	limit    = 10 * time.Second
)

// TestMain lets the test binary be the process that the tests start.
func TestMain(m *testing.M) {
	if os.Getenv(childKey) == "" {
		os.Exit(m.Run())
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	os.Stdout.WriteString("ready\n")
	<-stop
}

func child(t *testing.T) *Process {
	t.Setenv(childKey, "1")
	p := NewProcess("child", os.Args[0], t.TempDir())
	require.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Kill() })
	_, err := Await(limit, "child", func() error {
		if p.LogTail(6) != "ready\n" {
			return errors.New("not ready")
		}
		return nil
	})
	require.NoError(t, err)
	return p
}

// Guards against a stop that is not graceful or not noticed, and a restart that
// needs a new Process.
func TestTerminateAndRestart(t *testing.T) {
	p := child(t)
	require.Error(t, p.Start(), "a running process must not start twice")
	_, err := p.Terminate(limit)
	require.NoError(t, err)
	require.False(t, p.Running())
	require.False(t, p.unexpectedEnd())
	require.NoError(t, p.Start())
	require.True(t, p.Running())
}

// Guards against a paused process that ends, or one that cannot be killed.
func TestPausedProcessNeitherStopsNorEscapes(t *testing.T) {
	p := child(t)
	require.NoError(t, p.Pause())
	_, err := p.Terminate(200 * time.Millisecond)
	require.Error(t, err, "a paused process cannot stop")
	require.NoError(t, p.Resume())
	_, err = p.Wait(limit)
	require.NoError(t, err)
	require.NoError(t, p.Start())
	require.NoError(t, p.Pause())
	require.NoError(t, p.Kill())
	require.False(t, p.Running())
}

// Guards against a crash that a test overlooks.
func TestUnexpectedEndIsNoticed(t *testing.T) {
	p := child(t)
	require.NoError(t, syscall.Kill(p.command.Process.Pid, syscall.SIGKILL))
	_, err := p.Wait(limit)
	require.NoError(t, err)
	require.True(t, p.unexpectedEnd())
}

// Guards against ports that are handed out twice.
func TestPortsAreDistinct(t *testing.T) {
	p, seen := newPorts(), make(map[string]bool)
	for range 50 {
		addr, err := p.free("127.0.3.1")
		require.NoError(t, err)
		require.False(t, seen[addr])
		seen[addr] = true
	}
}

// Guards against settings files that the instances refuse, and against relays
// that the instances do not name to each other.
func TestSettingsFilesAreValid(t *testing.T) {
	c := &Cluster{Dir: t.TempDir(), ports: newPorts(), relays: newRelays(), network: network(), Store: &Store{Address: "127.0.0.1:9"}}
	defer c.relays.close()
	c.Spec = Spec{Relays: true, GracePeriod: 3 * time.Second, Domains: []Domain{{"north", "north-a", 2}, {"south", "south-a", 1}}}
	require.NoError(t, c.makeInstances())
	for _, i := range c.Instances {
		text, err := os.ReadFile(i.SettingsFile)
		require.NoError(t, err)
		s, err := instance.ParseSettings(text)
		require.NoError(t, err)
		require.Equal(t, i.MeshAdvertised, s.MeshAdvertised)
		require.NotEqual(t, s.MeshAddress, s.MeshAdvertised)
		require.Len(t, s.Seeds, 2)
		require.Equal(t, 3*time.Second, s.Bounds.GracePeriod)
	}
}

// Guards against a wait that hides why a condition did not hold.
func TestAwaitReportsTheLastReason(t *testing.T) {
	_, err := Await(50*time.Millisecond, "something", func() error { return errors.New("reason") })
	require.ErrorContains(t, err, "something: not within 50ms: reason")
}
