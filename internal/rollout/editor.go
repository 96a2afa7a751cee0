package rollout

import (
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Limits of an editor.
const (
	// maxSwapAttempts bounds the compare-and-swap attempts on the head. Each failed
	// attempt means that another edit was accepted, so only a very high rate of
	// edits reaches the limit.
	maxSwapAttempts = 50
	// segmentsPerRead is the number of audit segments read in one step of a search.
	segmentsPerRead = 16
	// rotationThreshold and retainedEntries bound the audit entries in the head:
	// above the threshold, a rotation moves all but the newest retainedEntries into
	// a segment. A retry usually finds its operation id among the retained entries.
	rotationThreshold = 96
	retainedEntries   = 32
	// forcedRotationThreshold is the number of entries in the head at which an edit
	// rotates the trail itself, in case the daemon with the rotation duty does not.
	forcedRotationThreshold = 256
	// maxClockSkew is the clock difference between two daemons that the search for
	// an earlier audit entry allows for.
	maxClockSkew = time.Minute
)

// Action is the kind of an Edit.
type Action string

// The actions of an editor.
const (
	// ActionApply merges Edit.Config, which is based on revision Edit.Base.
	ActionApply Action = "apply"
	// ActionRollback creates a new revision with the content of Edit.TargetRevision.
	ActionRollback Action = "rollback"
	// ActionAppendAudit appends an audit entry without a new revision.
	ActionAppendAudit Action = "record"
	// ActionRead returns the configuration of Edit.TargetRevision, 0 for the newest.
	ActionRead Action = "read"
	// ActionCollect deletes sections and manifests that only old revisions use.
	ActionCollect Action = "collect"
	// ActionRotate moves old audit entries into a segment.
	ActionRotate Action = "rotate"
)

// Edit is one operation on the head record.
type Edit struct {
	Action Action
	// OpID is unique to the operation. A retry with the same id returns the revision
	// that the first attempt created.
	OpID string
	// Base is the revision that the edit was derived from.
	Base   uint64
	Config *config.Config
	// TargetRevision is the revision that a rollback restores or a read returns.
	TargetRevision uint64
	// Entry holds the actor, team, kind and reason; the editor sets the other fields.
	Entry audit.Entry
	// FirstAttemptAt is the time of the first attempt to append an audit entry. The
	// trail is searched for the operation id back to this time; zero means the start
	// of this attempt.
	FirstAttemptAt time.Time
	// ConfirmedGuards lists the guards that the operator has confirmed.
	ConfirmedGuards []config.Guard
	// HasSpend reports whether an account has spend; nil means that all have.
	HasSpend func(account string) bool
}

// Result is the outcome of an accepted operation.
type Result struct {
	Revision uint64 `json:"revision"`
	// Merged is set if other edits were accepted since the base revision.
	Merged bool `json:"merged,omitempty"`
	// Repeated is set if an earlier attempt with the same operation id had already
	// been accepted.
	Repeated bool `json:"repeated,omitempty"`
	// Unchanged is set if the current configuration already has the requested
	// content, so that no revision was created.
	Unchanged bool            `json:"unchanged,omitempty"`
	Changes   []config.Change `json:"changes,omitempty"`
	// Config is the result of a read.
	Config *config.Config `json:"-"`
}

// Request is a group of store calls whose responses an editor waits for. Only one
// of the lists is non-empty. The calls of a group may run concurrently.
type Request struct {
	Get    []string
	Put    []platform.Write
	Delete []Deletion
}

// Deletion deletes a key if it has the expected store revision.
type Deletion struct {
	Key      string
	Expected platform.Revision
}

// Response is the outcome of one store call.
type Response struct {
	Item platform.Item
	Err  error
}

// Sections maps hashes to section contents. Contents are immutable, so they can
// be cached across edits.
type Sections map[config.Hash][]byte

// editorFaults are deliberate defects that tests enable to verify that the
// invariant checks detect them. blindSwap overwrites the head after a
// conflict instead of reading it again.
type editorFaults struct {
	ignoreOpID, skipMerge, blindSwap, omitAuditEntry, headBeforeSections, skipCollectionFence, skipContentRewrite bool
}

type stage int

const (
	stageHead stage = iota
	stageSegments
	stageManifests
	stageSections
	stageContentWrites
	stageSwap
	stageSegmentWrite
	stageTrimHead
	stageCollectionReads
	stageFence
	stageDelete
	stageMarkCollected
	stageDone
)

// Editor carries out one Edit. The caller executes Request and passes the
// responses to Step until Done.
type Editor struct {
	edit     Edit
	sections Sections
	faults   editorFaults
	// These limits default to the constants of the same names; tests lower them.
	retainedEntries, forcedRotationThreshold int
	retainedRevisions                        uint64

	stage        stage
	request      Request
	now          time.Time
	startedAt    time.Time
	swapAttempts int
	// swapOutcomeUnknown is set while an earlier write of the head may still take
	// effect. It is cleared when the audit trail contains the operation, or when the
	// head no longer has the store revision that the write expects,
	// unknownSwapExpected.
	swapOutcomeUnknown  bool
	unknownSwapExpected platform.Revision

	headItem platform.Item
	head     Head
	// trail holds the audit entries read so far, oldest first; oldestSegment is the
	// number of the oldest segment read.
	trail         []audit.Entry
	oldestSegment int
	// manifests holds the manifests of the base, the target and the head revision.
	manifests        map[uint64]config.Manifest
	pendingSections  []config.Hash
	pendingManifests []uint64
	nextHead         Head
	nextHeadValue    []byte
	rotated          audit.Segment
	collection       collection
	lastWrites       []platform.Write
	result           Result
	err              error
}

// NewEditor starts an edit. Sections in known are not read again; the editor adds
// those that it reads or writes.
func NewEditor(edit Edit, known Sections) *Editor {
	if known == nil {
		known = make(Sections)
	}
	e := &Editor{edit: edit, sections: known, retainedEntries: retainedEntries,
		forcedRotationThreshold: forcedRotationThreshold, retainedRevisions: retainedRevisions}
	if edit.Action == ActionApply {
		if err := edit.Config.Validate(); err != nil {
			e.finish(Result{}, err)
			return e
		}
	}
	e.readHead()
	return e
}

// Request returns the store calls to execute next. It is empty when the edit has
// ended.
func (e *Editor) Request() Request { return e.request }

// Done reports whether the edit has ended.
func (e *Editor) Done() bool { return e.stage == stageDone }

// Result returns the outcome of a finished edit. Errors are config.Errors,
// *config.MergeError, *config.GuardError, *StaleError, *UnknownRevisionError or
// those of the store. Only with platform.ErrOutcomeUnknown may the edit have been
// accepted; a retry with the same operation id determines whether it was. An error
// of the retry says nothing about the first attempt, whose write may still be in
// flight.
func (e *Editor) Result() (Result, error) { return e.result, e.err }

// Step continues with the responses to the last request, in the same order.
func (e *Editor) Step(now time.Time, responses []Response) {
	e.now = now
	if e.startedAt.IsZero() {
		e.startedAt = now
	}
	e.request = Request{}
	var err error
	switch e.stage {
	case stageHead:
		err = e.handleHead(responses[0])
	case stageSegments:
		err = e.handleSegments(responses)
	case stageManifests:
		err = e.handleManifests(responses)
	case stageSections:
		err = e.handleSections(responses)
	case stageContentWrites:
		err = e.handleContentWrites(responses)
	case stageSwap, stageTrimHead:
		err = e.handleSwap(responses[0])
	case stageSegmentWrite:
		err = e.handleSegmentWrite(responses[0])
	default:
		err = e.stepCollect(responses)
	}
	if err != nil {
		e.finish(Result{}, err)
	}
}

func (e *Editor) finish(r Result, err error) {
	if err != nil && e.swapOutcomeUnknown && !errors.Is(err, platform.ErrOutcomeUnknown) {
		err = errors.Wrap(platform.ErrOutcomeUnknown, err.Error())
	}
	e.stage, e.request, e.result, e.err = stageDone, Request{}, r, err
}

func (e *Editor) get(s stage, keys ...string) {
	e.stage, e.request = s, Request{Get: keys}
}

func (e *Editor) readHead() {
	e.trail, e.manifests = nil, make(map[uint64]config.Manifest)
	e.get(stageHead, HeadKey)
}
