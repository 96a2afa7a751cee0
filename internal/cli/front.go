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
	source := frontSettingsSource{file: cmd.Flag("settings", "Settings file.").Required().String(), overrides: overrideFlags(cmd)}
	return cmd.FullCommand(), func() error {
		s, err := source.read()
		if err != nil {
			return err
		}
		return runFront(source, s, out)
	}
}

func frontCheckCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := app.GetCommand("settings").Command("check-front", "Check a settings file of an entry daemon.")
	source := frontSettingsSource{file: cmd.Arg("file", "Settings file.").Required().String(), overrides: overrideFlags(cmd)}
	return cmd.FullCommand(), func() error {
		s, err := source.read()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s: settings of instance %s are valid\n", *source.file, s.Instance.Name)
		return err
	}
}

// frontSettingsSource is where the settings of an entry daemon come from.
type frontSettingsSource struct {
	file      *string
	overrides *settings.Overrides
}

// overrideFlags adds the flags, and their environment variables, of settings that only some deployments have.
func overrideFlags(cmd *kingpin.CmdClause) *settings.Overrides {
	var o settings.Overrides
	for _, f := range []struct {
		name, envar, help string
		to                *string
	}{
		{"regions", "AZUREHATCH_REGIONS", "JSON object with the region of each failure domain; replaces instance.regions.", &o.Regions},
		{"link-mbps", "AZUREHATCH_LINK_MBPS", "Replaces machine.link_mbps.", &o.LinkMbps},
		{"evacuation-ms", "AZUREHATCH_EVACUATION_MS", "Replaces bounds.evacuation, in milliseconds.", &o.EvacuationMs},
		{"cold-ratio", "AZUREHATCH_COLD_RATIO", "Replaces bounds.cold_ratio and enables pace.", &o.ColdRatio},
		{"cold-slack", "AZUREHATCH_COLD_SLACK", "Replaces bounds.cold_slack.", &o.ColdSlack},
	} {
		cmd.Flag(f.name, f.help).Envar(f.envar).StringVar(f.to)
	}
	return &o
}

// read reads the settings file and applies the overrides.
func (c frontSettingsSource) read() (settings.Front, error) {
	text, err := os.ReadFile(*c.file)
	if err != nil {
		return settings.Front{}, errors.Wrap(err, "read settings")
	}
	s, err := settings.ParseFront(*c.file, text)
	if err != nil {
		return settings.Front{}, err
	}
	return s.Override(*c.overrides)
}

func runFront(source frontSettingsSource, s settings.Front, out io.Writer) error {
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
		reloadFrontSettings(source, d, log)
	}
	// A second interrupt from a terminal ends the process. A second SIGTERM must not cut
	// off the requests that the shutdown waits for.
	signal.Reset(syscall.SIGINT)
	return d.Stop(context.Background())
}

// reloadFrontSettings reads the settings file again and applies the settings that
// may change while a daemon runs.
func reloadFrontSettings(source frontSettingsSource, d *front.Daemon, log zerolog.Logger) {
	s, err := source.read()
	if err != nil {
		log.Error().Err(err).Msg("settings not reloaded; the previous settings remain in effect")
		return
	}
	d.Reload(s)
}
