// Package admin serves the administration API over HTTP: the configuration with
// its history, accounts, the state of the fleet and the audit trail.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/rollout"
)

// Limits of the API.
const (
	// maxBodyBytes admits the text of the target size (31,000 accounts), which is
	// about 10 MB.
	maxBodyBytes = 32 << 20
	// operatorRate and operatorBurst limit the calls of one operator.
	operatorRate, operatorBurst = 10, 20
	// refusalRate and refusalBurst limit the audit entries of refused callers, so
	// that a caller without a token cannot cause many store writes.
	refusalRate, refusalBurst = 1, 5
	// recordTimeout bounds the write of an audit entry.
	recordTimeout = 5 * time.Second
)

// Account is what the API shows of a client account.
type Account struct {
	Name    string   `json:"name"`
	Weight  int      `json:"weight"`
	Budgets []Budget `json:"budgets"`
}

// Budget is the state of one budget, in tokens.
type Budget struct {
	Name      string   `json:"name"`
	Services  []string `json:"services,omitempty"`
	Prepaid   int64    `json:"prepaid"`
	Spent     int64    `json:"spent"`
	Granted   int64    `json:"granted"`
	Available int64    `json:"available"`
	Disputed  int64    `json:"disputed,omitempty"`
}

// TopUp adds prepaid tokens to a budget. A repeat with the same OpID has no
// further effect.
type TopUp struct {
	Account string
	Budget  string
	Tokens  int64
	OpID    string
}

// Accounts is the budget ledger as the API needs it. An unknown account or
// budget is platform.ErrNotFound.
type Accounts interface {
	Account(ctx context.Context, name string) (Account, error)
	List(ctx context.Context) ([]Account, error)
	TopUp(ctx context.Context, t TopUp) (Budget, error)
	// Spent reports whether the account has spend; the guard on removal asks it.
	Spent(account string) bool
}

// Daemon is one member of the fleet.
type Daemon struct {
	ID       string `json:"id"`
	Address  string `json:"address,omitempty"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	// AgeSeconds is the time since the daemon's revision was confirmed.
	AgeSeconds float64 `json:"age_seconds"`
}

// FleetStatus is the state of the fleet as the answering daemon sees it.
type FleetStatus struct {
	Daemons   []Daemon       `json:"daemons"`
	Endpoints map[string]int `json:"endpoints,omitempty"`
}

// Fleet tells the state of the fleet.
type Fleet interface {
	Status(ctx context.Context) (FleetStatus, error)
}

// Options are what the API works on.
type Options struct {
	Store    platform.Store
	Accounts Accounts
	Fleet    Fleet
	Orders   Orders
	// Config returns the configuration in force on this daemon, whose operators
	// may use the API; nil if there is none yet.
	Config func() *config.Config
	// BootstrapToken is "sha256:" and the hash of a token that is accepted while
	// the configuration names no operator. Empty means that none is.
	BootstrapToken string
	Log            zerolog.Logger
	// Now is the clock; nil stands for time.Now.
	Now func() time.Time
}

// API is the administration API; it is an http.Handler.
type API struct {
	opts Options
	echo *echo.Echo
	edit *runner

	// mu guards limiters.
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	refusals *rate.Limiter
}

// principal is the authenticated operator of a request.
type principal struct {
	name, office string
	role         config.OperatorRole
}

// New returns the API.
func New(opts Options) *API {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	a := &API{opts: opts, echo: echo.New(), edit: newRunner(opts.Store, opts.Now),
		limiters: make(map[string]*rate.Limiter), refusals: rate.NewLimiter(refusalRate, refusalBurst)}
	a.echo.HideBanner, a.echo.HidePort = true, true
	a.echo.HTTPErrorHandler = a.writeError
	a.routes()
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	a.echo.ServeHTTP(w, r)
}

// Routes returns the routes as "METHOD /path" with path parameters as ":name".
func (a *API) Routes() []string {
	var list []string
	for _, r := range a.echo.Routes() {
		list = append(list, r.Method+" "+r.Path)
	}
	return list
}

func (a *API) routes() {
	read := a.allow(config.RoleViewer, config.RoleOperator, config.RoleBilling)
	edit := a.allow(config.RoleOperator)
	pay := a.allow(config.RoleBilling)
	v1 := a.echo.Group("/v1")
	v1.GET("/configuration", a.getConfiguration, read)
	v1.POST("/configuration", a.applyConfiguration, edit)
	v1.POST("/configuration/check", a.checkConfiguration, read)
	v1.POST("/configuration/diff", a.diffConfiguration, read)
	v1.GET("/configuration/history", a.history, read)
	v1.POST("/configuration/rollback", a.rollback, edit)
	v1.POST("/endpoints/:id/drain", a.drain, edit)
	v1.GET("/accounts", a.listAccounts, read)
	v1.GET("/accounts/:name", a.showAccount, read)
	v1.POST("/accounts/:name/topup", a.topUp, pay)
	v1.GET("/fleet", a.fleetStatus, read)
	v1.GET("/audit", a.queryAudit, read)
	v1.GET("/orders", a.listOrders, read)
	v1.POST("/orders/:service/resume", a.resumeOrders, edit)
}

// allow admits operators with one of the roles.
func (a *API) allow(roles ...config.OperatorRole) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			p, ok := a.authenticate(c.Request())
			if !ok {
				a.auditRefusal(c, principal{name: "unknown"}, "no valid token")
				return problem(http.StatusUnauthorized, "unauthorized", "a valid operator token is required")
			}
			if !a.limiter(p.name).AllowN(a.opts.Now(), 1) {
				c.Response().Header().Set("Retry-After", "1")
				return problem(http.StatusTooManyRequests, "rate-limited", "operator "+p.name+" sends too many requests")
			}
			for _, role := range roles {
				if p.role == role {
					c.Set("principal", p)
					return next(c)
				}
			}
			a.auditRefusal(c, p, "role "+string(p.role)+" does not allow this")
			return problem(http.StatusForbidden, "forbidden", "role "+string(p.role)+" does not allow this")
		}
	}
}

func caller(c echo.Context) principal {
	p, _ := c.Get("principal").(principal)
	return p
}

func (a *API) limiter(name string) *rate.Limiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.limiters[name]
	if !ok {
		l = rate.NewLimiter(operatorRate, operatorBurst)
		a.limiters[name] = l
	}
	return l
}

// authenticate compares the token's hash with all operators, so that the time
// taken does not tell which of them is close.
func (a *API) authenticate(r *http.Request) (principal, bool) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return principal{}, false
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte("sha256:" + hex.EncodeToString(sum[:]))
	c := a.opts.Config()
	if c == nil || len(c.Operators) == 0 {
		ok := a.opts.BootstrapToken != "" && subtle.ConstantTimeCompare(hash, []byte(a.opts.BootstrapToken)) == 1
		return principal{name: "bootstrap", office: "bootstrap", role: config.RoleOperator}, ok
	}
	var found principal
	matches := 0
	for name, o := range c.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(o.Token)) == 1 {
			found = principal{name: name, office: o.Office, role: o.Role}
			matches++
		}
	}
	return found, matches == 1
}

// auditRefusal records an attempt that the API did not admit.
func (a *API) auditRefusal(c echo.Context, p principal, detail string) {
	if !a.refusals.AllowN(a.opts.Now(), 1) {
		a.opts.Log.Warn().Str("actor", p.name).Str("detail", detail).Msg("refused attempt not audited: limit reached")
		return
	}
	// The caller is refused in any case; record logs a failure.
	_ = a.record(c, p, audit.Entry{Kind: audit.KindAccess, Result: audit.ResultRefused,
		Detail: c.Request().Method + " " + c.Request().URL.Path + ": " + detail}, uuid.NewString(), time.Time{})
}

// record appends an audit entry, which may have been written since the given
// time by an earlier attempt. A failure is logged and returned.
func (a *API) record(c echo.Context, p principal, e audit.Entry, opID string, since time.Time) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), recordTimeout)
	defer cancel()
	e.Actor, e.Office = p.name, p.office
	_, err := a.edit.run(ctx, rollout.Edit{Action: rollout.ActionAppendAudit, OpID: opID, Entry: e, FirstAttemptAt: since})
	if err != nil {
		a.opts.Log.Error().Err(err).Str("actor", p.name).Str("kind", string(e.Kind)).Msg("audit entry was not written")
	}
	return err
}
