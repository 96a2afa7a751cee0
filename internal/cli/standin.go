package cli

import (
	"context"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/standin/engine"
	"github.com/azurehatch/azurehatch/internal/standin/platform"
	"github.com/azurehatch/azurehatch/internal/standin/service"
)

// standinShutdownTimeout limits how long a stand-in waits after SIGTERM for requests
// in flight.
const standinShutdownTimeout = 30 * time.Second

// standinFlags holds the flags that all stand-ins have.
type standinFlags struct {
	listen, id, domain *string
}

// standinSubcommand registers a sub-command of "standin" with the common flags;
// listen is the default address.
func standinSubcommand(app *kingpin.Application, name, help, listen string) (*kingpin.CmdClause, standinFlags) {
	parent := app.GetCommand("standin")
	if parent == nil {
		parent = app.Command("standin", "Small emulators of outside systems, for tests and trials.")
	}
	cmd := parent.Command(name, help)
	return cmd, standinFlags{
		listen: cmd.Flag("listen", "Address to listen on; port 0 lets the system choose.").Default(listen).String(),
		id:     cmd.Flag("id", "Instance id, shown in logs and reports.").Default(name + "-1").String(),
		domain: cmd.Flag("domain", "Failure domain, shown in logs and reports.").Default("fd-1").String(),
	}
}

func standinPlatformCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd, flags := standinSubcommand(app, "platform", "Key-value store and instance list.", "127.0.0.1:2379")
	return cmd.FullCommand(), func() error {
		s := platform.New(platform.Options{})
		return serveUntilSignal(flags, cmd.FullCommand(), s, s.Close, out)
	}
}

func standinServiceCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd, flags := standinSubcommand(app, "service", "Plain HTTP service that echoes requests.", "127.0.0.1:9000")
	latency := cmd.Flag("latency", "Time that a request runs.").Default("5ms").Duration()
	slots := cmd.Flag("slots", "Requests that run at once.").Default("64").Int()
	reportLag := cmd.Flag("report-lag", "Age of the load report.").Default("1s").Duration()
	return cmd.FullCommand(), func() error {
		s := service.New(service.Options{
			ID: *flags.id, Domain: *flags.domain, Latency: *latency, Slots: *slots, ReportLag: *reportLag,
		})
		return serveUntilSignal(flags, cmd.FullCommand(), s, s.Close, out)
	}
}

func standinEngineCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd, flags := standinSubcommand(app, "engine", "Language model engine with continuous batching.", "127.0.0.1:8000")
	var o engine.Options
	cmd.Flag("model", "Model loaded at the start; may be repeated.").Default(engine.DefaultModel).StringsVar(&o.Models)
	cmd.Flag("role", "Role at the start.").Default(engine.DefaultRole).StringVar(&o.Role)
	cmd.Flag("slots", "Largest batch.").Default("32").IntVar(&o.Slots)
	cmd.Flag("max-queue", "Requests that may wait; 0 means no limit.").Default("0").IntVar(&o.MaxQueue)
	cmd.Flag("prefill-rate", "Prompt tokens read in a second; 0 means no delay.").Default("5000").
		Float64Var(&o.PrefillTokensPerSecond)
	cmd.Flag("inter-token", "Time between tokens in a batch of one.").Default("20ms").DurationVar(&o.InterToken)
	cmd.Flag("inter-token-per-slot", "Time added for each further request in the batch.").Default("1ms").
		DurationVar(&o.InterTokenPerSlot)
	cmd.Flag("report-lag", "Age of the load report.").Default("1s").DurationVar(&o.ReportLag)
	cmd.Flag("resume-grace", "Time that a resumable generation outlives its connection.").Default("10s").
		DurationVar(&o.ResumeGrace)
	cmd.Flag("order-time", "Time that an order takes.").Default("2s").DurationVar(&o.OrderDuration)
	cmd.Flag("refuse-stale-orders", "Refuse orders with an old fencing number.").BoolVar(&o.RefuseStaleOrders)
	cmd.Flag("words", "Answer length without words:NN in the prompt.").Default("32").IntVar(&o.AnswerWords)
	cmd.Flag("cache-blocks", "Blocks of 16 tokens in the prefix cache.").Default("4096").IntVar(&o.CacheBlocks)
	cmd.Flag("cache-event-lag", "Delay of cache events.").Default("1s").DurationVar(&o.CacheEventLag)
	cmd.Flag("cache-event-gap", "Drop each n-th cache event; 0 drops none.").Default("50").IntVar(&o.CacheEventGap)
	return cmd.FullCommand(), func() error {
		o.ID, o.Domain = *flags.id, *flags.domain
		e := engine.New(o)
		return serveUntilSignal(flags, cmd.FullCommand(), e, e.Close, out)
	}
}

// serveUntilSignal serves h until SIGTERM or SIGINT and then waits up to
// standinShutdownTimeout for requests in flight.
func serveUntilSignal(flags standinFlags, command string, h http.Handler, stop func(), out io.Writer) error {
	defer stop()
	log := zerolog.New(out).With().Timestamp().Str("command", command).
		Str("id", *flags.id).Str("domain", *flags.domain).Logger()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if *flags.listen == "" {
		return errors.New("--listen is empty") // an empty address means all interfaces
	}
	listener, err := net.Listen("tcp", *flags.listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: standinShutdownTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	log.Info().Str("addr", listener.Addr().String()).Msg("listening")
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	log.Info().Msg("stopping")
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), standinShutdownTimeout)
	defer cancelShutdown()
	if err := server.Shutdown(shutdownCtx); err != nil {
		log.Warn().Err(err).Msg("requests still in flight at the shutdown timeout; closing their connections")
		return errors.Wrap(server.Close(), "close")
	}
	log.Info().Msg("stopped")
	return nil
}
