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
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// addMachine reserves the addresses of a machine.
func (d *deployment) addMachine(name, ip, zone string) error {
	m := &machine{name: name, ip: ip, zone: zone, region: d.zones[zone]}
	for _, a := range []*string{&m.callers, &m.readiness, &m.mesh, &m.lookup, &m.admin} {
		address, err := freePort(ip)
		if err != nil {
			return err
		}
		*a = address
	}
	d.machines = append(d.machines, m)
	return nil
}

// settings renders deploy/instance.ini with the fields of a small deployment.
func (d *deployment) settings(m *machine) string {
	var regions, seeds strings.Builder
	for zone, region := range d.zones {
		fmt.Fprintf(&regions, "%s = %s\n", zone, region)
	}
	for i, x := range d.machines {
		if i > 0 {
			seeds.WriteString(",")
		}
		seeds.WriteString(x.mesh)
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
repeat_slack = 62
repeat_window = 10s
region_shift = 0.15
leave_time = 2500ms
stop_time = 6s
lookup_ttl = 5s
`, m.name, m.region, m.zone, regions.String(), m.callers, m.readiness, m.lookup, m.admin, m.mesh, seeds.String(), d.store.address)
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
	if err := m.cmd.Start(); err != nil {
		return err
	}
	d.rec.printf("%s starts, process %d", m.name, m.cmd.Process.Pid)
	for range 100 {
		r, err := http.Get("http://" + m.readiness + "/sequoiacove/readyz")
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

// stop ends all processes.
func (d *deployment) stop() {
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
