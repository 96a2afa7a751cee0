package cli

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/audit"
)

// printAudit requests and prints a page of the audit trail. It returns an error if
// the trail is not intact.
func (c *client) printAudit(path string) error {
	var page admin.AuditPage
	if err := c.call("GET", path, nil, &page); err != nil {
		return err
	}
	if err := c.print(page, func() { printAuditEntries(c.out, page.Entries) }); err != nil {
		return err
	}
	if page.Broken != "" {
		return fmt.Errorf("the audit trail is not intact: %s", page.Broken)
	}
	return nil
}

func printAuditEntries(out io.Writer, entries []audit.Entry) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "SEQ\tTIME\tOFFICE\tACTOR\tKIND\tREVISION\tRESULT\tSUBJECTS\tREASON\tDETAIL")
	for _, e := range entries {
		subject := ""
		if len(e.Subjects) > 0 {
			subject = e.Subjects[0].Kind + " " + e.Subjects[0].Name
		}
		if more := len(e.Subjects) - 1 + e.MoreSubjects; more > 0 {
			subject += fmt.Sprintf(" and %d more", more)
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", e.Seq, e.At.Format(time.RFC3339), e.Team, e.Actor,
			e.Kind, e.Revision, e.Result, subject, e.Reason, e.Detail)
	}
}

func auditCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := app.Command("audit", "Query the audit trail; the newest entry is last.")
	c := addClientFlags(cmd, out)
	values := make(map[string]*string)
	for _, name := range []string{"actor", "office", "account", "service", "kind", "result"} {
		values[name] = cmd.Flag(name, "Only entries of this "+name+".").String()
	}
	values["from"] = cmd.Flag("from", "Only entries at or after this time (RFC 3339).").String()
	values["to"] = cmd.Flag("to", "Only entries before this time (RFC 3339).").String()
	values["before"] = cmd.Flag("before", "Only entries before this sequence number.").String()
	values["limit"] = cmd.Flag("limit", "Largest number of entries.").Default("100").String()
	return cmd.FullCommand(), func() error {
		query := make(url.Values)
		for name, v := range values {
			if *v != "" {
				query.Set(name, *v)
			}
		}
		return c.printAudit("/v1/audit?" + query.Encode())
	}
}

func printAccounts(out io.Writer, accounts []admin.Account) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "ACCOUNT\tWEIGHT\tBUDGET\tPREPAID\tSPENT\tGRANTED\tAVAILABLE\tDISPUTED")
	for _, a := range accounts {
		for _, b := range a.Budgets {
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\n",
				a.Name, a.Weight, b.Name, b.Prepaid, b.Spent, b.Granted, b.Available, b.Disputed)
		}
	}
}

func accountGroup(app *kingpin.Application) *kingpin.CmdClause {
	return parentCommand(app, "account", "Client accounts and their budgets.")
}

func accountListCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := accountGroup(app).Command("list", "List all accounts with their budgets.")
	c := addClientFlags(cmd, out)
	return cmd.FullCommand(), func() error {
		var result struct {
			Accounts []admin.Account `json:"accounts"`
		}
		if err := c.call("GET", "/v1/accounts", nil, &result); err != nil {
			return err
		}
		return c.print(result, func() { printAccounts(out, result.Accounts) })
	}
}

func accountShowCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := accountGroup(app).Command("show", "Show one account.")
	c := addClientFlags(cmd, out)
	name := cmd.Arg("account", "Account name.").Required().String()
	return cmd.FullCommand(), func() error {
		var account admin.Account
		if err := c.call("GET", "/v1/accounts/"+url.PathEscape(*name), nil, &account); err != nil {
			return err
		}
		return c.print(account, func() { printAccounts(out, []admin.Account{account}) })
	}
}

func accountTopUpCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := accountGroup(app).Command("topup", "Add prepaid tokens to a budget.")
	c := addClientFlags(cmd, out)
	name := cmd.Arg("account", "Account name.").Required().String()
	budget := cmd.Arg("budget", "Budget name.").Required().String()
	tokens := cmd.Arg("tokens", "Number of tokens.").Required().Int64()
	reason := cmd.Flag("reason", "Why the tokens are added; kept in the audit trail.").Required().String()
	opID := cmd.Flag("op-id", "Operation id of an attempt whose outcome is unknown, to repeat it safely.").String()
	return cmd.FullCommand(), func() error {
		var result admin.TopUpResult
		if err := c.call("POST", "/v1/accounts/"+url.PathEscape(*name)+"/topup",
			admin.TopUpRequest{Budget: *budget, Tokens: *tokens, Reason: *reason, OpID: *opID}, &result); err != nil {
			return err
		}
		return c.print(result, func() {
			fmt.Fprintf(out, "%s/%s: prepaid %d, available %d\n", *name, *budget, result.Budget.Prepaid, result.Budget.Available)
		})
	}
}

func fleetStatusCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := parentCommand(app, "fleet", "The fleet of daemons and endpoints.").
		Command("status", "Show daemons and their configuration revisions.")
	c := addClientFlags(cmd, out)
	return cmd.FullCommand(), func() error {
		var status admin.FleetStatus
		if err := c.call("GET", "/v1/fleet", nil, &status); err != nil {
			return err
		}
		return c.print(status, func() {
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			defer w.Flush()
			fmt.Fprintln(w, "DAEMON\tDOMAIN\tSTATE\tREVISION\tAGE")
			for _, d := range status.Daemons {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%ss\n", d.ID, d.Domain, d.State, d.Revision,
					strconv.FormatFloat(d.AgeSeconds, 'f', 1, 64))
			}
		})
	}
}
