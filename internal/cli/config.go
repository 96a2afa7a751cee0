package cli

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"regexp"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
)

// revisionLine matches the first line of the output of "config show". "config apply"
// reads it, so that an edited file carries the revision on which it is based.
var revisionLine = regexp.MustCompile(`^# revision (\d+)\n`)

func configGroup(app *kingpin.Application) *kingpin.CmdClause {
	return parentCommand(app, "config", "The operators' configuration.")
}

// readConfig reads a configuration file and checks it. The text is returned also if
// it is not valid.
func readConfig(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	_, err = config.Parse(file, text)
	return text, err
}

// baseRevision returns the revision given by the flag, or else that of the file's
// revisionLine.
func baseRevision(flag string, text []byte) (uint64, error) {
	if flag == "" {
		m := revisionLine.FindSubmatch(text)
		if m == nil {
			return 0, errors.New("the file does not start with \"# revision N\"; give the base revision with --base")
		}
		flag = string(m[1])
	}
	base, err := strconv.ParseUint(flag, 10, 64)
	return base, errors.Wrapf(err, "base revision %q", flag)
}

func configCheckCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := configGroup(app).Command("check", "Check a configuration file without applying it.")
	file := cmd.Arg("file", "TOML file, or the JSON file of a platform.").Required().String()
	against := cmd.Flag("against", "JSON file of the version in force, to show what differs from it.").String()
	output := addOutputFlag(cmd)
	return cmd.FullCommand(), func() error {
		text, err := readConfig(*file)
		if isPlatformConfig(text) {
			return checkPlatformConfig(out, *output, text, *against)
		}
		if *against != "" {
			return errUsage
		}
		var errs config.Errors
		if err != nil && !errors.As(err, &errs) {
			return err
		}
		if printErr := printAs(out, *output, map[string]any{"valid": err == nil, "errors": errs}, func() {
			if err == nil {
				fmt.Fprintln(out, "valid")
			}
		}); printErr != nil {
			return printErr
		}
		return err
	}
}

func configDiffCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := configGroup(app).Command("diff", "Show the changes from a revision to a file or to another revision.")
	c := addClientFlags(cmd, out)
	file := cmd.Arg("file", "TOML file; without it, --to is compared.").String()
	base := cmd.Flag("base", "Revision to compare with; 0 is the newest.").Default("0").Uint64()
	to := cmd.Flag("to", "Revision compared with --base if no file is given; 0 is the newest.").Default("0").Uint64()
	return cmd.FullCommand(), func() error {
		req := admin.EditRequest{Base: *base, To: *to}
		if *file != "" {
			text, err := readConfig(*file)
			if err != nil {
				return err
			}
			req.Text = string(text)
		}
		var result admin.DiffResult
		if err := c.call("POST", "/v1/configuration/diff", req, &result); err != nil {
			return err
		}
		return c.print(result, func() {
			printChanges(out, result.Changes)
			printResultingOrders(out, result)
		})
	}
}

// addEditFlags adds the flags of a configuration change to a command.
func addEditFlags(cmd *kingpin.CmdClause) (reason, opID *string, allow *[]string) {
	reason = cmd.Flag("reason", "Why the change is made; kept in the audit trail.").Required().String()
	opID = cmd.Flag("op-id", "Operation id of an attempt whose outcome is unknown, to repeat it safely.").String()
	var names []string
	for _, g := range config.Guards {
		names = append(names, string(g))
	}
	allow = cmd.Flag("allow", "Guard that may be passed; can be repeated.").Enums(names...)
	return reason, opID, allow
}

func toGuards(names []string) []config.Guard {
	var list []config.Guard
	for _, n := range names {
		list = append(list, config.Guard(n))
	}
	return list
}

func printEditResult(out io.Writer, r admin.EditResult) {
	switch {
	case r.Unchanged:
		fmt.Fprintf(out, "no change; revision %d is in force\n", r.Revision)
	case r.Repeated:
		fmt.Fprintf(out, "already accepted as revision %d\n", r.Revision)
	case r.Merged:
		fmt.Fprintf(out, "accepted as revision %d, merged with edits made since the base revision\n", r.Revision)
	default:
		fmt.Fprintf(out, "accepted as revision %d\n", r.Revision)
	}
	printChanges(out, r.Changes)
}

func configApplyCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := configGroup(app).Command("apply", "Apply a configuration file.")
	c := addClientFlags(cmd, out)
	file := cmd.Arg("file", "TOML file.").Required().String()
	base := cmd.Flag("base", "Revision that the file was made from; default is the file's line \"# revision N\".").String()
	reason, opID, allow := addEditFlags(cmd)
	return cmd.FullCommand(), func() error {
		text, err := readConfig(*file)
		if err != nil {
			return err
		}
		revision, err := baseRevision(*base, text)
		if err != nil {
			return err
		}
		var result admin.EditResult
		if err := c.call("POST", "/v1/configuration", admin.EditRequest{Base: revision, Reason: *reason, Text: string(text),
			OpID: *opID, Allow: toGuards(*allow)}, &result); err != nil {
			return err
		}
		return c.print(result, func() { printEditResult(out, result) })
	}
}

func configShowCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := configGroup(app).Command("show", "Print the configuration.")
	c := addClientFlags(cmd, out)
	revision := cmd.Flag("revision", "Revision to print; 0 is the newest.").Default("0").Uint64()
	return cmd.FullCommand(), func() error {
		var result admin.Configuration
		if err := c.call("GET", fmt.Sprintf("/v1/configuration?revision=%d", *revision), nil, &result); err != nil {
			return err
		}
		return c.print(result, func() { fmt.Fprintf(out, "# revision %d\n%s", result.Revision, result.Text) })
	}
}

func configHistoryCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := configGroup(app).Command("history", "List accepted revisions, the newest last.")
	c := addClientFlags(cmd, out)
	limit := cmd.Flag("limit", "Largest number of revisions.").Default("20").Int()
	return cmd.FullCommand(), func() error {
		return c.printAudit("/v1/configuration/history?" + url.Values{"limit": {strconv.Itoa(*limit)}}.Encode())
	}
}

func configRollbackCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := configGroup(app).Command("rollback", "Make a new revision with the content of an earlier one.")
	c := addClientFlags(cmd, out)
	to := cmd.Flag("to", "Revision whose content is restored.").Required().Uint64()
	base := cmd.Flag("base", "Newest revision, as the operator saw it.").Required().Uint64()
	reason, opID, allow := addEditFlags(cmd)
	return cmd.FullCommand(), func() error {
		var result admin.EditResult
		if err := c.call("POST", "/v1/configuration/rollback", admin.EditRequest{Base: *base, To: *to, Reason: *reason,
			OpID: *opID, Allow: toGuards(*allow)}, &result); err != nil {
			return err
		}
		return c.print(result, func() { printEditResult(out, result) })
	}
}
