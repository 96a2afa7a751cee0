package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Tokens of the largest kind of request on the sheet of mbed-tt.
const (
	planPrompt = 11992
	planOutput = 384
)

// request is one attempt of a client.
type request struct {
	id, method, path, key string
	// tokens is the header X-Token-Count, prefix X-Prompt-Prefix.
	tokens, prefix string
	deadline       time.Duration
	body           string
	header         map[string]string
}

// answer is what the client got.
type answer struct {
	status    int
	signature string
	body      string
	// events and tokens count the events of a stream that were delivered.
	events, tokens int64
	err            error
	retryAfter     string
}

// send sends a request to a machine on a new connection and returns the answer.
func (f *fleet) send(d *daemon, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+500*time.Millisecond)
	defer cancel()
	var a answer
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+d.callers+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		return answer{err: err}
	}
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.tokens != "" {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Count", q.tokens)
		r.Header.Set("X-Prompt-Prefix", q.prefix)
	}
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		a.err = err
	} else {
		defer resp.Body.Close()
		a.status, a.signature, a.retryAfter = resp.StatusCode, resp.Header.Get("X-Response-Signature"), resp.Header.Get("Retry-After")
		a.read(resp)
	}
	f.log("%s to %s: %s %s %s -> status %d, signature %q, %d events, %d tokens, error %v", q.id, d.name, q.method, q.path, q.tokens,
		a.status, a.signature, a.events, a.tokens, a.err)
	return a
}

// read reads the body; of a stream it counts the complete events.
func (a *answer) read(resp *http.Response) {
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		text, err := io.ReadAll(resp.Body)
		a.body, a.err = string(text), err
		return
	}
	lines := bufio.NewReader(resp.Body)
	var tokens int64
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				a.err = err
			}
			return
		}
		switch {
		case strings.HasPrefix(line, "data: "):
			var id string
			_, _ = fmt.Sscanf(line, "data: %s %d", &id, &tokens)
		case line == "\n":
			a.events++
			a.tokens += tokens
		}
	}
}

// generation is a request for a plan with the given numbers of tokens.
func generation(id, key string, prompt, output int64) request {
	return request{
		id: id, method: http.MethodPost, path: "/plan/x", key: key, tokens: fmt.Sprintf("%d,%d", prompt, output),
		prefix: fmt.Sprintf("%x:%d", len(id)*7919+int(prompt), prompt), deadline: 12 * time.Second, body: "plan " + id,
	}
}
