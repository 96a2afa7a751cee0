// Package cli implements the command line of azurehatch: its sub-commands, their
// flags and the exit codes.
package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of the binary.
const (
	ExitOK = 0
	// ExitFailure means that the command was understood and failed.
	ExitFailure = 1
	// ExitUsage means that the command line or an input file is wrong.
	ExitUsage = 2
)

// Version is the version printed by "azurehatch version".
const Version = "0.1.0"

// commandFunc registers a sub-command with app and returns its full name and the
// function that runs it.
type commandFunc func(app *kingpin.Application, out io.Writer) (name string, run func() error)

var commands = []commandFunc{
	versionCommand, serveCommand, frontCommand, devCommand, loadCommand, settingsPrintCommand, settingsCheckCommand,
	frontCheckCommand,
	configCheckCommand, configDiffCommand, configApplyCommand, configShowCommand, configHistoryCommand,
	configRollbackCommand,
	auditCommand, accountListCommand, accountShowCommand, accountTopUpCommand, fleetStatusCommand,
	ordersListCommand, ordersResumeCommand,
	standinPlatformCommand, standinEngineCommand, standinServiceCommand,
}

// exitPanic is the panic value that ends the command line after kingpin has printed
// help or completions; otherwise the command itself would run after its help. The
// value is the exit code.
type exitPanic int

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) (code int) {
	defer func() {
		if p := recover(); p != nil {
			t, ok := p.(exitPanic)
			if !ok {
				panic(p)
			}
			code = int(t)
		}
	}()
	app := kingpin.New("azurehatch", "A router fleet for prepaid token budgets.")
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(func(code int) { panic(exitPanic(code)) })
	app.HelpFlag.Short('h')
	runByName := make(map[string]func() error)
	for _, c := range commands {
		name, run := c(app, out)
		runByName[name] = run
	}
	selected, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "azurehatch: %v\n", err)
		return ExitUsage
	}
	run, ok := runByName[selected]
	if !ok {
		return ExitOK
	}
	if err := run(); err != nil {
		fmt.Fprintf(errOut, "azurehatch: %v\n", err)
		return exitCode(err)
	}
	return ExitOK
}

func versionCommand(app *kingpin.Application, out io.Writer) (string, func() error) {
	cmd := app.Command("version", "Print the version.")
	return cmd.FullCommand(), func() error {
		_, err := fmt.Fprintln(out, "azurehatch", Version)
		return err
	}
}
