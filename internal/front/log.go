package front

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Limits of the log.
const (
	// logBuffer is the number of lines that are buffered for a slow writer;
	// further lines are dropped and counted.
	logBuffer = 4096
	// logPoll is the interval at which buffered lines are written.
	logPoll = 20 * time.Millisecond
	// Per level and logPeriod, the first logBurst lines are written, then one
	// in logSample.
	logBurst  = 400
	logPeriod = time.Second
	logSample = 20
)

// NewLog returns a logger of JSON lines that never blocks: under load it samples
// lines of the levels debug and info, and it drops lines that out does not accept
// in time. The function flush writes the buffered lines and closes the logger.
func NewLog(out io.Writer, level zerolog.Level) (log zerolog.Logger, flush func()) {
	var dropped atomic.Int64
	w := diode.NewWriter(out, logBuffer, logPoll, func(missed int) { dropped.Add(int64(missed)) })
	sampler := &zerolog.LevelSampler{
		DebugSampler: burst(), InfoSampler: burst(),
	}
	log = zerolog.New(w).Level(level).With().Timestamp().Logger().Sample(sampler).
		Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
			if n := dropped.Swap(0); n > 0 {
				e.Int64("lines_dropped", n)
			}
		}))
	return log, func() { _ = w.Close() }
}

func burst() zerolog.Sampler {
	return &zerolog.BurstSampler{Burst: logBurst, Period: logPeriod, NextSampler: &zerolog.BasicSampler{N: logSample}}
}
