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

// caller is one random caller; the times are milliseconds.
type caller struct {
	Start, Leave, Back int // Leave and Back: 0 means never
	Words, Priority    int
	Resumable, Poison  bool
}

func drawCaller(t *rapid.T) caller {
	n := func(name string, high int) int { return rapid.IntRange(0, high).Draw(t, name) }
	return caller{
		Start: n("start", 40), Leave: n("leave", 60), Back: n("back", 30), Words: 1 + n("words", 15),
		Priority: n("priority", 3), Resumable: n("resumable", 1) == 1, Poison: n("poison", 9) == 9,
	}
}

// play sends the caller's requests and returns the text received, and whether
// it looked complete.
func (c caller) play(t *testing.T, e *Engine, id, prompt string) (text string, done bool) {
	time.Sleep(time.Duration(c.Start) * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if c.Leave > 0 {
		time.AfterFunc(time.Duration(c.Leave)*time.Millisecond, cancel)
	}
	extra := fmt.Sprintf(`,"stream":true,"priority":%d`, c.Priority)
	r := chat(ctx, e, id, prompt, extra, HeaderResumable, fmt.Sprint(c.Resumable))
	ids, chunks, done := events(r.Body.String())
	text = contents(chunks)
	if !r.aborted || c.Back == 0 || len(ids) == 0 {
		return text, done
	}
	time.Sleep(time.Duration(c.Back) * time.Millisecond)
	r = chat(t.Context(), e, id, "", "", HeaderLastEventID, ids[len(ids)-1])
	_, chunks, done = events(r.Body.String())
	return text + contents(chunks), done
}

// Guards against counts that drift from what ran, slots that are lost or used
// twice, and complete-looking streams with a part missing, when callers leave
// and come back and the engine crashes.
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
	report := func(format string, args ...any) {
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
			text, done := c.play(t, e, fmt.Sprint(i), prompt)
			want, _ := Answer(strings.Fields(prompt), 0, 0)
			if done && text != strings.Join(want, " ") {
				report("caller %d: complete stream %q, want %q", i, text, strings.Join(want, " "))
			}
		}()
	}
	for range 1000 { // far more milliseconds than the callers need
		time.Sleep(time.Millisecond)
		if l := e.Load(); l.Running < 0 || l.Running > l.Slots {
			report("%d requests run in %d slots", l.Running, l.Slots)
		}
	}
	e.mu.Lock()
	if e.running != 0 || len(e.queue) != 0 || len(e.active) != 0 || len(e.byID) != 0 {
		report("left over: %d running, %d queued, %d active, %d resumable", e.running, len(e.queue), len(e.active), len(e.byID))
	}
	e.mu.Unlock()
	byID, total := e.Usage()
	var sum RequestUsage
	for id, u := range byID {
		if u.Completed+u.Cancelled != u.Received || u.Runs > u.Received {
			report("request %s: %+v", id, u)
		}
		sum.Runs += u.Runs
		sum.Completed += u.Completed
		sum.Cancelled += u.Cancelled
		sum.PromptTokens += u.PromptTokens
		sum.CompletionTokens += u.CompletionTokens
	}
	if sum != total {
		report("sum of the requests %+v, total %+v", sum, total)
	}
	return problems
}
