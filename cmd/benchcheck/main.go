// Command benchcheck compares benchmark results with the bounds of the project. It is
// a build tool and not part of a release.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/azurehatch/azurehatch/internal/benchcheck"
)

func main() {
	app := kingpin.New("benchcheck", "Compare benchmark output with bounds.")
	var o benchcheck.Options
	app.Flag("bounds", "File of bounds.").Default("bench/bounds.toml").StringVar(&o.BoundsFile)
	app.Flag("json", "Write the results as JSON.").StringVar(&o.JSONFile)
	app.Flag("html", "Write a report.").StringVar(&o.HTMLFile)
	app.Flag("without", "Leave out the bounds whose benchmark contains this; may be repeated.").StringsVar(&o.ExcludedBenchmarks)
	app.Flag("known-red", "File that lists known broken bounds.").StringVar(&o.KnownRedFile)
	app.Arg("results", "Output of go test -bench.").Required().StringVar(&o.InputFile)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := benchcheck.Run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchcheck:", err)
		os.Exit(1)
	}
}
