package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// exitWait bounds the wait for a process that was killed.
const exitWait = 5 * time.Second

// Process is a process that the harness started. Its output goes to a file,
// one for all of its starts.
type Process struct {
	Name string
	// LogPath is the file with the process's output.
	LogPath string

	path string
	args []string
	// tool marks a process that ends by itself.
	tool bool

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	exit    error
	// stopped is set when the harness asked the process to end.
	stopped bool
}

// NewProcess describes a process of the binary at path without starting it;
// its log goes to dir.
func NewProcess(name, path, dir string, args ...string) *Process {
	return &Process{Name: name, LogPath: filepath.Join(dir, name+".log"), path: path, args: args}
}

// Start starts the process, again if it has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runningLocked() {
		return fmt.Errorf("%s is running", p.Name)
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(p.path, p.args...)
	command.Stdout, command.Stderr = log, log
	// The kernel ends the process when the harness dies without cleaning up.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.command, p.done, p.exit, p.stopped = command, done, nil, false
	go func() {
		err := command.Wait()
		p.mu.Lock()
		p.exit = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

func (p *Process) runningLocked() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Running tells whether the process has started and not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runningLocked()
}

// Signal sends a signal to the process by its id.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runningLocked() {
		return fmt.Errorf("%s is not running", p.Name)
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.stopped = true
	}
	return p.command.Process.Signal(signal)
}

// unexpectedEnd tells whether the process ended without having been asked to. A
// tool may end by itself, but not with an error.
func (p *Process) unexpectedEnd() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.stopped && !p.runningLocked() && (!p.tool || p.exit != nil)
}

// Pause stops the process without ending it.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil && p.Running() {
		return err
	}
	_, err := p.Wait(exitWait)
	return err
}

// Terminate asks for a graceful stop and returns how long it took. A process
// that is still running after limit is an error and goes on running.
func (p *Process) Terminate(limit time.Duration) (time.Duration, error) {
	start := time.Now()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	exit, err := p.Wait(limit)
	if err != nil {
		return time.Since(start), err
	}
	if exit != nil {
		return time.Since(start), fmt.Errorf("%s stopped with %w", p.Name, exit)
	}
	return time.Since(start), nil
}

// Wait waits for the end of the process and returns its exit error.
func (p *Process) Wait(limit time.Duration) (exit, err error) {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil, nil
	}
	select {
	case <-done:
	case <-time.After(limit):
		return nil, fmt.Errorf("%s is still running after %v", p.Name, limit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exit, nil
}

// LogTail returns the last bytes of the process's output.
func (p *Process) LogTail(bytes int) string {
	content, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-bytes):])
}
