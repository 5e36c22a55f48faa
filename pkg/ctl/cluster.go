package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/operator"
)

// registerClusterCommands registers the commands for instances, traffic shifts, drains
// and requests.
func (c *cli) registerClusterCommands(app *kingpin.Application) {
	members := app.Command("members", "List the live instances as seen by one of them.")
	members.Action(c.withClient(c.members))

	move := app.Command("move", "Show the progress of a service's traffic shares towards their targets.\n\nExample: sequoiactl move --watch reservas")
	moveService := move.Arg("service", "Service.").Required().String()
	moveWatch := addWatchFlags(move)
	move.Action(c.withClient(func(client *operator.Client) error { return c.move(client, *moveService, moveWatch) }))

	drain := app.Command("drain", "Show the drain state of an upstream or instance.\n\n"+
		"To start a drain, patch drained_upstreams or drained_instances.\n\nExample: sequoiactl drain --watch reservas-7")
	drainID := drain.Arg("id", "Upstream or instance id.").Required().String()
	drainWatch := addWatchFlags(drain)
	drain.Action(c.withClient(func(client *operator.Client) error { return c.drain(client, *drainID, drainWatch) }))

	state := app.Command("state", "Print the state dump of an instance as JSON.")
	state.Action(c.withClient(c.state))

	explain := app.Command("explain", "Show how an instance would route a request, and why.\n\nExample: sequoiactl explain reservas")
	explainService := explain.Arg("service", "Service.").Required().String()
	explain.Action(c.withClient(func(client *operator.Client) error { return c.explain(client, *explainService) }))

	request := app.Command("request", "Show the outcome and cause of a request that was rejected, failed, abandoned or late.\n\nExample: sequoiactl request 9c41d07be2a35f68")
	requestID := request.Arg("id", "Request id.").Required().String()
	request.Action(c.withClient(func(client *operator.Client) error { return c.requestOutcome(client, *requestID) }))
}

// watchOptions holds the flags --watch and --interval of a command.
type watchOptions struct {
	enabled  bool
	interval time.Duration
}

func addWatchFlags(cmd *kingpin.CmdClause) *watchOptions {
	w := &watchOptions{}
	cmd.Flag("watch", "Poll until the operation is complete.").BoolVar(&w.enabled)
	cmd.Flag("interval", "Polling interval with --watch.").Default("1s").DurationVar(&w.interval)
	return w
}

// poll calls check once. With --watch, it calls check repeatedly until the operation
// is finished; after a retryable error, which it prints, it continues polling.
func (c *cli) poll(w *watchOptions, check func() (finished bool, err error)) error {
	for {
		finished, err := check()
		if !w.enabled || finished {
			return err
		}
		if err != nil {
			if !operator.Retryable(err) {
				return err
			}
			fmt.Fprintln(c.stderr, "sequoiactl:", err)
		}
		select {
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-time.After(w.interval):
		}
	}
}

func (c *cli) members(client *operator.Client) error {
	reply, err := client.Members(c.ctx)
	if err != nil {
		return err
	}
	return c.printResult(reply, func(w io.Writer) {
		writeTable(w, "INSTANCE\tREGION\tDOMAIN\tSTATE\tVERSION\tIN FLIGHT", func(t *tabwriter.Writer) {
			for _, m := range reply.Members {
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\n", m.ID, m.Region, m.Domain, m.State, m.DescriptionVersion, m.ActiveRequests)
			}
		})
	})
}

func (c *cli) move(client *operator.Client, service string, w *watchOptions) error {
	return c.poll(w, func() (bool, error) {
		move, err := client.MoveStatus(c.ctx, service)
		if err != nil {
			return false, err
		}
		return move.Finished, c.printResult(move, func(out io.Writer) { printMove(out, move) })
	})
}

func printMove(w io.Writer, move operator.MoveReply) {
	finished := 0
	for _, instance := range move.Instances {
		if instance.Finished {
			finished++
		}
	}
	fmt.Fprintf(w, "%s version %d: %d of %d instances at the target", move.Service, move.Version, finished, len(move.Instances))
	if len(move.Unreachable) > 0 {
		fmt.Fprintf(w, "; unreachable: %s", strings.Join(move.Unreachable, ", "))
	}
	fmt.Fprintln(w)
	writeTable(w, "DOMAIN\tTARGET\tLOWEST\tHIGHEST", func(t *tabwriter.Writer) {
		for _, domain := range slices.Sorted(maps.Keys(move.Target)) {
			low, high := shareRange(move.Instances, domain)
			fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%.4f\n", domain, move.Target[domain], low, high)
		}
	})
}

// shareRange returns the lowest and highest share of a domain over all instances.
func shareRange(instances []operator.MoveInstance, domain string) (low, high float64) {
	for i, instance := range instances {
		share := instance.Shares[domain]
		if i == 0 || share < low {
			low = share
		}
		high = max(high, share)
	}
	return low, high
}

func (c *cli) drain(client *operator.Client, id string, w *watchOptions) error {
	return c.poll(w, func() (bool, error) {
		drain, err := client.DrainStatus(c.ctx, id)
		if err != nil {
			return false, err
		}
		return drain.State == operator.DrainDrained, c.printResult(drain, func(out io.Writer) {
			fmt.Fprintf(out, "%s %s, %d in flight\n", drain.ID, drain.State, drain.InFlight)
		})
	})
}

func (c *cli) state(client *operator.Client) error {
	reply, err := client.State(c.ctx)
	if err != nil {
		return err
	}
	return c.printResult(reply, nil)
}

func (c *cli) explain(client *operator.Client, service string) error {
	reply, err := client.Explain(c.ctx, service)
	if err != nil {
		return err
	}
	return c.printResult(reply, nil)
}

func (c *cli) requestOutcome(client *operator.Client, id string) error {
	reply, err := client.RequestOutcome(c.ctx, id)
	if err != nil {
		return err
	}
	return c.printResult(reply, nil)
}
