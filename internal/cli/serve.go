package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/daemon"
	"github.com/azurehatch/azurehatch/internal/dev"
	"github.com/azurehatch/azurehatch/internal/ledger"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp"
	"github.com/azurehatch/azurehatch/internal/settings"
)

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Errorf("log level %q is not one of debug, info, warn, error", level)
	}
	return zerolog.New(os.Stderr).Level(l).With().Timestamp().Logger(), nil
}

// signalContext returns a context that is cancelled on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func serveCommand(app *kingpin.Application, _ io.Writer) (string, func() error) {
	cmd := app.Command("serve", "Run a daemon until SIGTERM. A second signal ends it at once.")
	file := cmd.Flag("settings", "Settings file.").Required().String()
	return cmd.FullCommand(), func() error {
		s, err := readSettings(*file)
		if err != nil {
			return err
		}
		return serve(s)
	}
}

// serve runs a daemon until a signal arrives or its instance id turns out to have
// been used by another process.
func serve(s settings.Settings) error {
	log, err := newLogger(s.Log.Level)
	if err != nil {
		return err
	}
	redirectLibraryLog(log)
	store, err := etcdhttp.New(etcdhttp.Options{Addrs: s.Platform.Addresses, CallTimeout: s.Platform.Timeout.Duration})
	if err != nil {
		return err
	}
	defer store.Close()
	ctx, cancel := signalContext()
	defer cancel()
	d, err := daemon.New(daemon.Options{Settings: s, Store: daemon.LimitStoreCalls(store, s.Platform), Log: log})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-d.Failed():
		d.Close()
		return errors.Wrap(ledger.ErrIDReused, s.Instance.ID)
	}
	cancel() // restores the default handling, so that a second signal ends the process
	return d.Stop(context.Background())
}

func devCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := app.Command("dev", "Run a whole fleet in one process on loopback.")
	name := cmd.Flag("deployment", "Shape of the fleet: "+strings.Join(dev.DeploymentNames(), " or ")+".").
		Default("maracas").String()
	port := cmd.Flag("port", "Callers' port of the first daemon; 0 lets the system choose.").Default("8080").Int()
	level := cmd.Flag("log-level", "debug, info, warn or error.").Default("warn").String()
	demo := cmd.Flag("demo", "Send a few requests, show what came back and stop.").Bool()
	return cmd.FullCommand(), func() error {
		log, err := newLogger(*level)
		if err != nil {
			return err
		}
		deployment, err := dev.DeploymentByName(*name)
		if err != nil {
			return err
		}
		f, err := dev.Start(dev.Options{Deployment: deployment, Port: *port, Log: log})
		if err != nil {
			return err
		}
		defer f.Close()
		if *demo {
			ctx, cancel := signalContext()
			defer cancel()
			return f.Demo(ctx, out)
		}
		for i, d := range f.Daemons {
			fmt.Fprintf(out, "daemon %d  callers http://%s  admin http://%s\n", i+1, d.CallersAddr(), d.AdminAddr())
		}
		fmt.Fprintf(out, "\nTry:\n\n%s\n\nStop with Ctrl-C.\n", f.CurlCommand())
		ctx, cancel := signalContext()
		defer cancel()
		<-ctx.Done()
		return nil
	}
}

func settingsPrintCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	parent := app.GetCommand("settings")
	if parent == nil {
		parent = app.Command("settings", "Settings of one process.")
	}
	cmd := parent.Command("print", "Print each key with its default and its meaning.")
	return cmd.FullCommand(), func() error {
		text, err := settings.Default().Format()
		if err != nil {
			return err
		}
		_, err = out.Write(text)
		return err
	}
}

func settingsCheckCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	parent := app.GetCommand("settings")
	cmd := parent.Command("check", "Check a settings file.")
	file := cmd.Arg("file", "Settings file.").Required().String()
	return cmd.FullCommand(), func() error {
		s, err := readSettings(*file)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s: settings of instance %s are valid\n", *file, s.Instance.ID)
		return err
	}
}

func readSettings(file string) (settings.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, errors.Wrap(err, "read settings")
	}
	return settings.Parse(file, text)
}
