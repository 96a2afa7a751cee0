package capacity

// Target size of a fleet, from section 2.4 of the design page.
const (
	Daemons   = 420
	Domains   = 14
	Regions   = 5
	Endpoints = 4300
	Models    = 23
	Accounts  = 31_000
	Budgets   = 68_000
	// Instances is the number of entries of the platform's instance list.
	Instances = Daemons + Endpoints
	// Shards is the number of budget records.
	Shards = 128

	RequestsPerSecond = 18_000
	TokensPerSecond   = 4_800_000
	RequestsPerDaemon = float64(RequestsPerSecond) / Daemons
	ChangesPerDay     = 5800
	// ReplacedPerDay is the number of instances restarted or replaced on an ordinary day.
	ReplacedPerDay = 1000
	// FailedPerDay is the number of instances that fail on an ordinary day.
	FailedPerDay = 36

	secondsPerDay = 86_400
)
