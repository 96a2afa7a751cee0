package capacity

import (
	"math"
	"time"

	"github.com/azurehatch/azurehatch/internal/route"
)

// Rates and sizes that other packages or the design page fix; each comment names
// the place.
const (
	// messageOverhead is route.messageOverhead, the bytes of the headers around one
	// gRPC message.
	messageOverhead = 80
	// daemonIDBytes is the length of a daemon's id such as "daemon-00-07".
	daemonIDBytes = 12
	// digestNameBytes is the size of a service's name with its length fields in a
	// digest message, which holds the digests of all services and the sender's name.
	digestNameBytes = 16
	// reportBytes and reportsPerSecond describe the reading of load reports; see
	// daemon.reportsPerRound.
	reportBytes, reportsPerSecond = 300, 20
	routeTicksPerSecond           = 10
	// longFlushSeconds is the flush interval that the design page assumes.
	longFlushSeconds = 25
	// defaultFlushSeconds is the default of the setting budget.flush_min.
	defaultFlushSeconds = 1
	// claimWritesPerSecond is the allowance of section 6 of the design page.
	claimWritesPerSecond = 56
	// storeWritesPerChange counts the section, the manifest and the head.
	storeWritesPerChange = 3
	// storeReadBurst is half of the setting platform.calls_per_second (50), the part
	// for reads, multiplied by daemon.storeBurstSeconds (4).
	storeReadBurst = 100
	// leaseRenewSeconds is the default of lease.Options.RenewInterval.
	leaseRenewSeconds = 5
	// listReadersPerDomain daemons of each failure domain read the instance list once
	// a second, the others every listFallbackSeconds.
	listReadersPerDomain, listFallbackSeconds = 2, 60
	// peersPerDaemon is the number of other daemons in a daemon's failure domain.
	peersPerDaemon   = Daemons/Domains - 1
	shardsPerDaemon  = float64(Shards) * Domains / Daemons
	daemonsPerDomain = Daemons / Domains
)

// Figures holds the values of the page that are computed from the measurements. The
// suffixes 1 and 25 of settlement, flush and total figures are the flush interval in
// seconds.
type Figures struct {
	// Bytes/s sent by a daemon, and the size and rate of its load digests. List is the
	// bytes/s received by a reader of the instance list.
	Membership, Digests, Rollout, Reports, Reserves, Settle1, Settle25, List, Bytes1, Bytes25 float64
	SettleCalls1, SettleCalls25, DigestMessage, DigestsPerSecond                              float64
	// CPU time of a daemon in ns/s.
	CPUMembership, CPUDigests, CPUBudget, CPUReader, CPUChoice, CPUTick, CPUConfig, CPUFlush1, CPUFlush25, CPU1, CPU25 float64
	// Heap in bytes.
	HeapConfig, HeapBudgets, HeapRoute, Heap float64
	// Store calls/s of the whole fleet.
	Flush1, Flush25, Takeovers, Changes, Leases, Writes1, Writes25, ListReads, RolloutReads, Reads float64
	// Record is the size in bytes of a budget record. Parse to Join are times in ns to
	// process the configuration. InForce is the time in ms until all daemons have
	// installed a change, RolloutWorst the largest rollout traffic of a daemon in
	// bytes/s. Sections is the number of sections, SectionBytes their size in bytes.
	Record, Parse, Load, Change, Install, Join, InForce, RolloutWorst, Sections, SectionBytes float64
	// Mass restart of 10 and of 30 daemons: store calls and bytes read, the largest
	// membership traffic of a daemon in bytes/s, and the time in ms until all have
	// joined. ParseCores is the number of CPU cores that parse configuration changes.
	RestartTakeovers10, RestartTakeovers30, RestartReads10, RestartReads30, RestartBytes30 float64
	RestartBurst10, RestartBurst30, ParseCores                                             float64
	RestartWorst10, RestartWorst30, Joined10, Joined30                                     float64
	// Time in ns to choose one of 20, 300 and 4300 endpoints.
	Choice20, Choice300, Choice4300 float64
}

// pointReader reads measured values from a file and keeps the first error.
type pointReader struct {
	file *File
	err  error
}

func (r *pointReader) at(name string, size float64) float64 {
	v, err := r.file.At(name, size)
	if err != nil && r.err == nil {
		r.err = err
	}
	return v
}

// compute returns the figures, or an error if a measurement is missing.
func compute(f *File) (Figures, error) {
	l := &pointReader{file: f}
	var r Figures
	r.traffic(l)
	r.cpu(l)
	r.memory(l)
	r.store(l)
	r.configuration(l)
	r.restart(l)
	return r, l.err
}

func (r *Figures) traffic(l *pointReader) {
	const entries = Accounts + Budgets + Endpoints
	r.Membership = l.at("membership.bytes", Daemons)
	r.Rollout, r.RolloutWorst = l.at("rollout.bytes", entries), l.at("rollout.worst", entries)
	r.DigestMessage = Models*(l.at("route.digest", 13)+digestNameBytes) + daemonIDBytes
	r.DigestsPerSecond = float64(time.Second) / float64(route.DigestInterval(peersPerDaemon, int(r.DigestMessage)))
	r.Digests = peersPerDaemon * r.DigestsPerSecond * (r.DigestMessage + messageOverhead)
	r.Reports = reportsPerSecond * reportBytes
	// A reservation is extended after its first step of 256 tokens, since a mean
	// answer has 267. The allocator of a request is remote in 29 of 30 cases.
	extensions := math.Ceil(float64(TokensPerSecond)/RequestsPerSecond/256) - 1
	replyBytes := l.at("wire.reply", daemonIDBytes) + messageOverhead
	requestBytes := l.at("wire.reserve", daemonIDBytes) + messageOverhead +
		extensions*(l.at("wire.extend", daemonIDBytes)+messageOverhead) + (1+extensions)*replyBytes
	mirrorBytes := l.at("wire.mirror", 1) + messageOverhead
	r.Reserves = RequestsPerDaemon * (requestBytes*peersPerDaemon + mirrorBytes) / daemonsPerDomain
	r.SettleCalls1, r.SettleCalls25 = l.at("settle.calls", 1), l.at("settle.calls", 25)
	r.Settle1 = l.at("settle.bytes", 1) + r.SettleCalls1*(messageOverhead+replyBytes)
	r.Settle25 = l.at("settle.bytes", 25) + r.SettleCalls25*(messageOverhead+replyBytes)
	r.List = l.at("list.read", Instances)
	base := r.Membership + r.Rollout + r.Digests + r.Reports + r.Reserves
	r.Bytes1, r.Bytes25 = base+r.Settle1, base+r.Settle25
}

func (r *Figures) cpu(l *pointReader) {
	r.CPUMembership = l.at("membership.cpu", Daemons)
	r.CPUChoice = RequestsPerDaemon * l.at("route.choice", Endpoints)
	r.CPUTick = routeTicksPerSecond * l.at("route.tick", Endpoints)
	r.CPUConfig = ChangesPerDay * (l.at("config.install", Accounts) + l.at("config.join", Accounts)) / secondsPerDay
	flushCPU := shardsPerDaemon * l.at("budget.encode", 531)
	r.CPUFlush1, r.CPUFlush25 = flushCPU/defaultFlushSeconds, flushCPU/longFlushSeconds
	digests := Models * r.DigestsPerSecond
	r.CPUDigests = digests * (l.at("route.digest_encode", 13) + peersPerDaemon*l.at("route.digest_decode", 13))
	r.CPUBudget = RequestsPerDaemon * l.at("budget.request", 400)
	r.CPUReader = l.at("list.decode", Instances)
	base := r.CPUMembership + r.CPUDigests + r.CPUBudget + r.CPUChoice + r.CPUTick + r.CPUConfig
	r.CPU1, r.CPU25 = base+r.CPUFlush1, base+r.CPUFlush25
}

func (r *Figures) memory(l *pointReader) {
	r.HeapConfig = l.at("config.heap", Accounts)
	r.HeapBudgets = shardsPerDaemon * l.at("budget.heap", 531)
	r.HeapRoute = l.at("route.heap", Endpoints) + (Models-1)*l.at("route.heap", 20)
	// A new configuration is built while the old one is still in memory.
	r.Heap = 2*r.HeapConfig + r.HeapBudgets + r.HeapRoute
}

func (r *Figures) store(l *pointReader) {
	const allocators = Domains * Shards
	r.Flush1, r.Flush25 = allocators*l.at("flush.writes", 1.0/defaultFlushSeconds),
		allocators*l.at("flush.writes", 1.0/longFlushSeconds)
	// When a daemon ends, its shards move to other daemons and later back to its
	// successor.
	r.Takeovers = (ReplacedPerDay + FailedPerDay) * shardsPerDaemon * 2 / secondsPerDay
	r.Changes = float64(ChangesPerDay) * storeWritesPerChange / secondsPerDay
	r.Leases = float64(Models+1) / leaseRenewSeconds
	other := r.Takeovers + r.Changes + r.Leases + claimWritesPerSecond
	r.Writes1, r.Writes25 = other+r.Flush1, other+r.Flush25
	r.ListReads = Domains*listReadersPerDomain + float64(Daemons-Domains*listReadersPerDomain)/listFallbackSeconds
	r.RolloutReads = l.at("rollout.reads", Accounts+Budgets+Endpoints)
	r.Reads = r.ListReads + r.RolloutReads + r.Takeovers
}

func (r *Figures) configuration(l *pointReader) {
	r.Record = l.at("budget.record_full", 531)
	r.Parse, r.Change = l.at("config.parse", Accounts), l.at("config.change", Accounts)
	r.ParseCores = r.Parse / 1e9 * ChangesPerDay / secondsPerDay
	r.Load = l.at("config.load", Accounts)
	r.Install, r.Join = l.at("config.install", Accounts), l.at("config.join", Accounts)
	r.InForce = l.at("rollout.in_force", Accounts+Budgets+Endpoints)
	r.Sections, r.SectionBytes = l.at("config.sections", Accounts), l.at("config.section_bytes", Accounts)
	r.Choice20, r.Choice300, r.Choice4300 = l.at("route.choice", 20), l.at("route.choice", 300),
		l.at("route.choice", Endpoints)
}

func (r *Figures) restart(l *pointReader) {
	r.RestartTakeovers10, r.RestartTakeovers30 = 2*10*shardsPerDaemon, Shards
	r.RestartReads10, r.RestartReads30 = 10*(r.Sections+2), 30*(r.Sections+2)
	r.RestartBytes30 = 30 * r.SectionBytes
	r.RestartBurst10, r.RestartBurst30 = 10*storeReadBurst, 30*storeReadBurst
	r.RestartWorst10, r.RestartWorst30 = l.at("restart.worst", 10), l.at("restart.worst", 30)
	r.Joined10, r.Joined30 = l.at("restart.joined", 10), l.at("restart.joined", 30)
}
