package budget

import (
	"time"
)

// Defaults and limits of an Allocator.
const (
	defaultFlushInterval   = time.Second
	defaultExtensionTokens = 256
	// waitLimit is how long a request waits for a draw, a mirror or a reclaim
	// before it is refused. The time to first token is bounded by 1300 ms.
	requestWaitLimit = 600 * time.Millisecond
	// mirrorResend is the time after which an unanswered mirror request is sent
	// again, and its member is no longer chosen for new ones.
	mirrorResendInterval = 200 * time.Millisecond
	// retryMin and retryMax bound the backoff after a store failure.
	storeBackoffMin = 100 * time.Millisecond
	storeBackoffMax = 10 * time.Second
	// conflictSpread is the window over which repeated conflicts are spread.
	conflictBackoff = 40 * time.Millisecond
	// dryPause is how long requests are refused at once after one waited in
	// vain for tokens of an empty record. Without it an exhausted budget needed 10 reads/s in each
	// failure domain.
	exhaustedPause = 2 * time.Second
	// returnPause is the same while other failure domains hold enough tokens:
	// their returns took up to a second at a cold start, where the first domain
	// with traffic draws most of a budget.
	reclaimPause = 100 * time.Millisecond
	// readGap is the time between reads for waiting requests.
	minReadInterval = 100 * time.Millisecond
	// maxWaiters bounds the requests that wait for tokens in one allocator.
	maxWaiters = 4096
	// decisionPoll is the time between reads for an operator's decision while
	// old grants wait for a holder.
	decisionPollInterval = 10 * time.Second
	// emptyFresh is the age up to which a record that shows no tokens is
	// believed without another read.
	exhaustedMaxAge = time.Second
	// reviewEvery is the time between reviews of idle grants.
	reviewInterval = time.Minute
)

// Options configures an Allocator.
type Options struct {
	Domain string
	Shard  int
	// Owner is the id of the holder in the same process.
	Owner string
	// Interval is the time between periodic flushes; see FlushInterval.
	Interval time.Duration
	// Step is the number of tokens of one extension, for sizing.
	ExtensionTokens int64
	// flaws switches rules off; tests only.
	flaws flaw
}

// flaw is a set of rules that tests switch off to see that a check fails.
type flaw uint

const (
	flawReclaimOnTime flaw = 1 << iota
	flawNoSequence
	flawReleaseDead
	flawOldAck
	flawNoMirror
	flawNoWatermark
	flawReuseMirrored
)

// Allocator serves the daemons of one failure domain from the grant of one
// shard. It is not safe for concurrent use.
type Allocator struct {
	opts Options
	out  Output

	// rec is the newest record known; value and rev are its stored form.
	rec *Record
	rev int64
	// epoch is 0 until the takeover is durable.
	epoch    uint64
	flushSeq uint64
	deposed  bool
	fault    error
	retired  bool
	// recovering is true while old grants are held for holders that have not
	// registered.
	recovering bool
	tookOver   time.Time

	pools    map[string]*pool
	clients  map[string]*client
	open     map[Key]*openReservation
	openByID map[string]*openReservation
	// billed holds the request ids of bills that are keyed and recent; the
	// value is true if the bill is provisional.
	billed      map[string]bool
	queuedBills []Bill
	waiters     []*openReservation
	liveHolders map[string]bool
	goneHolders map[string]bool
	// short is the sum that waiting requests lack, by budget.
	shortfall map[string]int64
	// cleared are finished reservations that a mirror may still show; the
	// value is true once the record says so.
	tombstones      map[Tombstone]bool
	mirrorStreams   map[string]*mirrorStream
	preferredMirror string
	// members are the holders to be named in the record.
	members map[string]bool
	// solo is true if the record says that this process alone knows a
	// reservation, so that a successor waits for it.
	unmirrored, wantUnmirrored bool

	inFlight *inFlightWrite
	reading  bool
	// urgent asks for a flush before the period ends.
	urgent          bool
	wantRead        bool
	dirty           bool
	nextFlush       time.Time
	lastUrgentFlush time.Time
	lastRead        time.Time
	lastReview      time.Time
	lastLoaded      time.Time
	// now is the time of the last input.
	now     time.Time
	retryAt time.Time
	backoff time.Duration
}

// pool is the allocator's view of one budget.
// Invariant: free() >= 0, so that open reservations and bills are covered by
// the grant in the record.
type pool struct {
	// granted and old are the grant in the last durable record.
	granted, old int64
	// reserved and reservedOld are covered by granted and old.
	reserved, reservedOld int64
	// pending and pendingOld are bills that are not durable.
	pending, pendingOld int64
	// held are released tokens that a mirror still shows as reserved.
	uncleared int64
	// heldOld is the same for old grants, since the flush that ends them.
	unclearedOld int64
	// returning are tokens that the flush under way gives back.
	returning int64
	// reclaim are tokens that another failure domain asks for.
	reclaimRequested int64
	lastReclaim      time.Time
	// dryUntil is the time until which requests do not wait for tokens,
	// because one waited in vain.
	exhaustedUntil time.Time
	// asked is the number of failure domains asked since a pause.
	domainsAsked int
	usage        meter
}

func (p *pool) free() int64 {
	return p.granted - p.reserved - p.pending - p.uncleared - p.returning
}

// client is the allocator's view of one holder.
type client struct {
	incarnation uint64
	// accepted is the highest settlement number taken, durable the highest in
	// the record.
	accepted, durable uint64
	lowestPending     uint64
	// done are reservation numbers >= low that are finished or refused; a
	// delayed request for them is stale.
	finished   map[uint64]bool
	registered bool
	// closing is true between the charge of the open reservations and its
	// durability; closed from then on.
	closing, closed bool
	// member is true if the record names the holder, so that a successor waits
	// for it.
	member bool
}

// entry is an open reservation.
type openReservation struct {
	res Reservation
	// old is the part of res.Tokens covered by the old grant.
	oldTokens int64
	// want is the total asked for but not acknowledged; 0 if none.
	requested int64
	kind      Kind
	// deadline is when a waiting request is refused.
	deadline time.Time
	// granted is true once an acknowledgement was sent or the holder
	// registered the reservation.
	granted bool
	// adopted is true if the reservation is of an earlier epoch.
	adopted bool
	// taken is true if want is covered and only the mirror is awaited.
	allotted bool
	// mirrors holds the tokens that each member confirmed, -1 if none yet.
	mirrors map[string]int64
}

// flight is the store write under way.
type inFlightWrite struct {
	flush *Flush // nil for a takeover
	// conflicts is the number of times that the write met a newer record.
	conflicts int
	epoch     uint64
	write     StoreWrite
	sent      bool
	// held are the tokens held for mirrors that the flush sets free.
	uncleared map[string]int64
}

// NewAllocator returns an allocator that takes the shard over.
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

// Take returns what is to be done since the last call.
func (a *Allocator) TakeOutput() Output {
	out := a.out
	a.out = Output{}
	return out
}

// Epoch returns the current epoch; 0 before the takeover is durable.
func (a *Allocator) Epoch() uint64 { return a.epoch }

// Deposed reports whether a newer epoch exists.
func (a *Allocator) Deposed() bool { return a.deposed }

// Fault returns the violated invariant that made the allocator stop, if any. It shows a defect of this package or a damaged record.
func (a *Allocator) Fault() error { return a.fault }

// Record returns the newest record that the allocator knows; it must not be
// changed. It is nil before the first read.
func (a *Allocator) Record() *Record { return a.rec }

// SetInterval changes the time between periodic flushes.
func (a *Allocator) SetInterval(d time.Duration) { a.opts.Interval = max(d, 10*time.Millisecond) }

// SetMembers passes the ids of the live holders of the failure domain.
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

// HolderGone tells that a holder is dead or has left. Its open reservations
// are charged at the tokens reserved.
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

// Tick handles the passing of time.
func (a *Allocator) Tick(now time.Time) { a.advance(now) }

// advance does what the state and the time allow. Each input ends with it.
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

func (a *Allocator) depose() { a.deposed = true }

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
	r := Reply{Kind: k, Shard: a.opts.Shard, Holder: key.Holder, Incarnation: key.Incarnation, Key: key, Epoch: a.epoch, Status: s, Tokens: tokens}
	if c := a.clients[key.Holder]; c != nil {
		r.Durable = c.durable
		if s == StatusClosed {
			r.Incarnation = c.incarnation
		}
	}
	a.out.Replies = append(a.out.Replies, r)
}
