package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// baseNotSet is the default of --base. It is not 0 because 0 is a valid base
// version.
const baseNotSet = -1

// patchArgs holds the arguments of the commands patch and validate.
type patchArgs struct {
	file     string
	kind     string
	base     int64
	patchID  string
	baseFile string
}

// registerConfigCommands registers the commands for the description and its versions.
func (c *cli) registerConfigCommands(app *kingpin.Application) {
	c.registerPatchCommand(app)
	c.registerValidateCommand(app)

	show := app.Command("show", "Print the description in force, or that of the given version.\n\nExample: sequoiactl show --version 7 > before.json")
	version := show.Flag("version", "Version number; the default is the version in force.").Uint64()
	show.Action(c.withClient(func(client *operator.Client) error { return c.show(client, *version) }))

	versions := app.Command("versions", "List accepted versions, newest first.")
	before := versions.Flag("before", "List only versions lower than this one.").Uint64()
	limit := versions.Flag("limit", "Maximum number of versions to list.").Default("20").Int()
	versions.Action(c.withClient(func(client *operator.Client) error { return c.versions(client, *before, *limit) }))

	diff := app.Command("diff", "Print the changes between two versions.\n\nExample: sequoiactl diff 7 8")
	from := diff.Arg("from", "Older version; 0 is the empty description.").Required().Uint64()
	to := diff.Arg("to", "Newer version; the default is the version in force.").Uint64()
	diff.Action(c.withClient(func(client *operator.Client) error { return c.diff(client, *from, *to) }))
}

func (c *cli) registerPatchCommand(app *kingpin.Application) {
	var args patchArgs
	cmd := app.Command("patch", "Submit a patch to the description and wait for its outcome.\n\n"+
		"Prints the patch id first. If the outcome remains unknown, retry with the same --patch-id and --base.\n\n"+
		"Example: sequoiactl patch --base 7 --kind json move.json")
	args.addFlagsAndArgs(cmd)
	cmd.Flag("patch-id", "Patch id of an earlier submission; requires --base.").StringVar(&args.patchID)
	cmd.Action(c.withClient(func(client *operator.Client) error { return c.patch(client, args) }))
}

func (c *cli) registerValidateCommand(app *kingpin.Application) {
	var args patchArgs
	cmd := app.Command("validate", "Validate a patch and print the changes that it would make.\n\n"+
		"Example of offline validation: sequoiactl validate --base-file current.json move.json")
	args.addFlagsAndArgs(cmd)
	cmd.Flag("base-file", "File with the description to apply the patch to; validates offline.").StringVar(&args.baseFile)
	cmd.Action(func(ctx *kingpin.ParseContext) error {
		if args.baseFile != "" {
			return c.validateOffline(args)
		}
		return c.withClient(func(client *operator.Client) error { return c.validate(client, args) })(ctx)
	})
}

func (a *patchArgs) addFlagsAndArgs(cmd *kingpin.CmdClause) {
	cmd.Flag("kind", "Patch format: merge (RFC 7386) or json (RFC 6902).").Default("merge").EnumVar(&a.kind, "merge", "json")
	cmd.Flag("base", "Version that the patch is based on; the default is the version in force.").Default(fmt.Sprint(baseNotSet)).Int64Var(&a.base)
	cmd.Arg("file", "File with the patch, or - for standard input.").Required().StringVar(&a.file)
}

// newPatchRequest reads the patch file and builds the request. Without --patch-id it
// generates a patch id, and without --base it uses the version in force as the base.
func (c *cli) newPatchRequest(client *operator.Client, a patchArgs) (operator.PatchRequest, error) {
	patch := operator.PatchRequest{PatchID: a.patchID, Kind: description.PatchKind(a.kind)}
	body, err := c.readInput(a.file)
	if err != nil {
		return patch, err
	}
	if !json.Valid(body) {
		return patch, result.New(result.PatchMalformed, "%s is not valid JSON", a.file)
	}
	patch.Patch = body
	if patch.PatchID == "" {
		patch.PatchID = operator.NewPatchID()
	}
	if a.base != baseNotSet {
		patch.BaseVersion = uint64(a.base)
		return patch, nil
	}
	current, err := client.Current(c.ctx)
	patch.BaseVersion = current.Version
	return patch, err
}

func (c *cli) patch(client *operator.Client, a patchArgs) error {
	if a.patchID != "" && a.base == baseNotSet {
		return fmt.Errorf("--patch-id requires the --base of the first submission")
	}
	patch, err := c.newPatchRequest(client, a)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.stderr, "patch id %s, base version %d\n", patch.PatchID, patch.BaseVersion)
	reply, err := client.Patch(c.ctx, patch)
	if err != nil {
		return err
	}
	return c.printResult(reply, func(w io.Writer) {
		note := ""
		if reply.Replayed {
			note = " (accepted earlier)"
		}
		fmt.Fprintf(w, "version %d %s%s\n", reply.Version, reply.Hash, note)
	})
}

func (c *cli) validate(client *operator.Client, a patchArgs) error {
	patch, err := c.newPatchRequest(client, a)
	if err != nil {
		return err
	}
	reply, err := client.Validate(c.ctx, patch)
	if err != nil {
		return err
	}
	return c.printResult(reply, diffWriter(reply.Diff))
}

func (c *cli) validateOffline(a patchArgs) error {
	base, err := c.readInput(a.baseFile)
	if err != nil {
		return err
	}
	patch, err := c.readInput(a.file)
	if err != nil {
		return err
	}
	_, body, err := description.Apply(base, description.PatchKind(a.kind), patch)
	if err != nil {
		return err
	}
	return c.printDiff(base, body)
}

// printDiff prints the changes that turn the description before into after.
func (c *cli) printDiff(before, after []byte) error {
	diff, err := description.Diff(before, after)
	if err != nil {
		return err
	}
	return c.printResult(operator.ValidateReply{Diff: diff}, diffWriter(diff))
}

// diffWriter returns a function that writes a diff, or "no change" if it is empty.
func diffWriter(diff []string) func(io.Writer) {
	return func(w io.Writer) {
		if len(diff) == 0 {
			fmt.Fprintln(w, "no change")
			return
		}
		fmt.Fprintln(w, strings.Join(diff, "\n"))
	}
}

// fetchVersion returns the version with the given number; 0 means the version in
// force.
func (c *cli) fetchVersion(client *operator.Client, number uint64) (operator.Version, error) {
	if number == 0 {
		return client.Current(c.ctx)
	}
	return client.Version(c.ctx, number)
}

func (c *cli) show(client *operator.Client, number uint64) error {
	v, err := c.fetchVersion(client, number)
	if err != nil {
		return err
	}
	if c.jsonOutput {
		return c.printResult(v, nil)
	}
	fmt.Fprintf(c.stderr, "version %d by %s at %s\n", v.Version, v.Operator, formatUnixMS(v.AcceptedUnixMS))
	if len(v.Description) == 0 {
		v.Description = json.RawMessage("{}")
	}
	return c.printResult(v.Description, nil)
}

func (c *cli) versions(client *operator.Client, before uint64, limit int) error {
	reply, err := client.Versions(c.ctx, before, limit)
	if err != nil {
		return err
	}
	return c.printResult(reply, func(w io.Writer) {
		writeTable(w, "VERSION\tACCEPTED\tOPERATOR\tPATCH ID\tHASH", func(t *tabwriter.Writer) {
			for _, v := range reply.Versions {
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%.12s\n", v.Version, formatUnixMS(v.AcceptedUnixMS), v.Operator, v.PatchID, v.Hash)
			}
		})
	})
}

func (c *cli) diff(client *operator.Client, from, to uint64) error {
	older := operator.Version{Description: json.RawMessage("{}")}
	if from > 0 {
		var err error
		if older, err = c.fetchVersion(client, from); err != nil {
			return err
		}
	}
	newer, err := c.fetchVersion(client, to)
	if err != nil {
		return err
	}
	return c.printDiff(older.Description, newer.Description)
}

func formatUnixMS(unixMS int64) string { return time.UnixMilli(unixMS).UTC().Format(time.RFC3339) }

// writeTable writes a table with aligned columns; rows writes its rows, with cells
// separated by tabs.
func writeTable(w io.Writer, header string, rows func(*tabwriter.Writer)) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, header)
	rows(t)
	t.Flush()
}
