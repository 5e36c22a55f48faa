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

// settleLimit is longer than the longest execution that tests ask for.
const settleLimit = 10 * time.Second

// Traffic is load that runs in the background.
type Traffic struct {
	cancel context.CancelFunc
	done   chan struct{}
	report *load.Report
}

// StartLoad starts load; directories and host default to those of the cluster.
func (c *Cluster) StartLoad(cfg load.Config) *Traffic {
	if len(cfg.LookupAddresses) == 0 {
		cfg.LookupAddresses = c.LookupAddresses()
	}
	if cfg.Host == "" {
		cfg.Host = c.Spec.Services[0].Host()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Traffic{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		t.report = load.Run(ctx, cfg)
		name := fmt.Sprintf("records-%s-%d.jsonl", cfg.RunID, cfg.Seed)
		_ = t.report.SaveRecords(filepath.Join(c.Dir, name))
	}()
	return t
}

// Wait waits for the planned end of the load.
func (t *Traffic) Wait() *load.Report {
	<-t.done
	t.cancel()
	return t.report
}

// Stop ends sending and waits for the requests in flight.
func (t *Traffic) Stop() *load.Report {
	t.cancel()
	<-t.done
	return t.report
}

// Settle waits until no upstream holds an execution, so that the logs are
// complete.
func (c *Cluster) Settle() error {
	_, err := Await(settleLimit, "end of all executions", func() error {
		for _, u := range c.Upstreams {
			if !u.Running() {
				continue
			}
			report, err := u.Report()
			if err != nil {
				return err
			}
			if report.Busy > 0 {
				return fmt.Errorf("%s has %d executions in flight", u.ID, report.Busy)
			}
		}
		return nil
	})
	return err
}

// Audit compares reports with the logs of all upstreams.
func (c *Cluster) Audit(reports ...*load.Report) (load.Audit, error) {
	if err := c.Settle(); err != nil {
		return load.Audit{}, err
	}
	executions, err := c.Executions("")
	if err != nil {
		return load.Audit{}, err
	}
	auditor := load.NewAuditor(executions)
	for _, u := range c.Upstreams {
		if !u.Running() {
			auditor.LostLogs[u.ID] = true
		}
	}
	var records []load.Record
	for _, r := range reports {
		records = append(records, r.Records...)
	}
	return auditor.Check(records), nil
}

// RegionOf returns the region of an upstream.
func (c *Cluster) RegionOf(upstream string) string {
	if u := c.Upstream(upstream); u != nil {
		return u.Region
	}
	return ""
}

// SaveExecutions writes the logs of all running upstreams into the folder of
// the cluster, one execution per line, for the analysis of a failed run.
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
