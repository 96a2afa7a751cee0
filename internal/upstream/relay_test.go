package upstream

import (
	"bytes"
	"testing"
)

type flushBuffer struct{ bytes.Buffer }

func (*flushBuffer) Flush() {}

// Guards against content that is not counted, and so not billed or reserved for, because
// another choice of the same chunk is empty.
func TestContentOfOneChoiceIsCounted(t *testing.T) {
	for chunk, want := range map[string]int64{
		`{"choices":[{"index":0,"delta":{"content":"a"}}]}`:                                      1,
		`{"choices":[{"index":0,"delta":{"content":""}},{"index":1,"delta":{"content":"a"}}]}`:   1,
		`{"choices":[{"index":0,"delta":{"content":"a"}},{"index":1,"delta":{"content":""}}]}`:   1,
		`{"choices":[{"index":0,"delta":{"content":""}},{"index":1,"delta":{"content":""}}]}`:    0,
		`{"choices":[{"index":0,"delta":{"content":"say \"content\":\"\" twice"}}]}`:             1,
		`{"choices":[{"index":0,"delta":{"role":"assistant"}}]}`:                                 0,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"function":{"arguments":"{\"a\""}}]}}]}`: 1,
	} {
		r := &Relay{}
		if err := r.Copy(&flushBuffer{}, bytes.NewBufferString("data: "+chunk+"\n\ndata: [DONE]\n\n")); err != nil {
			t.Fatalf("%s: %v", chunk, err)
		}
		if got := r.Progress().Tokens; got != want {
			t.Errorf("%s: %d content chunks, want %d", chunk, got, want)
		}
	}
}
