package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/front"
	"github.com/azurehatch/azurehatch/internal/hangup"
	"github.com/azurehatch/azurehatch/internal/settings"
	"github.com/azurehatch/azurehatch/platform"
)

// heapMemoryFraction is the fraction of the machine's memory that is set as the
// memory limit of the Go runtime. The rest is for stacks, socket buffers and the
// runtime.
const heapMemoryFraction = 0.6

// gcPercent is the garbage collection target. Twice the default trades memory for
// processor time: a daemon's live heap is a few MB, so a larger heap costs little
// and halves the number of collections.
const gcPercent = 200

func frontCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := app.Command("front", "Run an entry daemon on the users' platform until SIGTERM. SIGHUP reads the settings again.")
	file := cmd.Flag("settings", "Settings file.").Required().String()
	return cmd.FullCommand(), func() error {
		s, err := readFrontSettings(*file)
		if err != nil {
			return err
		}
		return runFront(*file, s, out)
	}
}

func frontCheckCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := app.GetCommand("settings").Command("check-front", "Check a settings file of an entry daemon.")
	file := cmd.Arg("file", "Settings file.").Required().String()
	return cmd.FullCommand(), func() error {
		s, err := readFrontSettings(*file)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s: settings of instance %s are valid\n", *file, s.Instance.Name)
		return err
	}
}

func readFrontSettings(file string) (settings.Front, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return settings.Front{}, errors.Wrap(err, "read settings")
	}
	return settings.ParseFront(file, text)
}

func runFront(file string, s settings.Front, out io.Writer) error {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return errors.Errorf("log level %q is not one of debug, info, warn, error", s.Log.Level)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapMemoryFraction * float64(s.Machine.Memory.Bytes)))
	log, flush := front.NewLog(out, level)
	defer flush()
	redirectLibraryLog(log)
	signals := hangup.Signals(syscall.SIGTERM, syscall.SIGINT)
	d, err := front.New(front.Options{
		Settings: s, Log: log,
		Store: func(scope tally.Scope, wrap func(net.Conn) net.Conn) front.Store {
			return platform.NewStore(s.Store.Address, platform.StoreOptions{Scope: scope, Wrap: wrap})
		},
		Wire: front.Wire{
			Codec: platform.Codec{}, DecodeConfig: platform.DecodeConfig, DecodeEndpoint: platform.DecodeEndpoint,
			ConfigPrefix: platform.ConfigPrefix, ConfigKey: platform.ConfigKey, EndpointPrefix: platform.EndpointPrefix,
			EvacuationPrefix: platform.EvacuationPrefix, ReadyPath: platform.ReadyPath,
		},
	})
	if err != nil {
		return err
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		reloadFrontSettings(file, d, log)
	}
	// A second interrupt from a terminal ends the process. A second SIGTERM must not cut
	// off the requests that the shutdown waits for.
	signal.Reset(syscall.SIGINT)
	return d.Stop(context.Background())
}

// reloadFrontSettings reads the settings file again and applies the settings that
// may change while a daemon runs.
func reloadFrontSettings(file string, d *front.Daemon, log zerolog.Logger) {
	s, err := readFrontSettings(file)
	if err != nil {
		log.Error().Err(err).Msg("settings not reloaded; the previous settings remain in effect")
		return
	}
	d.Reload(s)
}
