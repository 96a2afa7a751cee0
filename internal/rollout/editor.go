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
	// maxSwapAttempts is the number of times that an edit is tried against a head that
	// others keep changing. Each lost attempt means that another edit was
	// accepted, so the limit is reached only under a flood of edits.
	maxSwapAttempts = 50
	// segmentsPerRead is the number of audit segments read in one step of a search.
	segmentsPerRead = 16
	// rotationThreshold and keepInHead bound the audit entries in the head: rotation
	// keeps keepInHead. A retry finds its operation id among these.
	rotationThreshold = 96
	retainedEntries   = 32
	// forcedRotationThreshold makes an edit rotate the trail itself when the daemon with the
	// duty of rotation does not.
	forcedRotationThreshold = 256
	// maxClockSkew is the largest difference between the clocks of two daemons that
	// the search for a record allows for.
	maxClockSkew = time.Minute
)

// Action is what an Editor does.
type Action string

// The actions of an editor.
const (
	// ActionApply merges Edit.Config, which was made from revision Edit.Base.
	ActionApply Action = "apply"
	// ActionRollback makes a new revision with the content of Edit.To.
	ActionRollback Action = "rollback"
	// ActionAppendAudit appends an audit entry without a new revision.
	ActionAppendAudit Action = "record"
	// ActionRead returns the configuration of revision Edit.To, 0 for the newest.
	ActionRead Action = "read"
	// ActionCollect deletes sections and manifests of old revisions.
	ActionCollect Action = "collect"
	// ActionRotate moves old audit entries into a segment.
	ActionRotate Action = "rotate"
)

// Edit is one operation on the head record.
type Edit struct {
	Action Action
	// OpID is unique to the operation. A repeat with the same id is answered with
	// the revision that the first attempt got.
	OpID string
	// Base is the revision that the operator saw.
	Base   uint64
	Config *config.Config
	// TargetRevision is the revision whose content a rollback restores.
	TargetRevision uint64
	// Entry has the actor, office, kind and reason; the editor fills in the rest.
	Entry audit.Entry
	// FirstAttemptAt is the time of the first attempt of a record. The trail is searched for
	// the operation id back to it; zero stands for the start of this attempt.
	FirstAttemptAt time.Time
	// ConfirmedGuards lists guards that the operator has confirmed.
	ConfirmedGuards []config.Guard
	// HasSpend reports whether an account has spend; nil stands for all accounts.
	HasSpend func(account string) bool
}

// Result is the outcome of an accepted operation.
type Result struct {
	Revision uint64 `json:"revision"`
	// Merged is set if other edits were accepted since the base revision.
	Merged bool `json:"merged,omitempty"`
	// Repeated is set if an earlier attempt with the same operation id was
	// accepted.
	Repeated bool `json:"repeated,omitempty"`
	// Unchanged is set if the configuration in force already has the content, so
	// that no revision was made.
	Unchanged bool            `json:"unchanged,omitempty"`
	Changes   []config.Change `json:"changes,omitempty"`
	// Config is the configuration that a read found.
	Config *config.Config `json:"-"`
}

// Request is a group of store calls that an editor waits for; only one of the
// lists has elements. The calls of a group may run at the same time.
type Request struct {
	Get    []string
	Put    []platform.Write
	Delete []Deletion
}

// Deletion deletes a key that has the expected revision.
type Deletion struct {
	Key      string
	Expected platform.Revision
}

// Response is the outcome of one store call.
type Response struct {
	Item platform.Item
	Err  error
}

// Sections are contents of sections by hash. They are immutable, so they can be
// kept from one edit to the next.
type Sections map[config.Hash][]byte

// editorFaults are deliberate defects that tests switch on to show that the
// invariant tests see them.
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
	stageTrim
	stageCollectionReads
	stageFence
	stageDelete
	stageMarkCollected
	stageDone
)

// Editor carries out one Edit. The caller executes Request and gives the responses
// to Step until Done.
type Editor struct {
	edit     Edit
	sections Sections
	faults   editorFaults
	// retainedEntries and forcedRotationThreshold are the limits of that name.
	retainedEntries, forcedRotationThreshold int
	// retainedRevisions is the limit of that name.
	retainedRevisions uint64

	stage        stage
	request      Request
	now          time.Time
	started      time.Time
	swapAttempts int
	// swapOutcomeUnknown is set while a write of the head may still take effect. It is
	// cleared by a head that names the operation, or by one that no longer has the
	// revision which that write expects, unknownAt.
	swapOutcomeUnknown  bool
	unknownSwapExpected platform.Revision

	headItem platform.Item
	head     Head
	// trail holds the entries found so far, from entry trailFrom on; segment is
	// the number of the oldest segment read.
	trail         []audit.Entry
	oldestSegment int
	// manifests holds the manifests of the base and the target revision.
	manifests        map[uint64]config.Manifest
	pendingSections  []config.Hash
	pendingManifests []uint64
	next             Head
	nextValue        []byte
	rotated          audit.Segment
	collection       collection
	lastWrites       []platform.Write
	result           Result
	err              error
}

// NewEditor starts an edit. Known sections save reads; the editor adds to them.
func NewEditor(edit Edit, known Sections) *Editor {
	if known == nil {
		known = make(Sections)
	}
	e := &Editor{edit: edit, sections: known, retainedEntries: retainedEntries, forcedRotationThreshold: forcedRotationThreshold, retainedRevisions: retainedRevisions}
	if edit.Action == ActionApply {
		if err := edit.Config.Validate(); err != nil {
			e.finish(Result{}, err)
			return e
		}
	}
	e.readHead()
	return e
}

// Request returns the store calls to make next. It is empty when the edit is
// done.
func (e *Editor) Request() Request { return e.request }

// Done reports whether the edit has ended.
func (e *Editor) Done() bool { return e.stage == stageDone }

// Result returns the outcome of a finished edit. Errors are config.Errors,
// *config.MergeError, *config.GuardError, *StaleError, *UnknownRevisionError or
// those of the store; only with platform.ErrOutcomeUnknown the edit may have
// been accepted, and a repeat with the same operation id tells. An error of the
// repeat says nothing about the first attempt, whose write may still be on its way.
func (e *Editor) Result() (Result, error) { return e.result, e.err }

// Step continues with the responses to the last request, in its order.
func (e *Editor) Step(now time.Time, responses []Response) {
	e.now = now
	if e.started.IsZero() {
		e.started = now
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
	case stageSwap, stageTrim:
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
