package capacity

import (
	"math"
	"time"

	"github.com/azurehatch/azurehatch/internal/route"
)

// Rates and sizes that the mechanisms fix; each names its place.
const (
	// framing is route.messageOverhead: headers around one gRPC message.
	framing = 80
	// nameBytes is the length of a daemon's id, as in "daemon-00-07".
	nameBytes = 12
	// digestName is a service's name and the lengths around it in a digest
	// message, which holds the digests of all services and the sender's name.
	digestName = 16
	// reportBytes and reportsPerSecond are those of daemon.reportsPerRound.
	reportBytes, reportsPerSecond = 300, 20
	ticksPerSecond                = 10
	// longInterval is the flush interval that the design page assumes.
	longInterval = 25
	// defaultInterval is budget.flush_min of the settings, which the daemon uses.
	defaultInterval = 1
	// claimWrites is the allowance of section 6 of the design page.
	claimWrites = 56
	// writesPerChange are section, manifest and head.
	writesPerChange = 3
	// readBurst follows from platform.calls_per_second (50, half of it reads) and
	// daemon.burstSeconds.
	readBurst = 100
	// renewSeconds is lease.Options.RenewInterval.
	renewSeconds = 5
	// listReaders of each failure domain read once a second, others each minute.
	listReaders, fallbackSeconds = 2, 60
	peers                        = Daemons/Domains - 1
	shardsPerDaemon              = float64(Shards) * Domains / Daemons
	daemonsPerDomain             = Daemons / Domains
)

// Figures are the computed values of the page.
type Figures struct {
	// Bytes a second sent by a daemon.
	Membership, Digests, Rollout, Reports, Reserves, Settle1, Settle25, List, Bytes1, Bytes25 float64
	SettleCalls1, SettleCalls25, DigestMessage, DigestsPerSecond                              float64
	// Nanoseconds of processor time a second of a daemon.
	CPUMembership, CPUDigests, CPUBudget, CPUReader, CPUChoice, CPUTick, CPUConfig, CPUFlush1, CPUFlush25, CPU1, CPU25 float64
	// Heap in bytes.
	HeapConfig, HeapBudgets, HeapRoute, Heap float64
	// Store calls a second of the fleet.
	Flush1, Flush25, Takeovers, Changes, Leases, Writes1, Writes25, ListReads, RolloutReads, Reads float64
	// Record and configuration.
	Record, Parse, Load, Change, Install, Join, InForce, RolloutWorst, Sections, SectionBytes float64
	// Store calls of a mass restart of 10 and 30 daemons.
	RestartTakeovers10, RestartTakeovers30, RestartReads10, RestartReads30, RestartMB30 float64
	RestartBurst10, RestartBurst30, ParseCores                                          float64
	RestartWorst10, RestartWorst30, Joined10, Joined30                                  float64
	Choice20, Choice300, Choice4300                                                     float64
}

// lookup reads values of a file and keeps the first error.
type lookup struct {
	f   *File
	err error
}

func (l *lookup) at(name string, size float64) float64 {
	v, err := l.f.At(name, size)
	if err != nil && l.err == nil {
		l.err = err
	}
	return v
}

func compute(f *File) (Figures, error) {
	l := &lookup{f: f}
	var r Figures
	r.traffic(l)
	r.processor(l)
	r.memory(l)
	r.store(l)
	r.configuration(l)
	r.restart(l)
	return r, l.err
}

func (r *Figures) traffic(l *lookup) {
	const entries = Accounts + Budgets + Endpoints
	r.Membership = l.at("membership.bytes", Daemons)
	r.Rollout, r.RolloutWorst = l.at("rollout.bytes", entries), l.at("rollout.worst", entries)
	r.DigestMessage = Models*(l.at("route.digest", 13)+digestName) + nameBytes
	r.DigestsPerSecond = float64(time.Second) / float64(route.DigestInterval(peers, int(r.DigestMessage)))
	r.Digests = peers * r.DigestsPerSecond * (r.DigestMessage + framing)
	r.Reports = reportsPerSecond * reportBytes
	// An extension follows the first step, since a mean answer has 267 tokens
	// and a step 256. The allocator of a request is in 29 of 30 cases remote.
	extensions := math.Ceil(float64(TokensPerSecond)/RequestsPerSecond/256) - 1
	reply := l.at("wire.reply", nameBytes) + framing
	request := l.at("wire.reserve", nameBytes) + framing + extensions*(l.at("wire.extend", nameBytes)+framing) + (1+extensions)*reply
	mirror := l.at("wire.mirror", 1) + framing
	r.Reserves = RequestsPerDaemon * (request*peers + mirror) / daemonsPerDomain
	r.SettleCalls1, r.SettleCalls25 = l.at("settle.calls", 1), l.at("settle.calls", 25)
	r.Settle1 = l.at("settle.bytes", 1) + r.SettleCalls1*(framing+reply)
	r.Settle25 = l.at("settle.bytes", 25) + r.SettleCalls25*(framing+reply)
	r.List = l.at("list.read", Instances)
	base := r.Membership + r.Rollout + r.Digests + r.Reports + r.Reserves
	r.Bytes1, r.Bytes25 = base+r.Settle1, base+r.Settle25
}

func (r *Figures) processor(l *lookup) {
	r.CPUMembership = l.at("membership.cpu", Daemons)
	r.CPUChoice = RequestsPerDaemon * l.at("route.choice", Endpoints)
	r.CPUTick = ticksPerSecond * l.at("route.tick", Endpoints)
	r.CPUConfig = ChangesPerDay * (l.at("config.install", Accounts) + l.at("config.join", Accounts)) / secondsPerDay
	flush := shardsPerDaemon * l.at("budget.encode", 531)
	r.CPUFlush1, r.CPUFlush25 = flush/defaultInterval, flush/longInterval
	digests := Models * r.DigestsPerSecond
	r.CPUDigests = digests * (l.at("route.digest_encode", 13) + peers*l.at("route.digest_decode", 13))
	r.CPUBudget = RequestsPerDaemon * l.at("budget.request", 400)
	r.CPUReader = l.at("list.decode", Instances)
	base := r.CPUMembership + r.CPUDigests + r.CPUBudget + r.CPUChoice + r.CPUTick + r.CPUConfig
	r.CPU1, r.CPU25 = base+r.CPUFlush1, base+r.CPUFlush25
}

func (r *Figures) memory(l *lookup) {
	r.HeapConfig = l.at("config.heap", Accounts)
	r.HeapBudgets = shardsPerDaemon * l.at("budget.heap", 531)
	r.HeapRoute = l.at("route.heap", Endpoints) + (Models-1)*l.at("route.heap", 20)
	// A new configuration is built beside the old one.
	r.Heap = 2*r.HeapConfig + r.HeapBudgets + r.HeapRoute
}

func (r *Figures) store(l *lookup) {
	const pairs = Domains * Shards
	r.Flush1, r.Flush25 = pairs*l.at("flush.writes", 1.0/defaultInterval), pairs*l.at("flush.writes", 1.0/longInterval)
	// Each end of a daemon moves its shards to others and back to its successor.
	r.Takeovers = (Replaced + Failed) * shardsPerDaemon * 2 / secondsPerDay
	r.Changes = float64(ChangesPerDay) * writesPerChange / secondsPerDay
	r.Leases = float64(Models+1) / renewSeconds
	other := r.Takeovers + r.Changes + r.Leases + claimWrites
	r.Writes1, r.Writes25 = other+r.Flush1, other+r.Flush25
	r.ListReads = Domains*listReaders + float64(Daemons-Domains*listReaders)/fallbackSeconds
	r.RolloutReads = l.at("rollout.reads", Accounts+Budgets+Endpoints)
	r.Reads = r.ListReads + r.RolloutReads + r.Takeovers
}

func (r *Figures) configuration(l *lookup) {
	r.Record = l.at("budget.record_full", 531)
	r.Parse, r.Change = l.at("config.parse", Accounts), l.at("config.change", Accounts)
	r.ParseCores = r.Parse / 1e9 * ChangesPerDay / secondsPerDay
	r.Load = l.at("config.load", Accounts)
	r.Install, r.Join = l.at("config.install", Accounts), l.at("config.join", Accounts)
	r.InForce = l.at("rollout.in_force", Accounts+Budgets+Endpoints)
	r.Sections, r.SectionBytes = l.at("config.sections", Accounts), l.at("config.section_bytes", Accounts)
	r.Choice20, r.Choice300, r.Choice4300 = l.at("route.choice", 20), l.at("route.choice", 300), l.at("route.choice", Endpoints)
}

func (r *Figures) restart(l *lookup) {
	r.RestartTakeovers10, r.RestartTakeovers30 = 2*10*shardsPerDaemon, Shards
	r.RestartReads10, r.RestartReads30 = 10*(r.Sections+2), 30*(r.Sections+2)
	r.RestartMB30 = 30 * r.SectionBytes
	r.RestartBurst10, r.RestartBurst30 = 10*readBurst, 30*readBurst
	r.RestartWorst10, r.RestartWorst30 = l.at("restart.worst", 10), l.at("restart.worst", 30)
	r.Joined10, r.Joined30 = l.at("restart.joined", 10), l.at("restart.joined", 30)
}
