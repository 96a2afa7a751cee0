// Command standins plays the cases of the review: it starts the project's program as
// separate processes between stand-ins of the platform's store, of workers and of clients.
// It exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// caseTimeout bounds a case.
const caseTimeout = 115 * time.Second

// caseDir is the folder of the case, trouble whether its disruption takes place.
var (
	caseDir string
	trouble = os.Getenv("TROUBLE") != "0"
)

var cases = map[string]func(f *fleet) int{
	"oversized":    playOversized,
	"double-slash": playDoubleSlash,
	"poison":       playPoison,
	"moved-poison": playMovedPoison,
	"drill":        playDrill,
}

func must[T any](v T, err error) T {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
	return v
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(2)
	}
	caseDir = os.Args[2]
	f := newFleet()
	f.note("disruption: %v", trouble)
	time.AfterFunc(caseTimeout, func() { f.unusable("it took longer than %v", caseTimeout) })
	f.end(cases[os.Args[1]](f))
}
