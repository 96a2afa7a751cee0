package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/membership"
)

// countingSender counts the messages to each address.
type countingSender struct{ sent chan string }

func (s countingSender) Gossip(_ context.Context, addr string, _ membership.Message) error {
	s.sent <- addr
	return nil
}

func (countingSender) Forget(string) {}

// Guards against a goroutine and a queue for each address that ever was a member's.
func TestQueuesOfFormerMembersEnd(t *testing.T) {
	defer goleak.VerifyNone(t)
	const members = 30
	s := countingSender{sent: make(chan string, members)}
	f := New(Options{Sender: s, Log: zerolog.Nop()})
	defer f.Close()
	f.idleTime = 20 * time.Millisecond
	for round := range 2 {
		f.mu.Lock()
		for i := range members {
			f.enqueue(membership.Message{Addr: fmt.Sprint("a", i)})
		}
		f.mu.Unlock()
		for range members {
			<-s.sent
		}
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			f.mu.Lock()
			left := len(f.queues)
			f.mu.Unlock()
			if left == 0 {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("round %d: %d queues left of %d members that get no messages", round, left, members)
			}
		}
	}
}
