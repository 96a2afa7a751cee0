package capacity

import (
	"strconv"
	"strings"
)

// importedMetrics lists the metrics of other packages' benchmarks that the page uses.
// sizes maps the name of a benchmark to its size.
var importedMetrics = []struct {
	metric, name, unit, sizeOf string
	wall                       bool
	sizes                      map[string]float64
	command                    string
}{
	{"bytes/s", "membership.bytes", "bytes/s", "daemons", false, ringSizes, ringCommand},
	{"worst_bytes/s", "membership.worst", "bytes/s", "daemons", false, ringSizes, ringCommand},
	{"cpu_ns/s", "membership.cpu", "ns/s", "daemons", true, ringSizes, ringCommand},
	{"worst_bytes/s", "restart.worst", "bytes/s", "daemons that restart", false, restartSizes, restartCommand},
	{"joined_p100_ms", "restart.joined", "ms", "daemons that restart", false, restartSizes, restartCommand},
	{"bytes/s", "rollout.bytes", "bytes/s", "entries", false, rolloutSizes, rolloutCommand},
	{"bytes_max/s", "rollout.worst", "bytes/s", "entries", false, rolloutSizes, rolloutCommand},
	{"store_reads/s", "rollout.reads", "reads/s", "entries", false, rolloutSizes, rolloutCommand},
	{"in_force_ms", "rollout.in_force", "ms", "entries", false, rolloutSizes, rolloutCommand},
}

var (
	ringSizes = map[string]float64{
		"BenchmarkMembership/ring/daemons=7": 7, "BenchmarkMembership/ring/daemons=42": 42,
		"BenchmarkMembership/ring/daemons=420": 420,
	}
	restartSizes = map[string]float64{"BenchmarkMassRestart/rack": 10, "BenchmarkMassRestart/domain": 30}
	rolloutSizes = map[string]float64{
		"BenchmarkConfigRollout/maracas": 36, "BenchmarkConfigRollout/verstraeten": 43,
		"BenchmarkConfigRollout/target": Accounts + Budgets + Endpoints,
	}
)

const (
	ringCommand    = "go test -run xxx -bench Membership/ring -benchtime 1x ./internal/membership"
	restartCommand = "go test -run xxx -bench MassRestart -benchtime 1x ./internal/membership"
	rolloutCommand = "go test -run xxx -bench ConfigRollout -benchtime 1x ./internal/rollout"
)

// importSeries reads the series of importedMetrics from the output of go test -bench.
func importSeries(text string) []Series {
	var all []Series
	for _, f := range importedMetrics {
		s := Series{Name: f.name, Unit: f.unit, SizeOf: f.sizeOf, Nondeterministic: f.wall, Command: f.command}
		for line := range strings.Lines(text) {
			fields := strings.Fields(line)
			if len(fields) < 4 {
				continue
			}
			name := fields[0]
			if i := strings.LastIndex(name, "-"); i > 0 {
				name = name[:i]
			}
			size, ok := f.sizes[name]
			for i := 2; ok && i+1 < len(fields); i += 2 {
				if v, err := strconv.ParseFloat(fields[i], 64); err == nil && fields[i+1] == f.metric {
					s.Points = append(s.Points, Point{size, v})
				}
			}
		}
		if len(s.Points) > 0 {
			all = append(all, s)
		}
	}
	return all
}
