// Command reviewcases runs the cases of the second review. Each case starts entry daemons as
// processes of their own and plays the platform's store, the workers and the clients.
//
// The exit code is 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// trouble is false if the case runs without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

var record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// note writes a line with the time since the start to record.txt.
func note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%8.3f "+format+"\n", append([]any{time.Since(record.begin).Seconds()}, args...)...)
}

// cleanups end what the case has started.
var cleanups []func()

func cleanUp() {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	cleanups = nil
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	note("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

// finish ends the case with its verdict.
func finish(broken bool, format string, args ...any) {
	code, verdict := 0, "held"
	if broken {
		code, verdict = 1, "BROKEN"
	}
	text := fmt.Sprintf(format, args...)
	note("rule %s: %s", verdict, text)
	fmt.Printf("rule %s: %s\n", verdict, text)
	cleanUp()
	os.Exit(code)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: reviewcases CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(dir string){"shared-connection": sharedConnection, "registration": registration, "prompt-parts": promptParts, "plain-generation": plainGeneration, "prompt-memory": promptMemory}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(2)
	}
	record.begin = time.Now()
	var err error
	if record.file, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	if os.Getenv("KEEP") == "" {
		cleanups = append(cleanups, func() { os.RemoveAll(dir) })
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		fail("interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { fail("over 115 s") })
	note("case %s, disruption %v", os.Args[1], trouble)
	run(dir)
}
