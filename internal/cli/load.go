package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/load"
)

func loadCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := app.Command("load", "Send a mix of requests to daemons and report latency, goodput, refusals and cut answers.")
	var o load.Options
	cmd.Flag("target", "Base URL of a daemon; repeat for several.").Required().StringsVar(&o.Targets)
	cmd.Flag("key", "API key of a client account; repeat for several.").Envar("AZUREHATCH_KEY").Required().StringsVar(&o.Keys)
	cmd.Flag("model", "Model of the chat completions.").StringVar(&o.Model)
	cmd.Flag("service", "Plain service.").StringVar(&o.Service)
	cmd.Flag("order-path", "Path of the service's non-idempotent call.").StringVar(&o.OrderPath)
	cmd.Flag("rate", "Requests a second.").Default("20").Float64Var(&o.Rate)
	cmd.Flag("duration", "How long requests are sent.").Default("10s").DurationVar(&o.Duration)
	cmd.Flag("swing", "Factor of the rate in the middle third.").Default("1").Float64Var(&o.Swing)
	cmd.Flag("short", "Tokens of a short answer.").Default("16").IntVar(&o.ShortTokens)
	cmd.Flag("long", "Tokens of a long answer.").Default("256").IntVar(&o.LongTokens)
	cmd.Flag("long-share", "Share of long answers among chat completions, 0 to 1.").Default("0.1").Float64Var(&o.LongShare)
	cmd.Flag("stream-share", "Share of streams among chat completions, 0 to 1.").Default("0.5").Float64Var(&o.StreamShare)
	cmd.Flag("plain-share", "Share of plain calls, 0 to 1.").Default("0").Float64Var(&o.PlainShare)
	cmd.Flag("order-share", "Share of non-idempotent calls among plain ones, 0 to 1.").Default("0").Float64Var(&o.OrderShare)
	cmd.Flag("seed", "Seed of the mix.").Default("1").Uint64Var(&o.Seed)
	output := cmd.Flag("output", "json or text.").Default("text").Enum("json", "text")
	return cmd.FullCommand(), func() error {
		o.Progress = func(r load.Report) { fmt.Fprintln(os.Stderr, r.Line()) }
		ctx, cancel := signalContext()
		defer cancel()
		r, err := load.Run(ctx, o)
		if err != nil {
			return err
		}
		if *output == "json" {
			return errors.Wrap(json.NewEncoder(out).Encode(r), "write report")
		}
		return r.WriteText(out)
	}
}
