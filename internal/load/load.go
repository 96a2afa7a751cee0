// Package load generates load: it sends a mix of requests to daemons at a given rate
// and reports latency percentiles, goodput, refusals by type and truncated answers.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Options configures the load.
type Options struct {
	// Targets are base URLs of daemons, used in rotation.
	Targets []string
	// Keys are API keys of client accounts. Each request uses a random one.
	Keys []string
	// Model is the model of the chat completions. Service is the plain service of
	// the plain calls, and OrderPath the path of its non-idempotent orders.
	Model, Service, OrderPath string
	// Rate is the number of requests per second.
	Rate float64
	// Duration is how long requests are sent.
	Duration time.Duration
	// Swing multiplies Rate in the middle third of Duration; 0 means 1.
	Swing float64
	// ShortTokens and LongTokens are the numbers of tokens of short and long answers.
	ShortTokens, LongTokens int
	// LongShare, StreamShare, PlainShare and OrderShare are shares from 0 to 1:
	// long answers and streams among chat completions, plain calls among all
	// requests, and non-idempotent orders among plain calls.
	LongShare, StreamShare, PlainShare, OrderShare float64
	// MaxInFlight is the maximum number of requests in flight, above which requests
	// are counted as unsent; 0 means 2000.
	MaxInFlight int
	// Seed is the seed of the random mix.
	Seed uint64
	// Progress, if not nil, is called once per second with the current report.
	Progress func(Report)
}

// Validate returns an error if an option is missing or out of range.
func (o Options) Validate() error {
	switch {
	case len(o.Targets) == 0:
		return errors.New("no target given")
	case len(o.Keys) == 0:
		return errors.New("no API key given")
	case o.Rate <= 0 || o.Duration <= 0:
		return errors.New("rate and duration must be positive")
	case o.Model == "" && o.PlainShare < 1:
		return errors.New("no model given for chat completions")
	case o.Service == "" && o.PlainShare > 0:
		return errors.New("no service given for plain calls")
	}
	for name, share := range map[string]float64{
		"long": o.LongShare, "stream": o.StreamShare, "plain": o.PlainShare, "order": o.OrderShare,
	} {
		if share < 0 || share > 1 {
			return errors.Errorf("share %q must be between 0 and 1", name)
		}
	}
	return nil
}

const (
	defaultMaxInFlight = 2000
	progressInterval   = time.Second
)

// Run sends requests for Options.Duration or until ctx is cancelled, waits for the
// requests in flight and returns the report.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Validate(); err != nil {
		return Report{}, err
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	if o.Swing == 0 {
		o.Swing = 1
	}
	r := &runner{
		opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), stats: newStats(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.MaxInFlight, DisableCompression: true}},
	}
	defer r.client.CloseIdleConnections()
	r.run(ctx)
	return r.stats.report(time.Since(r.started)), nil
}

// runner is the state of one Run.
type runner struct {
	opts    Options
	rng     *rand.Rand
	client  *http.Client
	stats   *stats
	started time.Time
	wg      sync.WaitGroup
}

func (r *runner) run(ctx context.Context) {
	r.started = time.Now()
	stopProgress := r.startProgress()
	defer stopProgress()
	limiter := rate.NewLimiter(rate.Limit(r.opts.Rate), 1)
	slots := make(chan struct{}, r.opts.MaxInFlight)
	for n := 0; ; n++ {
		elapsed := time.Since(r.started)
		if elapsed >= r.opts.Duration {
			break
		}
		limiter.SetLimit(rate.Limit(r.rateAt(elapsed)))
		if limiter.Wait(ctx) != nil {
			break
		}
		req := r.drawRequest(n)
		select {
		case slots <- struct{}{}:
		default:
			r.stats.countUnsent()
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer func() { <-slots }()
			r.send(ctx, req)
		}()
	}
	r.wg.Wait()
}

// rateAt returns the request rate. Options.Swing applies in the middle third of the
// run.
func (r *runner) rateAt(elapsed time.Duration) float64 {
	third := r.opts.Duration / 3
	if elapsed >= third && elapsed < 2*third {
		return r.opts.Rate * r.opts.Swing
	}
	return r.opts.Rate
}

// startProgress starts the calls of Options.Progress. stop waits for their end.
func (r *runner) startProgress() (stop func()) {
	if r.opts.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.opts.Progress(r.stats.report(time.Since(r.started)))
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		wg.Wait()
	}
}
