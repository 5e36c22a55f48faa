package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one process of the project, started with the command of the deploy file.
type machine struct {
	name, ip, region, zone string
	callers, readiness     string
	mesh, lookup, admin    string
	metrics                string
	cmd                    *exec.Cmd
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	store    *store
	rec      *recorder
	dir      string
	root     string
	zones    map[string]string
	machines []*machine

	// mu guards the start of processes against stop.
	mu      sync.Mutex
	stopped bool
}

// freePort returns a port that is free at all of the addresses.
func freePort(ips []string) (string, error) {
	for range 50 {
		l, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			return "", err
		}
		_, port, _ := net.SplitHostPort(l.Addr().String())
		free := true
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp4", net.JoinHostPort(ip, port))
			if free = free && err == nil; err == nil {
				_ = other.Close()
			}
		}
		_ = l.Close()
		if free {
			return port, nil
		}
	}
	return "", fmt.Errorf("no port is free at all of %v", ips)
}

// addMachines adds a machine with a loopback address of its own for each name. The ports are the
// same on all machines.
func (d *deployment) addMachines(zone string, names ...string) error {
	var ips []string
	for i := range names {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	var ports []string
	for len(ports) < 6 {
		port, err := freePort(ips)
		if err != nil {
			return err
		}
		if !slices.Contains(ports, port) {
			ports = append(ports, port)
		}
	}
	for i, name := range names {
		m := &machine{name: name, ip: ips[i], zone: zone, region: d.zones[zone]}
		for n, a := range []*string{&m.callers, &m.readiness, &m.mesh, &m.lookup, &m.admin, &m.metrics} {
			*a = net.JoinHostPort(m.ip, ports[n])
		}
		d.machines = append(d.machines, m)
	}
	return nil
}

// settings returns what deploy/instance.ini becomes with the fields of a small deployment: the
// bounds of cascadia-voice, and the control addresses of the machines as seeds.
func (d *deployment) settings(m *machine) string {
	var regions, seeds strings.Builder
	for zone, region := range d.zones {
		fmt.Fprintf(&regions, "%s = %s\n", zone, region)
	}
	for i, x := range d.machines {
		if i > 0 {
			seeds.WriteString(",")
		}
		seeds.WriteString(x.admin)
	}
	return fmt.Sprintf(`[instance]
id = %s
region = %s
domain = %s
[regions]
%s[listen]
callers = %s
readiness = %s
lookup = %s
admin = %s
metrics = %s
mesh = %s
[mesh]
seeds = %s
[store]
address = %s
[limits]
memory_mb = 284
descriptors = 4100
[bounds]
repeat_ratio = 0.2
repeat_slack = 64
repeat_window = 10s
region_shift = 0.15
leave_time = 2500ms
stop_time = 6s
lookup_ttl = 5s
`, m.name, m.region, m.zone, regions.String(), m.callers, m.readiness, m.lookup, m.admin, m.metrics, m.mesh, seeds.String(), d.store.address)
}

// start starts a machine's process and returns once it is ready.
func (d *deployment) start(m *machine) error {
	file := filepath.Join(d.dir, m.name+".ini")
	if err := os.WriteFile(file, []byte(d.settings(m)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, m.name+".log"))
	if err != nil {
		return err
	}
	m.cmd = exec.Command(filepath.Join(d.root, "target", "sequoia-instance"))
	m.cmd.Dir = d.root
	m.cmd.Env = append(os.Environ(), "SEQUOIACOVE_SETTINGS="+file)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := d.launch(m.cmd); err != nil {
		return err
	}
	d.rec.printf("%s starts, process %d", m.name, m.cmd.Process.Pid)
	for range 100 {
		r, err := probe.Get("http://" + m.readiness + "/sequoiacove/readyz")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				d.rec.printf("%s is ready", m.name)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s was not ready within 10 s", m.name)
}

func (d *deployment) launch(cmd *exec.Cmd) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return fmt.Errorf("stopped")
	}
	return cmd.Start()
}

// stop ends all processes.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	for _, m := range d.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
		}
	}
	_ = os.RemoveAll(d.dir)
}

// load sends requests at an even rate to the machines in turn.
type load struct {
	d       *deployment
	host    string
	paths   []string
	methods []string
	sent    atomic.Int64
	served  atomic.Int64
}

// probe asks machines whether they are ready.
var probe = &http.Client{Timeout: time.Second}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// run sends rate requests a second until ctx ends.
func (l *load) run(ctx context.Context, rate int) {
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	var wg sync.WaitGroup
	for {
		select {
		case <-t.C:
			n := int(l.sent.Add(1))
			wg.Go(func() { l.send(n) })
		case <-ctx.Done():
			wg.Wait()
			return
		}
	}
}

func (l *load) send(n int) {
	id := fmt.Sprintf("a%07d", n)
	m := l.d.machines[n%len(l.d.machines)]
	method, path := l.methods[n/2%len(l.methods)], l.paths[n/2%len(l.paths)]
	var body io.Reader
	if method != http.MethodGet {
		body = bytes.NewReader([]byte("body of " + id))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.callers+path+id, body)
	if err != nil {
		return
	}
	r.Host = l.host
	r.Header.Set("Sequoiacove-Attempt-Id", id)
	r.Header.Set("Sequoiacove-Request-Deadline", "2000")
	l.d.rec.printf("client sends %s %s%s to %s", method, path, id, m.name)
	resp, err := client.Do(r)
	if err != nil {
		l.d.rec.printf("client gets no answer to %s: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	l.d.rec.printf("client gets %d to %s, signature %q", resp.StatusCode, id, resp.Header.Get("Sequoiacove-Response-Signature"))
	if resp.StatusCode == http.StatusOK {
		l.served.Add(1)
	}
}
