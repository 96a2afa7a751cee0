package mesh

import "github.com/uber-go/tally/v4"

// counters count the messages to peers.
type counters struct {
	exchanges, exchangesFailed, pushes, pushesFailed tally.Counter
	// digestBytes is the size of the digests sent in exchanges that this daemon began.
	digestBytes tally.Counter
}

func newCounters(scope tally.Scope) counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	count := func(name, result string) tally.Counter {
		return scope.Tagged(map[string]string{"result": result}).Counter(name)
	}
	return counters{
		exchanges: count("mesh_exchanges", "ok"), exchangesFailed: count("mesh_exchanges", "failed"),
		pushes: count("mesh_pushes", "ok"), pushesFailed: count("mesh_pushes", "failed"),
		digestBytes: scope.Counter("mesh_digest_bytes"),
	}
}
