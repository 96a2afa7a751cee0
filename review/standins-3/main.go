//go:build review3

package main

import (
	"fmt"
	"os"
)

// cases are the scripts, by the number of their folder. Each returns what broke the rule, empty
// if it held; an error means that the case could not run.
var cases = map[string]func(w *world) (broken string, err error){
	"odd-entry":    oddEntry,
	"bad-release":  badRelease,
	"dropped-key":  droppedKey,
	"drill-term":   budgetDrill("term"),
	"drill-kill":   budgetDrill("kill"),
	"drill-freeze": budgetDrill("freeze"),
}

func main() {
	run, ok := cases[os.Args[1]]
	if len(os.Args) != 3 || !ok {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := run(w)
	if err != nil {
		broken = "could not run: " + err.Error()
	}
	w.note("verdict: %s", broken)
	logs := os.Getenv("REVIEW_KEEP_LOGS")
	if logs != "" {
		_ = os.CopyFS(logs, os.DirFS(w.dir))
	}
	w.close()
	switch {
	case err != nil:
		fmt.Println(broken)
		os.Exit(2)
	case broken != "":
		fmt.Println("the rule was broken:", broken)
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
