package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// killTimeout is the maximum wait for a killed process to exit.
const killTimeout = 5 * time.Second

// Process is a child process that can be started repeatedly. The output of all its
// runs is appended to one log file.
type Process struct {
	Name string
	// LogPath is the log file with the process's output.
	LogPath string

	binaryPath string
	args       []string
	// exitsByItself is set if the process may exit without having been asked to.
	exitsByItself bool

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the current run has exited; exitErr is its exit error.
	exited  chan struct{}
	exitErr error
	// stopRequested is set when the harness has sent SIGTERM or SIGKILL.
	stopRequested bool
}

// NewProcess returns an unstarted process of the binary at path; its log file is
// in dir.
func NewProcess(name, path, dir string, args ...string) *Process {
	return &Process{Name: name, LogPath: filepath.Join(dir, name+".log"), binaryPath: path, args: args}
}

// Start starts the process. A process that has exited can be started again.
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
	command := exec.Command(p.binaryPath, p.args...)
	command.Stdout, command.Stderr = log, log
	// The kernel kills the process if the harness dies without cleaning up.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.command, p.exited, p.exitErr, p.stopRequested = command, done, nil, false
	go func() {
		err := command.Wait()
		p.mu.Lock()
		p.exitErr = err
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
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Running reports whether the process has started and not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runningLocked()
}

// PeakMemory returns the largest resident memory of the current run, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runningLocked() {
		return 0, fmt.Errorf("%s is not running", p.Name)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("%s: no peak memory", p.Name)
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runningLocked() {
		return fmt.Errorf("%s is not running", p.Name)
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.stopRequested = true
	}
	return p.command.Process.Signal(signal)
}

// exitedUnexpectedly reports whether the process exited without having been asked
// to. A tool may exit by itself, but not with an error.
func (p *Process) exitedUnexpectedly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.stopRequested && !p.runningLocked() && (!p.exitsByItself || p.exitErr != nil)
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits for the process to exit. It does nothing if the
// process is not running.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil && p.Running() {
		return err
	}
	_, err := p.Wait(killTimeout)
	return err
}

// Terminate sends SIGTERM and returns how long the process took to exit. It returns
// an error if the process exits with an error or is still running after timeout. It
// does not kill a process that is still running.
func (p *Process) Terminate(timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	exitErr, err := p.Wait(timeout)
	if err != nil {
		return time.Since(start), err
	}
	if exitErr != nil {
		return time.Since(start), fmt.Errorf("%s exited after SIGTERM: %w", p.Name, exitErr)
	}
	return time.Since(start), nil
}

// Wait waits for the process to exit and returns its exit error as exitErr; err is
// set if the process is still running after timeout. Wait returns at once if the
// process was never started.
func (p *Process) Wait(timeout time.Duration) (exitErr, err error) {
	p.mu.Lock()
	done := p.exited
	p.mu.Unlock()
	if done == nil {
		return nil, nil
	}
	select {
	case <-done:
	case <-time.After(timeout):
		return nil, fmt.Errorf("%s is still running after %v", p.Name, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr, nil
}

// LogTail returns the last maxBytes bytes of the log file, or all of it if it is
// shorter. If the file cannot be read, it returns the text of the error.
func (p *Process) LogTail(maxBytes int) string {
	content, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-maxBytes):])
}
