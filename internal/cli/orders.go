package cli

import (
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/azurehatch/azurehatch/internal/admin"
)

func ordersGroup(app *kingpin.Application) *kingpin.CmdClause {
	return parentCommand(app, "orders", "Orders to endpoints and rollouts of model versions.")
}

func ordersListCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := ordersGroup(app).Command("list", "Show plan, progress and open orders of the services.").Default()
	c := addClientFlags(cmd, out)
	service := cmd.Flag("service", "Only this service.").String()
	return cmd.FullCommand(), func() error {
		var result struct {
			Services []admin.ServiceOrders `json:"services"`
		}
		path := "/v1/orders"
		if *service != "" {
			path += "?" + url.Values{"service": {*service}}.Encode()
		}
		if err := c.call("GET", path, nil, &result); err != nil {
			return err
		}
		return c.print(result, func() {
			for _, s := range result.Services {
				printServiceOrders(out, s)
			}
		})
	}
}

func ordersResumeCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := ordersGroup(app).Command("resume", "Go on with the halted rollout of a service.")
	c := addClientFlags(cmd, out)
	service := cmd.Arg("service", "Service name.").Required().String()
	reason := cmd.Flag("reason", "Why the rollout goes on; kept in the audit trail.").Required().String()
	return cmd.FullCommand(), func() error {
		var result struct {
			Resumed bool `json:"resumed"`
		}
		if err := c.call("POST", "/v1/orders/"+url.PathEscape(*service)+"/resume",
			admin.ResumeRequest{Reason: *reason}, &result); err != nil {
			return err
		}
		return c.print(result, func() { fmt.Fprintf(out, "rollout of %s resumed\n", *service) })
	}
}

func printServiceOrders(out io.Writer, s admin.ServiceOrders) {
	fmt.Fprintf(out, "%s: model %q, version %q, adapters %q\n", s.Service, s.Model, s.Version, s.Adapters)
	holder := "no daemon holds the duty"
	if s.Holder != "" {
		holder = fmt.Sprintf("duty held by %s with fencing number %d", s.Holder, s.Fence)
	}
	fmt.Fprintf(out, "  %s\n  %d of %d endpoints ready; orders: %d open, %d of unknown outcome, %d failed\n",
		holder, s.Ready, s.Total, s.Open, s.Unknown, s.Failed)
	if s.IgnoresFencing {
		fmt.Fprintln(out, "  the endpoints ignore fencing numbers; see the risks in the plan")
	}
	if h := s.Halt; h != nil {
		fmt.Fprintf(out, "  halted since %s at version %q: %s\n", h.At.UTC().Format(time.RFC3339), h.Version, h.Reason)
		if h.Resumed {
			fmt.Fprintln(out, "  resumed by an operator; the holder of the duty has not taken notice yet")
		}
	}
	if len(s.Unreachable) > 0 {
		fmt.Fprintf(out, "  no report from: %s\n", strings.Join(s.Unreachable, ", "))
	}
	if len(s.Unhealthy) > 0 {
		fmt.Fprintf(out, "  not healthy: %s\n", strings.Join(s.Unhealthy, ", "))
	}
	for _, o := range s.Orders {
		fmt.Fprintf(out, "  order %d to %s: %s %s is %s since %s %s\n",
			o.ID, o.Endpoint, o.Kind, o.Value, o.State, o.At.UTC().Format(time.RFC3339), o.Detail)
	}
	printPlan(out, s.Plan)
}

// printPlan prints the planned orders and then each risk once, because endpoints of
// the same kind have the same risk text.
func printPlan(out io.Writer, plan []admin.PlannedOrder) {
	if len(plan) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  STEP\tENDPOINT\tORDER\tWAITS FOR")
	var risks []string
	seen := make(map[string]bool)
	for _, p := range plan {
		mark := ""
		if p.Risk != "" {
			mark = " *"
			if !seen[p.Risk] {
				seen[p.Risk] = true
				risks = append(risks, p.Risk)
			}
		}
		fmt.Fprintf(w, "  %d\t%s%s\t%s %s\t%s\n", p.Step, p.Endpoint, mark, p.Kind, p.Value, p.WaitsFor)
	}
	// Flush returns only write errors of out, the command's output, where they show.
	_ = w.Flush()
	for _, r := range risks {
		fmt.Fprintf(out, "  * %s\n", r)
	}
}

// printResultingOrders prints the orders that would be placed after a change of the
// configuration.
func printResultingOrders(out io.Writer, r admin.DiffResult) {
	if r.OrdersError != "" {
		fmt.Fprintf(out, "the orders that would follow are not known: %s\n", r.OrdersError)
	}
	for _, s := range r.Orders {
		fmt.Fprintf(out, "orders that would follow for %s:\n", s.Service)
		printPlan(out, s.Plan)
	}
}
