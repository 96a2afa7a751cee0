package escrow

// Bounds of one collection: at most maxCollectRounds rounds of at most
// maxCollectRequests requests, which are sent at the same time.
const (
	maxCollectRequests = 6
	maxCollectRounds   = 3
)

// KnownHolding is what a daemon knows of a peer's available tokens of one account.
type KnownHolding struct {
	Peer string `json:"peer"`
	// Domain is the peer's failure domain; Local is true if it is the daemon's own.
	Domain string `json:"domain"`
	Local  bool   `json:"-"`
	Tokens int64  `json:"tokens"`
	// AgeMs is the time since the peer's last digest.
	AgeMs int64 `json:"age_ms"`
}

// Collect obtains available tokens of peers for requests that wait. It answers a loss of the
// store in which one daemon gets most requests of an account: what is left of the account
// then lies in pieces with all daemons, each too small for a request.
//
// A collection asks nobody if all known holdings together don't cover the smallest request,
// and ends with the first round that gives nothing, so that an account without tokens costs
// no messages. The caller corrects what it knows by each reply.
type Collect struct {
	rounds int
	done   bool
}

// PeerRequest is a request for tokens that a peer is known to hold.
type PeerRequest struct {
	Peer   string
	Tokens int64
}

// Next returns the requests of the next round, none at the end of the collection. need are
// the tokens that all waiting requests lack, least those that the smallest lacks, and known are
// the peers' holdings in descending order.
func (c *Collect) Next(need, least int64, known []KnownHolding) []PeerRequest {
	var sum int64
	for _, k := range known {
		sum += k.Tokens
	}
	if c.done || c.rounds == maxCollectRounds || need <= 0 || sum < least {
		return nil
	}
	c.rounds++
	var requests []PeerRequest
	for _, k := range known {
		if need <= 0 || len(requests) == maxCollectRequests || k.Tokens <= 0 {
			break
		}
		tokens := min(k.Tokens, need)
		requests = append(requests, PeerRequest{Peer: k.Peer, Tokens: tokens})
		need -= tokens
	}
	return requests
}

// Received records what the requests of a round gave together.
func (c *Collect) Received(tokens int64) { c.done = tokens <= 0 }
