package budget

import (
	"time"
)

// Defaults and limits of an Allocator.
const (
	defaultFlushInterval   = time.Second
	defaultExtensionTokens = 256
	// requestWaitLimit is how long a request waits for a draw, a mirror answer
	// or a reclaim before it is refused. It has to fit into the limit of 1300 ms
	// on the time to first token.
	requestWaitLimit = 600 * time.Millisecond
	// mirrorResendInterval is the time after which an unanswered mirror request
	// is sent again. A member that leaves a request unanswered for twice as long
	// is not chosen for new mirrors.
	mirrorResendInterval = 200 * time.Millisecond
	// storeBackoffMin and storeBackoffMax bound the backoff after a store failure.
	storeBackoffMin = 100 * time.Millisecond
	storeBackoffMax = 10 * time.Second
	// conflictBackoff is the initial window of the random delay before a write
	// that met repeated conflicts is sent again.
	conflictBackoff = 40 * time.Millisecond
	// exhaustedPause is how long requests for a budget are refused without
	// waiting after one timed out because the budget is exhausted. Without the
	// pause an exhausted budget causes 10 reads/s in each failure domain.
	exhaustedPause = 2 * time.Second
	// reclaimPause is the same pause while other failure domains hold enough
	// tokens. It is short because their returns can take up to a second after a
	// cold start, when the first domain with traffic draws most of a budget.
	reclaimPause = 100 * time.Millisecond
	// minReadInterval is the shortest time between reads for waiting requests.
	minReadInterval = 100 * time.Millisecond
	// maxWaiters bounds the requests that wait for tokens in one allocator.
	maxWaiters = 4096
	// decisionPollInterval is the time between reads of the record for an
	// operator's decision while the recovery of old grants waits for a holder.
	decisionPollInterval = 10 * time.Second
	// exhaustedMaxAge is the age up to which a record that shows too few tokens
	// is trusted without another read.
	exhaustedMaxAge = time.Second
	// surplusCheckInterval is the time between checks of the grants for idle tokens.
	surplusCheckInterval = time.Minute
)

// Options configures an Allocator.
type Options struct {
	Domain string
	Shard  int
	// Owner is the id of the holder in the same process.
	Owner string
	// Interval is the time between periodic flushes; see FlushInterval.
	Interval time.Duration
	// ExtensionTokens is the number of tokens of one extension, for the sizing
	// of grants.
	ExtensionTokens int64
	// disabledRules are the safety rules that are not followed; for tests only.
	disabledRules ruleSet
}

// ruleSet is a set of safety rules. Tests disable single rules to verify that the
// checks detect the violation.
type ruleSet uint

const (
	// ruleAwaitHolders keeps old grants until all holders have registered, however
	// long that takes.
	ruleAwaitHolders ruleSet = 1 << iota
	// ruleFlushSequence refuses a flush that the record already contains.
	ruleFlushSequence
	// ruleChargeDead charges the open reservations of a dead holder in full.
	ruleChargeDead
	// ruleRefuseOldEpoch makes a holder ignore the replies of an older epoch.
	ruleRefuseOldEpoch
	// ruleMirror acknowledges a reservation only once a successor would learn of it.
	ruleMirror
	// ruleSettlementNumbers applies each settlement number once, also after a takeover.
	ruleSettlementNumbers
	// ruleHoldUncleared keeps released tokens unavailable while a mirror may still
	// show them as reserved.
	ruleHoldUncleared
)

// Allocator serves the daemons of one failure domain from the grant of one
// shard. It is not safe for concurrent use.
type Allocator struct {
	opts Options
	out  Output

	// rec is the newest record known, rev its store revision.
	rec *Record
	rev int64
	// epoch is 0 until the takeover is durable.
	epoch    uint64
	flushSeq uint64
	// deposed is true once another allocator has taken over the shard or fault
	// is set; this one then stops. retired is true after Retire.
	deposed bool
	fault   error
	retired bool
	// recovering is true while the grants of earlier epochs are kept for holders
	// that have not registered.
	recovering bool
	tookOver   time.Time

	pools    map[string]*pool
	clients  map[string]*client
	open     map[Key]*openReservation
	openByID map[string]*openReservation
	// billed holds the request ids of recent keyed bills; the value is true if
	// the bill is provisional.
	billed map[string]bool
	// queuedBills are the bills for the next flush.
	queuedBills []Bill
	// waiters are the reservations and extensions that wait for tokens or for a
	// mirror.
	waiters     []*openReservation
	liveHolders map[string]bool
	// goneHolders are the holders reported by HolderGone whose incarnation is not
	// yet closed in the record.
	goneHolders map[string]bool
	// shortfall is the number of tokens that waiting requests lack, by budget.
	shortfall map[string]int64
	// tombstones are the finished reservations that a mirror may still hold; the
	// value is true once the record contains the tombstone.
	tombstones      map[Tombstone]bool
	mirrorStreams   map[string]*mirrorStream
	preferredMirror string
	// members are the holders that the next flush names in the record.
	members map[string]bool
	// unmirrored is true if the record says that a reservation may be known to
	// this process alone, so that a successor waits for it. wantUnmirrored makes
	// the next flush say so.
	unmirrored, wantUnmirrored bool

	inFlight *inFlightWrite
	reading  bool
	// urgent is true if a flush must not wait for the end of the flush interval.
	urgent bool
	// wantRead is true if the record is to be read again.
	wantRead bool
	// dirty is true if there are changes that no flush contains yet.
	dirty            bool
	nextFlush        time.Time
	lastUrgentFlush  time.Time
	lastRead         time.Time
	lastSurplusCheck time.Time
	lastLoaded       time.Time
	// now is the time of the last input.
	now time.Time
	// retryAt is the earliest time of the next store call after a failed or
	// conflicting one.
	retryAt time.Time
	backoff time.Duration
}

// pool is the allocator's view of one budget.
// Invariant: free() >= 0, so that open reservations and bills are covered by
// the grant in the record.
type pool struct {
	// granted and grantedOld are the current and the old grant in the last durable
	// record; see Grant.
	granted, grantedOld int64
	// reserved and reservedOld are the reserved tokens covered by granted and
	// by grantedOld.
	reserved, reservedOld int64
	// pending and pendingOld are the tokens of bills that are not durable.
	pending, pendingOld int64
	// uncleared are released tokens that a mirror may still show as reserved.
	uncleared int64
	// unclearedOld is the same for the old grant, counted from the flush that
	// ends its recovery.
	unclearedOld int64
	// returning are tokens that the write in flight returns to the store.
	returning int64
	// reclaimRequested are tokens that another failure domain requested.
	reclaimRequested int64
	// lastReclaim is when tokens were last requested from other failure domains.
	lastReclaim time.Time
	// exhaustedUntil is the time until which requests are refused without
	// waiting for tokens, because one timed out.
	exhaustedUntil time.Time
	// domainsAsked is the number of failure domains asked for tokens since the
	// last gap between reclaims of more than exhaustedMaxAge.
	domainsAsked int
	usage        meter
}

// free returns the granted tokens that are neither reserved nor billed nor
// waiting to be cleared or returned.
func (p *pool) free() int64 {
	return p.granted - p.reserved - p.pending - p.uncleared - p.returning
}

// client is the allocator's view of one holder.
type client struct {
	incarnation uint64
	// accepted is the highest settlement number accepted, durable the highest in
	// the durable record.
	accepted, durable uint64
	// lowestPending is the highest LowestPending received; see ReserveRequest.
	lowestPending uint64
	// finished are the reservation numbers >= lowestPending that are finished or
	// refused; a delayed request for them is stale.
	finished   map[uint64]bool
	registered bool
	// closing is true from the charge of the open reservations until it is
	// durable, closed from then on.
	closing, closed bool
	// member is true if the record names the holder, so that a successor waits
	// for it.
	member bool
}

// openReservation is a reservation that is open or waits for its tokens.
type openReservation struct {
	res Reservation
	// oldTokens is the part of res.Tokens covered by the old grant.
	oldTokens int64
	// requested is the total requested but not acknowledged; 0 if none.
	requested int64
	kind      Kind
	// deadline is when a waiting request is refused.
	deadline time.Time
	// granted is true once an acknowledgement was sent or a holder reported the
	// reservation at its registration.
	granted bool
	// adopted is true if the reservation was made in an earlier epoch.
	adopted bool
	// allotted is true if the grant covers the requested total and the request
	// waits only for its mirror.
	allotted bool
	// mirrors holds the tokens that each mirroring member confirmed, -1 if none
	// yet.
	mirrors map[string]int64
}

// inFlightWrite is the store write in progress.
type inFlightWrite struct {
	flush *Flush // nil for a takeover
	// conflicts counts how often the write met a newer record.
	conflicts int
	epoch     uint64
	write     StoreWrite
	// sent is true until the outcome is known.
	sent bool
	// uncleared are the pool.uncleared tokens that become free when the flush is
	// durable, by budget.
	uncleared map[string]int64
}

// NewAllocator returns an allocator that starts to take over the shard.
func NewAllocator(now time.Time, opts Options) *Allocator {
	if opts.Interval <= 0 {
		opts.Interval = defaultFlushInterval
	}
	if opts.ExtensionTokens <= 0 {
		opts.ExtensionTokens = defaultExtensionTokens
	}
	a := &Allocator{
		opts:          opts,
		pools:         make(map[string]*pool),
		clients:       make(map[string]*client),
		open:          make(map[Key]*openReservation),
		openByID:      make(map[string]*openReservation),
		billed:        make(map[string]bool),
		liveHolders:   make(map[string]bool),
		goneHolders:   make(map[string]bool),
		tombstones:    make(map[Tombstone]bool),
		shortfall:     make(map[string]int64),
		members:       make(map[string]bool),
		mirrorStreams: make(map[string]*mirrorStream),
		backoff:       storeBackoffMin,
	}
	a.read(now)
	return a
}

// TakeOutput returns the work that accumulated since the last call.
func (a *Allocator) TakeOutput() Output {
	out := a.out
	a.out = Output{}
	return out
}

// Epoch returns the current epoch; 0 before the takeover is durable.
func (a *Allocator) Epoch() uint64 { return a.epoch }

// Deposed reports whether a newer epoch exists.
func (a *Allocator) Deposed() bool { return a.deposed }

// Fault returns the violated invariant that made the allocator stop, if any. It
// indicates a defect of this package or a damaged record.
func (a *Allocator) Fault() error { return a.fault }

// Record returns the newest record that the allocator knows; it must not be
// changed. It is nil before the first read.
func (a *Allocator) Record() *Record { return a.rec }

// SetInterval changes the time between periodic flushes.
func (a *Allocator) SetInterval(d time.Duration) { a.opts.Interval = max(d, 10*time.Millisecond) }

// SetMembers sets the ids of the live holders of the failure domain.
func (a *Allocator) SetMembers(now time.Time, holders []string) {
	clear(a.liveHolders)
	for _, h := range holders {
		a.liveHolders[h] = true
		if c := a.clients[h]; c == nil || !c.closing {
			delete(a.goneHolders, h)
		}
	}
	a.advance(now)
}

// HolderGone reports that a holder is dead or has left. Its open reservations
// are charged in full.
func (a *Allocator) HolderGone(now time.Time, holder string) {
	delete(a.liveHolders, holder)
	if holder != a.opts.Owner {
		a.goneHolders[holder] = true
	}
	a.advance(now)
}

// Retire stops new reservations and returns idle tokens before a planned stop.
func (a *Allocator) Retire(now time.Time) {
	a.retired, a.dirty, a.urgent = true, true, true
	a.advance(now)
}

// Tick advances the allocator to the given time.
func (a *Allocator) Tick(now time.Time) { a.advance(now) }

// advance makes all progress that the state and the time allow. Each input ends
// with it.
func (a *Allocator) advance(now time.Time) {
	a.now = now
	if a.deposed {
		a.refuseAll(StatusStale)
		return
	}
	if a.epoch != 0 {
		a.chargeGoneHolders()
		a.serveWaiters(now)
		a.remirror(now)
		a.sendMirrors(now)
		a.checkPolls(now)
	}
	a.checkStore(now)
	a.schedule(now)
}

// schedule sets the time of the next Tick.
func (a *Allocator) schedule(now time.Time) {
	next := now.Add(a.opts.Interval)
	if a.nextFlush.After(now) && a.nextFlush.Before(next) {
		next = a.nextFlush
	}
	if soon := now.Add(mirrorResendInterval / 4); soon.Before(next) && a.busy() {
		next = soon
	}
	a.out.Next = next
}

// busy reports whether work is pending that needs a Tick before the next flush.
func (a *Allocator) busy() bool {
	if a.urgent || len(a.waiters) > 0 || a.wantRead || (a.inFlight != nil && !a.inFlight.sent) {
		return true
	}
	for _, s := range a.mirrorStreams {
		if s.sent != nil {
			return true
		}
	}
	return false
}

// depose stops the allocator because a newer epoch exists.
func (a *Allocator) depose() { a.deposed = true }

// fail stops the allocator because of a violated invariant or an encoding error.
func (a *Allocator) fail(err error) { a.deposed, a.fault = true, err }

func (a *Allocator) pool(id string) *pool {
	p := a.pools[id]
	if p == nil {
		p = &pool{}
		a.pools[id] = p
	}
	return p
}

func (a *Allocator) client(id string) *client {
	c := a.clients[id]
	if c == nil {
		c = &client{finished: make(map[uint64]bool)}
		a.clients[id] = c
	}
	return c
}

func (a *Allocator) reply(k Kind, key Key, s Status, tokens int64) {
	r := Reply{
		Kind: k, Shard: a.opts.Shard, Holder: key.Holder, Incarnation: key.Incarnation, Key: key,
		Epoch: a.epoch, Status: s, Tokens: tokens,
	}
	if c := a.clients[key.Holder]; c != nil {
		r.Durable = c.durable
		if s == StatusClosed {
			r.Incarnation = c.incarnation
		}
	}
	a.out.Replies = append(a.out.Replies, r)
}
