//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// Ports of every machine of a lab; each machine has an address of its own.
const (
	callerPort    = 8144
	readyPort     = 8140
	adminPort     = 8146
	directoryPort = 8143
	meshPort      = 7660
)

// longestRun is the longest time that a script may take.
const longestRun = 100 * time.Second

// lab is one run of a script: the stand-ins of the platform and of the endpoints, and the
// instances, which are separate processes.
type lab struct {
	dir       string
	start     time.Time
	store     *platformtest.Store
	endpoints []*endpoint
	machines  []*machine
	subnet    string

	mu     sync.Mutex
	record *os.File
	// reports holds the times at which the store acknowledged that an endpoint leaves.
	reports map[*endpoint][]time.Time
}

// reported records that the store has acknowledged that an endpoint leaves.
func (l *lab) reported(e *endpoint, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[e] = append(l.reports[e], at)
}

// machine is a machine of the system.
type machine struct {
	id, ip, zone string
	process      *exec.Cmd
	exited       chan struct{}
}

var zones = []struct{ name, region string }{{"puget-a", "puget"}, {"puget-b", "puget"}}

// newLab makes a lab whose record goes to record.txt in folder.
func newLab(folder string) (*lab, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, start: time.Now(), record: record, reports: make(map[*endpoint][]time.Time)}
	for range 50 {
		l.subnet = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		if l.portsFree() {
			break
		}
	}
	if l.store, err = platformtest.NewStore(); err != nil {
		return nil, err
	}
	// PROTOCOL.md knows no header with the era of the store.
	l.store.SetFaults(platformtest.StoreFaults{EraOmitted: true})
	go l.endEarly()
	return l, nil
}

// endEarly ends the script on a signal or after longestRun. The kernel ends the instances with it.
func (l *lab) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		fmt.Fprintln(os.Stderr, "ended by", s)
	case <-time.After(longestRun):
		fmt.Fprintln(os.Stderr, "ended after", longestRun)
	}
	_ = os.RemoveAll(l.dir)
	os.Exit(notReady)
}

func (l *lab) portsFree() bool {
	for n := 1; n <= 4; n++ {
		for _, port := range []int{callerPort, readyPort, adminPort, directoryPort, meshPort, 9180} {
			c, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", l.subnet, n, port))
			if err != nil {
				return false
			}
			_ = c.Close()
		}
	}
	return true
}

// say writes a line to the record.
func (l *lab) say(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// addMachine starts an instance in a zone.
func (l *lab) addMachine(zone string) (*machine, error) {
	n := len(l.machines) + 1
	m := &machine{id: fmt.Sprintf("edge-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", l.subnet, n), zone: zone}
	l.machines = append(l.machines, m)
	return m, l.startMachine(m)
}

// settings renders what deploy/instance.ini says for the machine.
func (l *lab) settings(m *machine) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nid = %s\nregion = puget\ndomain = %s\n\n[regions]\n", m.id, m.zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %s\n", z.name, z.region)
	}
	fmt.Fprintf(&b, "\n[listen]\ncallers = %s:%d\nreadiness = %s:%d\nlookup = %s:%d\nadmin = %s:%d\nmetrics = %s:9180\nmesh = %s:%d\n", m.ip, callerPort, m.ip, readyPort, m.ip, directoryPort, m.ip, adminPort, m.ip, m.ip, meshPort)
	fmt.Fprintf(&b, "\n[mesh]\nseeds = %s.1:%d,%s.2:%d\n\n[store]\naddress = %s\n", l.subnet, adminPort, l.subnet, adminPort, l.store.Address())
	b.WriteString("\n[limits]\nmemory_mb = 284\ndescriptors = 4100\nlink_mbps = 1000\n")
	b.WriteString("\n[bounds]\nrepeat_ratio = 0.2\nrepeat_slack = 64\nrepeat_window = 10s\nregion_shift = 0.15\nleave_time = 2500ms\nstop_time = 6s\nlookup_ttl = 5s\n")
	return b.String()
}

func (l *lab) startMachine(m *machine) error {
	file := filepath.Join(l.dir, m.id+".ini")
	if err := os.WriteFile(file, []byte(l.settings(m)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.dir, m.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process = exec.Command("target/sequoia-instance")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIACOVE_SETTINGS=" + file}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		l.say("process of %s ended: %v", m.id, p.ProcessState)
		close(exited)
	}(m.process, m.exited)
	l.say("process of %s started, callers at %s:%d", m.id, m.ip, callerPort)
	return nil
}

// signal sends a signal to the process of a machine.
func (l *lab) send(m *machine, s syscall.Signal) {
	l.say("%v to %s", s, m.id)
	_ = m.process.Process.Signal(s)
}

// waitReady waits until all machines say that they are ready.
func (l *lab) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range l.machines {
		for {
			r, err := http.Get(fmt.Sprintf("http://%s:%d/sequoiacove/readyz", m.ip, readyPort))
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// end stops all processes that the lab started.
func (l *lab) end() {
	for _, m := range l.machines {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
}

// directory is a client's cached answer of the directory.
type directory struct {
	addresses []string
	expires   time.Time
}

// resolve asks the directories, nearest first, and returns the answer.
func (l *lab) resolve(zone string) (directory, error) {
	var last error
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, near := range []bool{true, false} {
		for _, m := range l.machines {
			if (m.zone == zone) != near {
				continue
			}
			r, err := client.Get(fmt.Sprintf("http://%s:%d/sequoiacove/resolve?name=voice.example&region=puget&zone=%s", m.ip, directoryPort, zone))
			if err != nil {
				last = err
				continue
			}
			var body struct {
				Addresses []string `json:"addresses"`
				TTL       string   `json:"ttl"`
			}
			err = json.NewDecoder(r.Body).Decode(&body)
			_ = r.Body.Close()
			ttl, ttlErr := time.ParseDuration(body.TTL)
			if err != nil || ttlErr != nil || len(body.Addresses) == 0 {
				last = fmt.Errorf("status %d without addresses", r.StatusCode)
				continue
			}
			return directory{body.Addresses, time.Now().Add(min(ttl, 5*time.Second))}, nil
		}
	}
	return directory{}, last
}

// client is one client with at most one connection.
type client struct {
	lab     *lab
	name    string
	zone    string
	known   directory
	failed  map[string]time.Time
	address string
	conn    net.Conn
	reader  *bufio.Reader
	count   int
}

func (l *lab) client(name, zone string) *client {
	return &client{lab: l, name: name, zone: zone, failed: make(map[string]time.Time)}
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// refresh asks the directory again once the answer has expired, and leaves a connection to an
// address that the new answer does not name.
func (c *client) refresh() {
	if time.Now().Before(c.known.expires) {
		return
	}
	d, err := c.lab.resolve(c.zone)
	if err != nil {
		return
	}
	c.known = d
	for _, a := range d.addresses {
		if a == c.address {
			return
		}
	}
	c.drop()
}

// connect opens a connection to the wanted address, or to a random known one if it is empty.
func (c *client) connect(ctx context.Context, wanted string) error {
	c.refresh()
	if c.conn != nil {
		return nil
	}
	var list []string
	for _, a := range c.known.addresses {
		if time.Since(c.failed[a]) > 2*time.Second && (wanted == "" || a == wanted) {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return fmt.Errorf("no address")
	}
	c.address = list[rand.IntN(len(list))]
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", c.address)
	if err != nil {
		c.failed[c.address] = time.Now()
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// whole reports whether the answer is the endpoint's whole answer to the request.
func (a answer) whole(path string) bool {
	return a.err == nil && a.status == http.StatusOK && a.signature != "" && a.body == answerBody(a.id, path)
}

// answer is what a client got for a request.
type answer struct {
	id, address string
	sent, done  time.Time
	status      int
	signature   string
	body        string
	close       bool
	err         error
}

// send sends one request on the open connection, waits for its answer, and records both.
func (c *client) send(method, path string, deadline time.Duration) answer {
	a := c.exchange(method, path, deadline)
	c.lab.say("%v", a)
	return a
}

func (c *client) exchange(method, path string, deadline time.Duration) answer {
	c.count++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.count), address: c.address, sent: time.Now()}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: voice.example\r\nSequoiacove-Attempt-Id: %s\r\nSequoiacove-Request-Deadline: %d\r\n", method, path, a.id, deadline.Milliseconds())
	c.lab.say("%s sent to %s: %s %s", a.id, c.address, method, path)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, a.err = io.WriteString(c.conn, head+"\r\n"); a.err != nil {
		c.drop()
		a.done = time.Now()
		return a
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		var b []byte
		b, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
		a.status, a.body, a.signature, a.close = r.StatusCode, string(b), r.Header.Get("Sequoiacove-Response-Signature"), r.Close
	}
	a.done, a.err = time.Now(), err
	if err != nil || a.close {
		c.drop()
	}
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s at %s ended after %d ms: %v", a.id, a.address, a.done.Sub(a.sent).Milliseconds(), a.err)
	}
	return fmt.Sprintf("%s at %s answered after %d ms: status %d, signature %q, close %v", a.id, a.address, a.done.Sub(a.sent).Milliseconds(), a.status, a.signature, a.close)
}
