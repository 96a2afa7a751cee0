// Command azurehatch is the only binary of the router fleet. It contains the daemon,
// the operators' command line, the stand-ins and the load generator.
package main

import (
	"os"

	"github.com/azurehatch/azurehatch/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
