package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// idleTimeout is the maximum wait for executions in flight. It exceeds the longest
// execution that tests request.
const idleTimeout = 10 * time.Second

// LoadRun is a load run in the background.
type LoadRun struct {
	cancel context.CancelFunc
	done   chan struct{}
	report *load.Report
}

// StartLoad starts a load run. cfg.LookupAddresses defaults to the lookup addresses
// of all instances, and cfg.Host to the host name of the first service. At the end
// of the run, its records are saved in the cluster's directory.
func (c *Cluster) StartLoad(cfg load.Config) *LoadRun {
	if len(cfg.LookupAddresses) == 0 {
		cfg.LookupAddresses = c.LookupAddresses()
	}
	if cfg.Host == "" {
		cfg.Host = c.Spec.Services[0].Host()
	}
	ctx, cancel := context.WithCancel(context.Background())
	run := &LoadRun{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(run.done)
		run.report = load.Run(ctx, cfg)
		name := fmt.Sprintf("records-%s-%d.jsonl", cfg.RunID, cfg.Seed)
		_ = run.report.SaveRecords(filepath.Join(c.Dir, name))
	}()
	return run
}

// Wait waits until the load run completes and returns its report.
func (r *LoadRun) Wait() *load.Report {
	<-r.done
	r.cancel()
	return r.report
}

// Stop stops sending, waits for the requests in flight and returns the report.
func (r *LoadRun) Stop() *load.Report {
	r.cancel()
	<-r.done
	return r.report
}

// AwaitIdleUpstreams waits until no running upstream has an execution in flight, so
// that the execution logs are complete.
func (c *Cluster) AwaitIdleUpstreams() error {
	_, err := Await(idleTimeout, "idle upstreams", func() error {
		for _, u := range c.Upstreams {
			if !u.Running() {
				continue
			}
			report, err := u.Report()
			if err != nil {
				return err
			}
			if report.InFlight > 0 {
				return fmt.Errorf("%s has %d executions in flight", u.ID, report.InFlight)
			}
		}
		return nil
	})
	return err
}

// Audit checks the load reports against the execution logs of all upstreams. The
// log of an upstream that is not running counts as lost.
func (c *Cluster) Audit(reports ...*load.Report) (load.Audit, error) {
	if err := c.AwaitIdleUpstreams(); err != nil {
		return load.Audit{}, err
	}
	executions, err := c.Executions("")
	if err != nil {
		return load.Audit{}, err
	}
	auditor := load.NewAuditor(executions)
	for _, u := range c.Upstreams {
		if !u.Running() {
			auditor.LogLost[u.ID] = true
		}
	}
	var records []load.Record
	for _, r := range reports {
		records = append(records, r.Records...)
	}
	return auditor.Check(records), nil
}

// RegionOf returns the region of the upstream with an id, or "" if there is none.
func (c *Cluster) RegionOf(upstreamID string) string {
	if u := c.Upstream(upstreamID); u != nil {
		return u.Region
	}
	return ""
}

// SaveExecutions writes the execution logs of all running upstreams to a file in
// the cluster's directory, one execution per line, for the analysis of a failed
// run.
func (c *Cluster) SaveExecutions() error {
	executions, err := c.Executions("")
	if err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(c.Dir, "executions.jsonl"))
	if err != nil {
		return err
	}
	defer file.Close()
	encoder := json.NewEncoder(file)
	for _, e := range executions {
		line := struct {
			Upstream string `json:"upstream"`
			load.Execution
		}{e.Upstream, e}
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}
