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
	childEnv    = "SEQUOIA_HARNESS_CHILD"
	testTimeout = 10 * time.Second
)

// TestMain runs the tests, or acts as the child process that they start if childEnv
// is set.
func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	os.Stdout.WriteString("ready\n")
	<-stop
}

// startChild starts the test binary as a child process and waits until it is ready.
func startChild(t *testing.T) *Process {
	t.Setenv(childEnv, "1")
	p := NewProcess("child", os.Args[0], t.TempDir())
	require.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Kill() })
	_, err := Await(testTimeout, "child", func() error {
		if p.LogTail(6) != "ready\n" {
			return errors.New("not ready")
		}
		return nil
	})
	require.NoError(t, err)
	return p
}

// Guards against a graceful stop that fails or is reported as an unexpected exit,
// and against a Process that cannot be restarted.
func TestTerminateAndRestart(t *testing.T) {
	p := startChild(t)
	require.Error(t, p.Start(), "a running process must not be started again")
	_, err := p.Terminate(testTimeout)
	require.NoError(t, err)
	require.False(t, p.Running())
	require.False(t, p.exitedUnexpectedly())
	require.NoError(t, p.Start())
	require.True(t, p.Running())
}

// Guards against a paused process that exits on SIGTERM before it is resumed, or
// that cannot be killed while it is paused.
func TestPausedProcessExitsOnResumeAndCanBeKilled(t *testing.T) {
	p := startChild(t)
	require.NoError(t, p.Pause())
	_, err := p.Terminate(200 * time.Millisecond)
	require.Error(t, err, "a paused process must not handle SIGTERM")
	require.NoError(t, p.Resume())
	_, err = p.Wait(testTimeout)
	require.NoError(t, err)
	require.NoError(t, p.Start())
	require.NoError(t, p.Pause())
	require.NoError(t, p.Kill())
	require.False(t, p.Running())
}

// Guards against a crash that is not reported as an unexpected exit.
func TestUnexpectedExitIsDetected(t *testing.T) {
	p := startChild(t)
	require.NoError(t, syscall.Kill(p.command.Process.Pid, syscall.SIGKILL))
	_, err := p.Wait(testTimeout)
	require.NoError(t, err)
	require.True(t, p.exitedUnexpectedly())
}

// Guards against allocating a port twice.
func TestAllocatedPortsAreDistinct(t *testing.T) {
	p, seen := newPortAllocator(), make(map[string]bool)
	for range 50 {
		addr, err := p.allocate("127.0.3.1")
		require.NoError(t, err)
		require.False(t, seen[addr])
		seen[addr] = true
	}
}

// Guards against settings files that an instance rejects, and against an instance
// that advertises its own mesh address instead of the address of its relays.
func TestSettingsFilesAreValid(t *testing.T) {
	c := &Cluster{Dir: t.TempDir(), ports: newPortAllocator(), relays: newRelays(), loopbackPrefix: newLoopbackPrefix(), Store: &Store{Address: "127.0.0.1:9"}}
	defer c.relays.close()
	c.Spec = Spec{UseRelays: true, GracePeriod: 3 * time.Second, Domains: []Domain{{"north", "north-a", 2}, {"south", "south-a", 1}}}
	require.NoError(t, c.createInstances())
	for _, i := range c.Instances {
		text, err := os.ReadFile(i.SettingsFile)
		require.NoError(t, err)
		s, err := instance.ParseSettings(text)
		require.NoError(t, err)
		require.Equal(t, i.AdvertisedMeshAddress, s.MeshAdvertised)
		require.NotEqual(t, s.MeshAddress, s.MeshAdvertised)
		require.Len(t, s.Seeds, 2)
		require.Equal(t, 3*time.Second, s.Bounds.GracePeriod)
	}
}

// Guards against a timeout error that does not contain the condition's last error.
func TestAwaitReportsLastError(t *testing.T) {
	_, err := Await(50*time.Millisecond, "something", func() error { return errors.New("reason") })
	require.ErrorContains(t, err, "something: timed out after 50ms: reason")
}
