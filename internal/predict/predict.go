// Package predict predicts the output length of a request from its output cap,
// its prompt length, and the history of its account and service.
package predict

import "math/bits"

// Features are the inputs of a prediction.
type Features struct {
	Account string
	Service string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// MaxTokens is the request's cap on output tokens; 0 means none.
	MaxTokens int
}

// Prediction is a predicted output length in tokens.
type Prediction struct {
	// Tokens is the expected length.
	Tokens int
	// P90Tokens is a length that about 90% of such requests do not exceed.
	P90Tokens int
	// Samples is the number of completed requests on which the prediction is
	// based.
	Samples int
}

const (
	// promptBuckets separates prompts by the power of two of their length;
	// the last bucket holds 32k tokens and more.
	promptBuckets = 16
	// capBuckets separates requests by the power of two of their cap, because
	// callers set a large cap for long jobs.
	capBuckets = 16
	// fullConfidenceSamples is the number of samples from which a cell replaces
	// the estimate of the next coarser level instead of being blended with it.
	fullConfidenceSamples = 8
	// defaultTokens is the prediction without history or cap.
	defaultTokens = 256
	// minSampleWeight is the minimum weight of a new sample in a cell's
	// averages, so that they follow changes.
	minSampleWeight = 1.0 / 32
	// defaultMaxCells bounds the memory: 16384 cells of 32 bytes and their keys
	// take less than 4 MB.
	defaultMaxCells = 16384
)

// Options configures a Predictor.
type Options struct {
	// MaxCells bounds the number of history cells; 0 means 16384.
	MaxCells int
}

// cellKey identifies a cell. An empty account and a shape of 0 stand for all
// accounts and all shapes.
type cellKey struct {
	service, account string
	shape            uint16
}

// cell holds the statistics of the output lengths of similar requests.
type cell struct {
	mean, p90 float64 // tokens
	samples   int
	lastUsed  uint64 // value of Predictor.useCount at the last sample
}

// Predictor holds the history of completed requests.
type Predictor struct {
	opts  Options
	cells map[cellKey]*cell
	// keys holds the keys of cells. Eviction removes the least recently used of
	// a few consecutive cells, starting at evictionIndex, which advances with each
	// eviction.
	keys          []cellKey
	evictionIndex int
	useCount      uint64 // number of recorded requests
}

// New returns an empty Predictor.
func New(opts Options) *Predictor {
	if opts.MaxCells <= 0 {
		opts.MaxCells = defaultMaxCells
	}
	return &Predictor{opts: opts, cells: make(map[cellKey]*cell)}
}

// Predict returns the predicted output length of a request.
func (p *Predictor) Predict(f Features) Prediction {
	prediction := Prediction{Tokens: defaultTokens, P90Tokens: 2 * defaultTokens}
	mean, p90 := float64(defaultTokens), float64(2*defaultTokens)
	if f.MaxTokens > 0 {
		mean = min(mean, float64(f.MaxTokens))
		p90 = float64(f.MaxTokens)
	}
	for _, key := range levels(f) {
		c := p.cells[key]
		if c == nil {
			continue
		}
		w := min(1, float64(c.samples)/fullConfidenceSamples)
		mean += w * (c.mean - mean)
		p90 += w * (c.p90 - p90)
		prediction.Samples = c.samples
	}
	prediction.Tokens, prediction.P90Tokens = int(mean+0.5), int(p90+0.5)
	if f.MaxTokens > 0 {
		prediction.Tokens, prediction.P90Tokens =
			min(prediction.Tokens, f.MaxTokens), min(prediction.P90Tokens, f.MaxTokens)
	}
	prediction.Tokens = max(prediction.Tokens, 1)
	prediction.P90Tokens = max(prediction.P90Tokens, prediction.Tokens)
	return prediction
}

// Record adds the output length of a completed request to the history. Truncated
// and cancelled answers must not be recorded: they would bias predictions low.
func (p *Predictor) Record(f Features, tokens int) {
	p.useCount++
	for _, key := range levels(f) {
		c := p.cells[key]
		if c == nil {
			c = p.insert(key)
		}
		c.lastUsed = p.useCount
		c.add(float64(tokens))
	}
}

// Cells returns the number of history cells in use.
func (p *Predictor) Cells() int { return len(p.cells) }

// levels returns the keys of a request's history cells from coarse to fine.
func levels(f Features) [3]cellKey {
	s := requestShape(f)
	return [3]cellKey{
		{service: f.Service},
		{service: f.Service, shape: s},
		{service: f.Service, account: f.Account, shape: s},
	}
}

// requestShape returns the bucket of the request's prompt length and cap. It is
// never 0, which stands for all shapes.
func requestShape(f Features) uint16 {
	prompt := min(bits.Len(uint(max(f.PromptTokens, 0))), promptBuckets-1)
	limit := min(bits.Len(uint(max(f.MaxTokens, 0))), capBuckets-1)
	return uint16(1 + prompt*capBuckets + limit)
}

func (c *cell) add(x float64) {
	c.samples++
	w := max(minSampleWeight, 1/float64(c.samples))
	c.mean += w * (x - c.mean)
	if c.samples == 1 {
		c.p90 = x
		return
	}
	// Stochastic approximation of the 0.9 quantile: a larger sample raises the
	// estimate by up to 9 steps, a smaller one lowers it by up to 1 step.
	step := w * max(c.mean, 1) / 2
	if x > c.p90 {
		c.p90 = min(x, c.p90+9*step)
	} else {
		c.p90 = max(x, c.p90-step)
	}
}

// insert adds a cell. If the predictor is full, it evicts the least recently used
// of evictionSample cells.
func (p *Predictor) insert(key cellKey) *cell {
	const evictionSample = 8
	c := &cell{}
	p.cells[key] = c
	if len(p.keys) < p.opts.MaxCells {
		p.keys = append(p.keys, key)
		return c
	}
	victim := p.evictionIndex
	for i := range evictionSample {
		at := (p.evictionIndex + i) % len(p.keys)
		if p.cells[p.keys[at]].lastUsed < p.cells[p.keys[victim]].lastUsed {
			victim = at
		}
	}
	p.evictionIndex = (p.evictionIndex + evictionSample) % len(p.keys)
	delete(p.cells, p.keys[victim])
	p.keys[victim] = key
	return c
}
