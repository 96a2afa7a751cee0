// Package predict predicts the output length of a request from its cap, from
// the history of its account and service, and from its prompt length.
package predict

import "math/bits"

// Features are the inputs of a prediction.
type Features struct {
	Account string
	Service string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxTokens is the request's cap on the answer; 0 means none.
	MaxTokens int
}

// Prediction is a predicted output length.
type Prediction struct {
	// Tokens is the expected length.
	Tokens int
	// High is a length that about 90% of such requests do not exceed.
	P90Tokens int
	// Samples is the number of finished requests behind the prediction.
	Samples int
}

const (
	// promptBuckets separates prompts by the power of two of their length;
	// the last bucket holds 32k tokens and more.
	promptBuckets = 16
	// capBuckets separates requests by the power of two of their cap, because
	// callers set a large cap for long jobs.
	capBuckets = 16
	// fullConfidence is the number of samples at which a cell no longer
	// relies on the coarser level above it.
	fullConfidence = 8
	// defaultTokens is the prediction without any history or cap.
	defaultTokens = 256
	// decay is the weight of a new sample in a full cell.
	decay = 1.0 / 32
	// defaultMaxCells bounds the memory: 16384 cells of 32 bytes plus keys
	// stay below 4 MB.
	defaultMaxCells = 16384
)

// Options configures a Predictor.
type Options struct {
	// MaxCells bounds the number of history cells; 0 means 16384.
	MaxCells int
}

type cellKey struct {
	service, account string
	shape            uint16
}

type cell struct {
	mean, high float64
	samples    int
	used       uint64
}

// Predictor holds the history of finished requests.
type Predictor struct {
	opts  Options
	cells map[cellKey]*cell
	// order holds the keys of cells; eviction takes the least recently used
	// of a few cells at the rotating position hand.
	order []cellKey
	hand  int
	clock uint64
}

// New returns an empty Predictor.
func New(opts Options) *Predictor {
	if opts.MaxCells <= 0 {
		opts.MaxCells = defaultMaxCells
	}
	return &Predictor{opts: opts, cells: make(map[cellKey]*cell)}
}

// Predict returns the predicted output length.
func (p *Predictor) Predict(f Features) Prediction {
	out := Prediction{Tokens: defaultTokens, P90Tokens: 2 * defaultTokens}
	mean, high := float64(defaultTokens), float64(2*defaultTokens)
	if f.MaxTokens > 0 {
		mean = min(mean, float64(f.MaxTokens))
		high = float64(f.MaxTokens)
	}
	for _, key := range levels(f) {
		c := p.cells[key]
		if c == nil {
			continue
		}
		w := min(1, float64(c.samples)/fullConfidence)
		mean += w * (c.mean - mean)
		high += w * (c.high - high)
		out.Samples = c.samples
	}
	out.Tokens, out.P90Tokens = int(mean+0.5), int(high+0.5)
	if f.MaxTokens > 0 {
		out.Tokens, out.P90Tokens = min(out.Tokens, f.MaxTokens), min(out.P90Tokens, f.MaxTokens)
	}
	out.Tokens = max(out.Tokens, 1)
	out.P90Tokens = max(out.P90Tokens, out.Tokens)
	return out
}

// Finished records the output length of a request that completed. Truncated
// and cancelled answers must not be recorded, because they are too short.
func (p *Predictor) Record(f Features, tokens int) {
	p.clock++
	for _, key := range levels(f) {
		c := p.cells[key]
		if c == nil {
			c = p.insert(key)
		}
		c.used = p.clock
		c.add(float64(tokens))
	}
}

// Cells returns the number of history cells in use.
func (p *Predictor) Cells() int { return len(p.cells) }

// levels lists the history cells of a request from coarse to fine.
func levels(f Features) [3]cellKey {
	s := shape(f)
	return [3]cellKey{
		{service: f.Service},
		{service: f.Service, shape: s},
		{service: f.Service, account: f.Account, shape: s},
	}
}

// shape maps prompt length and cap to a small number; 0 is the cell of all
// shapes.
func shape(f Features) uint16 {
	prompt := min(bits.Len(uint(max(f.PromptTokens, 0))), promptBuckets-1)
	limit := min(bits.Len(uint(max(f.MaxTokens, 0))), capBuckets-1)
	return uint16(1 + prompt*capBuckets + limit)
}

func (c *cell) add(x float64) {
	c.samples++
	w := max(decay, 1/float64(c.samples))
	c.mean += w * (x - c.mean)
	if c.samples == 1 {
		c.high = x
		return
	}
	// Stochastic approximation of the 0.9 quantile: up by 9 steps for a
	// larger sample, down by 1 for a smaller one.
	step := w * max(c.mean, 1) / 2
	if x > c.high {
		c.high = min(x, c.high+9*step)
	} else {
		c.high = max(x, c.high-step)
	}
}

// insert adds a cell and evicts the least recently used of evictionSample
// cells if the predictor is full.
func (p *Predictor) insert(key cellKey) *cell {
	const evictionSample = 8
	c := &cell{}
	p.cells[key] = c
	if len(p.order) < p.opts.MaxCells {
		p.order = append(p.order, key)
		return c
	}
	victim := p.hand
	for i := range evictionSample {
		at := (p.hand + i) % len(p.order)
		if p.cells[p.order[at]].used < p.cells[p.order[victim]].used {
			victim = at
		}
	}
	p.hand = (p.hand + evictionSample) % len(p.order)
	delete(p.cells, p.order[victim])
	p.order[victim] = key
	return c
}
