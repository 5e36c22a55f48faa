// Package ctl implements sequoiactl, the command-line tool for operators.
//
// Most commands call the operator API of an instance through operator.Client.
// config.go holds the commands for the description and its versions, cluster.go
// those for instances, traffic shifts, drains and requests. The exit status tells
// scripts the outcome: 0 success, 1 rejected or not executed, 2 outcome of a patch
// unknown.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Exit statuses.
const (
	exitOK             = 0
	exitFailed         = 1
	exitOutcomeUnknown = 2
)

const helpText = `Operates a sequoiacove installation through any of its instances.

Examples:
  export SEQUOIA_ADDRESS=10.20.1.1:7004,10.20.2.1:7004 SEQUOIA_TOKEN=...
  sequoiactl show
  sequoiactl patch --base 7 move.json
  echo '{"drained_upstreams": ["reservas-7"]}' | sequoiactl patch --base 8 -
  sequoiactl move --watch reservas
  sequoiactl drain --watch reservas-7
  sequoiactl validate --base-file current.json move.json

Exit status: 0 success, 1 rejected or not executed, 2 outcome of a patch unknown.`

// cli holds the context, streams and global flags that all commands share.
type cli struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer

	addresses  string
	token      string
	timeout    time.Duration
	jsonOutput bool
}

// exitCode is the panic value that passes kingpin's exit status to Run.
type exitCode int

// Run executes the command line in args and returns the exit status.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) (status int) {
	c := &cli{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	defer func() {
		if r := recover(); r != nil {
			code, ok := r.(exitCode)
			if !ok {
				panic(r)
			}
			status = int(code)
		}
	}()
	app := kingpin.New("sequoiactl", helpText)
	app.UsageWriter(stdout).ErrorWriter(stderr).Terminate(func(code int) { panic(exitCode(code)) })
	c.registerFlagsAndCommands(app)
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintln(stderr, "sequoiactl:", err)
		if result.CodeOf(err) == result.PatchOutcomeUnknown {
			return exitOutcomeUnknown
		}
		return exitFailed
	}
	return exitOK
}

func (c *cli) registerFlagsAndCommands(app *kingpin.Application) {
	app.Flag("address", "Comma-separated admin addresses of instances, tried in order.").
		Envar("SEQUOIA_ADDRESS").StringVar(&c.addresses)
	app.Flag("token", "Operator token.").Envar("SEQUOIA_TOKEN").StringVar(&c.token)
	app.Flag("timeout", "Timeout of each request.").Default("10s").DurationVar(&c.timeout)
	app.Flag("json", "Print output as JSON.").BoolVar(&c.jsonOutput)
	c.registerConfigCommands(app)
	c.registerClusterCommands(app)
}

// newClient returns a client for the instances given by --address.
func (c *cli) newClient() (*operator.Client, error) {
	if c.addresses == "" {
		return nil, fmt.Errorf("no instance address given: use --address or SEQUOIA_ADDRESS")
	}
	if c.token == "" {
		return nil, fmt.Errorf("no operator token given: use --token or SEQUOIA_TOKEN")
	}
	cfg := operator.ClientConfig{Token: c.token, Timeout: c.timeout}
	for _, addr := range strings.Split(c.addresses, ",") {
		cfg.Addresses = append(cfg.Addresses, strings.TrimSpace(addr))
	}
	return operator.NewClient(cfg), nil
}

// withClient returns a kingpin action that creates a client and calls run with it.
func (c *cli) withClient(run func(*operator.Client) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		client, err := c.newClient()
		if err != nil {
			return err
		}
		return run(client)
	}
}

// printResult writes value as JSON if --json is set or writeText is nil, and calls
// writeText otherwise.
func (c *cli) printResult(value any, writeText func(io.Writer)) error {
	if !c.jsonOutput && writeText != nil {
		writeText(c.stdout)
		return nil
	}
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// maxInputBytes is one byte more than the size limit of a request. Input that is too
// large still exceeds the limit when it is truncated to this size, so that it is
// rejected and no truncated patch is submitted.
const maxInputBytes = operator.MaxBodyBytes + 1

// readInput returns the first maxInputBytes of a file, or of standard input if path is
// "-" or empty. kingpin passes the argument "-" on as an empty string.
func (c *cli) readInput(path string) ([]byte, error) {
	if path == "-" || path == "" {
		return io.ReadAll(io.LimitReader(c.stdin, maxInputBytes))
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxInputBytes))
}
