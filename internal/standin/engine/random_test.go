package engine

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// caller is the random behaviour of one caller; times are in milliseconds.
type caller struct {
	Start, LeaveAfter, ReturnAfter int // LeaveAfter, ReturnAfter: 0 means never
	Words, Priority                int
	Resumable, Poison              bool
}

func drawCaller(t *rapid.T) caller {
	draw := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
	return caller{
		Start: draw("start", 40), LeaveAfter: draw("leave", 60), ReturnAfter: draw("back", 30), Words: 1 + draw("words", 15),
		Priority: draw("priority", 3), Resumable: draw("resumable", 1) == 1, Poison: draw("poison", 9) == 9,
	}
}

// run sends the caller's request, and a second one to resume it after a disconnect.
// It returns the received text and whether the stream ended with [DONE].
func (c caller) run(t *testing.T, e *Engine, id, prompt string) (text string, done bool) {
	time.Sleep(time.Duration(c.Start) * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if c.LeaveAfter > 0 {
		time.AfterFunc(time.Duration(c.LeaveAfter)*time.Millisecond, cancel)
	}
	extra := fmt.Sprintf(`,"stream":true,"priority":%d`, c.Priority)
	r := chat(ctx, e, id, prompt, extra, HeaderResumable, fmt.Sprint(c.Resumable))
	ids, chunks, done := parseEvents(r.Body.String())
	text = joinContents(chunks)
	if !r.aborted || c.ReturnAfter == 0 || len(ids) == 0 {
		return text, done
	}
	time.Sleep(time.Duration(c.ReturnAfter) * time.Millisecond)
	r = chat(t.Context(), e, id, "", "", HeaderLastEventID, ids[len(ids)-1])
	_, chunks, done = parseEvents(r.Body.String())
	return text + joinContents(chunks), done
}

// Guards against wrong usage counts, slots that leak or are used twice, and streams
// that end with [DONE] although a part is missing, when callers disconnect and resume
// and the engine crashes.
func TestRandomCallers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		callers := rapid.SliceOfN(rapid.Custom(drawCaller), 1, 12).Draw(rt, "callers")
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = runCallers(t, callers) })
		if len(problems) > 0 {
			rt.Fatal(strings.Join(problems, "\n"))
		}
	})
}

func runCallers(t *testing.T, callers []caller) (problems []string) {
	e := New(Options{
		Slots: 3, InterToken: 2 * time.Millisecond, InterTokenPerSlot: time.Millisecond,
		PrefillTokensPerSecond: 1000, ResumeGrace: 20 * time.Millisecond,
	})
	defer e.Close()
	e.SetFaults(Faults{CrashMarker: "poison", CrashDownMillis: 5})
	var mu sync.Mutex
	addProblem := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		problems = append(problems, fmt.Sprintf(format, args...))
	}
	for i, c := range callers {
		go func() {
			prompt := fmt.Sprintf("caller %d words:%d", i, c.Words)
			if c.Poison {
				prompt += " poison"
			}
			text, done := c.run(t, e, fmt.Sprint(i), prompt)
			want, _ := Answer(strings.Fields(prompt), 0, 0)
			if done && text != strings.Join(want, " ") {
				addProblem("caller %d: complete stream %q, want %q", i, text, strings.Join(want, " "))
			}
		}()
	}
	for range 1000 { // in milliseconds, longer than any caller runs
		time.Sleep(time.Millisecond)
		if l := e.Load(); l.Running < 0 || l.Running > l.Slots {
			addProblem("%d requests run in %d slots", l.Running, l.Slots)
		}
	}
	e.mu.Lock()
	if e.running != 0 || len(e.queue) != 0 || len(e.active) != 0 || len(e.resumable) != 0 {
		addProblem("at the end: %d running, %d queued, %d active, %d resumable, want none",
			e.running, len(e.queue), len(e.active), len(e.resumable))
	}
	e.mu.Unlock()
	byID, total := e.Usage()
	var sum RequestUsage
	for id, u := range byID {
		if u.Completed+u.Cancelled != u.Received || u.Runs > u.Received {
			addProblem("request %s: %+v", id, u)
		}
		sum.Runs += u.Runs
		sum.Completed += u.Completed
		sum.Cancelled += u.Cancelled
		sum.PromptTokens += u.PromptTokens
		sum.CompletionTokens += u.CompletionTokens
	}
	if sum != total {
		addProblem("sum of the requests %+v, total %+v", sum, total)
	}
	return problems
}
