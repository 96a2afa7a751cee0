// Package admin serves the administration API over HTTP: the configuration and its
// history, accounts, the state of the fleet, orders and the audit trail.
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
	// maxBodyBytes leaves room for the configuration of the target size (31,000
	// accounts), which is about 10 MB of text.
	maxBodyBytes = 32 << 20
	// operatorRate (requests per second) and operatorBurst limit the requests of one
	// operator.
	operatorRate, operatorBurst = 10, 20
	// deniedAuditRate (entries per second) and deniedAuditBurst limit the audit
	// entries for denied requests, so that a client without a token cannot cause
	// unlimited store writes.
	deniedAuditRate, deniedAuditBurst = 1, 5
	// auditWriteTimeout limits the time to write an audit entry.
	auditWriteTimeout = 5 * time.Second
)

// Account is the API representation of a client account.
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

// TopUp is a request to add prepaid tokens to a budget. Repeating it with the same
// OpID has no effect.
type TopUp struct {
	Account string
	Budget  string
	Tokens  int64
	OpID    string
}

// Accounts provides access to the accounts and their budgets. For an unknown account
// or budget its methods return platform.ErrNotFound.
type Accounts interface {
	Account(ctx context.Context, name string) (Account, error)
	List(ctx context.Context) ([]Account, error)
	TopUp(ctx context.Context, t TopUp) (Budget, error)
	// HasSpend reports whether the account has spent tokens. The guard against removing
	// such accounts uses it.
	HasSpend(account string) bool
}

// Daemon is the state of one daemon of the fleet.
type Daemon struct {
	ID       string `json:"id"`
	Address  string `json:"address,omitempty"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	// AgeSeconds is the time since the daemon's revision was last confirmed.
	AgeSeconds float64 `json:"age_seconds"`
}

// FleetStatus is the state of the fleet as known to the daemon that serves the
// request.
type FleetStatus struct {
	Daemons   []Daemon       `json:"daemons"`
	Endpoints map[string]int `json:"endpoints,omitempty"`
}

// Fleet provides the state of the fleet.
type Fleet interface {
	Status(ctx context.Context) (FleetStatus, error)
}

// Options are the dependencies and settings of an API.
type Options struct {
	Store    platform.Store
	Accounts Accounts
	Fleet    Fleet
	Orders   Orders
	// Config returns the configuration in effect on this daemon, whose operators
	// may use the API; nil if there is none yet.
	Config func() *config.Config
	// BootstrapToken is the hash of a token that is accepted while the configuration
	// has no operators: "sha256:" followed by the hexadecimal SHA-256. If empty, no
	// token is accepted in that state.
	BootstrapToken string
	Log            zerolog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// API is the administration API. It implements http.Handler.
type API struct {
	opts   Options
	echo   *echo.Echo
	runner *editRunner

	// mu guards operatorLimiters.
	mu               sync.Mutex
	operatorLimiters map[string]*rate.Limiter
	deniedLimiter    *rate.Limiter
}

// principal is the authenticated operator of a request.
type principal struct {
	name, team string
	role       config.OperatorRole
}

// New returns an API with the given options.
func New(opts Options) *API {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	a := &API{opts: opts, echo: echo.New(), runner: newEditRunner(opts.Store, opts.Now),
		operatorLimiters: make(map[string]*rate.Limiter), deniedLimiter: rate.NewLimiter(deniedAuditRate, deniedAuditBurst)}
	a.echo.HideBanner, a.echo.HidePort = true, true
	a.echo.HTTPErrorHandler = a.writeError
	a.registerRoutes()
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	a.echo.ServeHTTP(w, r)
}

// Routes returns the routes as "METHOD /path", with path parameters written as
// ":name".
func (a *API) Routes() []string {
	var list []string
	for _, r := range a.echo.Routes() {
		list = append(list, r.Method+" "+r.Path)
	}
	return list
}

func (a *API) registerRoutes() {
	canRead := a.requireRole(config.RoleViewer, config.RoleOperator, config.RoleBilling)
	canEdit := a.requireRole(config.RoleOperator)
	canTopUp := a.requireRole(config.RoleBilling)
	v1 := a.echo.Group("/v1")
	v1.GET("/configuration", a.getConfiguration, canRead)
	v1.POST("/configuration", a.applyConfiguration, canEdit)
	v1.POST("/configuration/check", a.checkConfiguration, canRead)
	v1.POST("/configuration/diff", a.diffConfiguration, canRead)
	v1.GET("/configuration/history", a.history, canRead)
	v1.POST("/configuration/rollback", a.rollback, canEdit)
	v1.POST("/endpoints/:id/drain", a.drain, canEdit)
	v1.GET("/accounts", a.listAccounts, canRead)
	v1.GET("/accounts/:name", a.showAccount, canRead)
	v1.POST("/accounts/:name/topup", a.topUp, canTopUp)
	v1.GET("/fleet", a.fleetStatus, canRead)
	v1.GET("/audit", a.queryAudit, canRead)
	v1.GET("/orders", a.listOrders, canRead)
	v1.POST("/orders/:service/resume", a.resumeOrders, canEdit)
}

// requireRole returns middleware that admits only operators with one of the roles.
func (a *API) requireRole(roles ...config.OperatorRole) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			p, ok := a.authenticate(c.Request())
			if !ok {
				a.auditDeniedRequest(c, principal{name: "unknown"}, "no valid token")
				return newProblem(http.StatusUnauthorized, "unauthorized", "a valid operator token is required")
			}
			if !a.operatorLimiter(p.name).AllowN(a.opts.Now(), 1) {
				c.Response().Header().Set("Retry-After", "1")
				return newProblem(http.StatusTooManyRequests, "rate-limited", "operator "+p.name+" sends too many requests")
			}
			for _, role := range roles {
				if p.role == role {
					c.Set("principal", p)
					return next(c)
				}
			}
			a.auditDeniedRequest(c, p, "role "+string(p.role)+" does not allow this")
			return newProblem(http.StatusForbidden, "forbidden", "role "+string(p.role)+" does not allow this")
		}
	}
}

func requestPrincipal(c echo.Context) principal {
	p, _ := c.Get("principal").(principal)
	return p
}

func (a *API) operatorLimiter(name string) *rate.Limiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.operatorLimiters[name]
	if !ok {
		l = rate.NewLimiter(operatorRate, operatorBurst)
		a.operatorLimiters[name] = l
	}
	return l
}

// authenticate returns the operator to whom the request's token belongs. It
// compares the token's hash with those of all operators, in constant time each, so
// that the response time reveals nothing about them.
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
		return principal{name: "bootstrap", team: "bootstrap", role: config.RoleOperator}, ok
	}
	var found principal
	matches := 0
	for name, o := range c.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(o.Token)) == 1 {
			found = principal{name: name, team: o.Team, role: o.Role}
			matches++
		}
	}
	return found, matches == 1
}

// auditDeniedRequest writes an audit entry for a request that was denied for lack of
// a valid token or a sufficient role.
func (a *API) auditDeniedRequest(c echo.Context, p principal, detail string) {
	if !a.deniedLimiter.AllowN(a.opts.Now(), 1) {
		a.opts.Log.Warn().Str("actor", p.name).Str("detail", detail).Msg("denied request not audited: rate limit reached")
		return
	}
	// The request is denied either way; writeAuditEntry logs a failure.
	_ = a.writeAuditEntry(c, p, audit.Entry{Kind: audit.KindAccess, Result: audit.ResultRefused,
		Detail: c.Request().Method + " " + c.Request().URL.Path + ": " + detail}, uuid.NewString(), time.Time{})
}

// writeAuditEntry appends an audit entry. An earlier attempt may already have written
// it, but not before since. A failure is logged and returned.
func (a *API) writeAuditEntry(c echo.Context, p principal, e audit.Entry, opID string, since time.Time) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), auditWriteTimeout)
	defer cancel()
	e.Actor, e.Team = p.name, p.team
	_, err := a.runner.run(ctx, rollout.Edit{Action: rollout.ActionAppendAudit, OpID: opID, Entry: e, FirstAttemptAt: since})
	if err != nil {
		a.opts.Log.Error().Err(err).Str("actor", p.name).Str("kind", string(e.Kind)).Msg("failed to write audit entry")
	}
	return err
}
