package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/azurehatch/azurehatch/internal/spelling"
)

// maxNameBytes is the maximum length of a name. With it, only the lists of an
// entry determine how large the entry can get.
const maxNameBytes = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// validator collects the errors of a configuration.
type validator struct {
	c    *Config
	pos  *positions
	errs Errors
	// hashOwners and addressOwners map a key hash or an address, which must be
	// unique, to the entry that uses it.
	hashOwners, addressOwners map[string]string
	serviceNames              []string
}

func (c *Config) validate(pos *positions) Errors {
	v := &validator{c: c, pos: pos, hashOwners: make(map[string]string), addressOwners: make(map[string]string),
		serviceNames: slices.Sorted(maps.Keys(c.Services))}
	for _, name := range v.serviceNames {
		v.checkService(name, c.Services[name])
	}
	v.checkCycles()
	for _, id := range slices.Sorted(maps.Keys(c.Endpoints)) {
		v.checkEndpoint(id, c.Endpoints[id])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		v.checkAccount(name, c.Accounts[name])
	}
	for _, id := range slices.Sorted(maps.Keys(c.Budgets)) {
		v.checkBudget(id, c.Budgets[id])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Operators)) {
		v.checkOperator(name, c.Operators[name])
	}
	return v.errs
}

func (v *validator) addError(kind ErrorKind, path []string, format string, args ...any) {
	v.addErrorWithNearest(kind, path, "", format, args...)
}

func (v *validator) addErrorWithNearest(kind ErrorKind, path []string, nearest, format string, args ...any) {
	e := &Error{Kind: kind, Reason: fmt.Sprintf(format, args...), Nearest: nearest}
	v.pos.setPosition(e, path)
	v.errs = append(v.errs, e)
}

func (v *validator) checkName(path []string) {
	if name := path[len(path)-1]; len(name) > maxNameBytes || !namePattern.MatchString(name) {
		v.addError(ErrValue, path,
			"name %q must have 1 to %d letters, digits, '.', '_' or '-' and start with a letter or digit", name, maxNameBytes)
	}
}

// keyPath returns the path of a key of the entry at path.
func keyPath(path []string, key string) []string { return append(slices.Clone(path), key) }

func (v *validator) checkOneOf(path []string, value string, valid ...string) {
	if value == "" {
		v.addError(ErrMissing, path, "key is required, one of %s", strings.Join(valid, ", "))
	} else if !slices.Contains(valid, value) {
		v.addErrorWithNearest(ErrValue, path, spelling.Nearest(value, valid),
			"value %q is not one of %s", value, strings.Join(valid, ", "))
	}
}

func (v *validator) checkNotNegative(path []string, n int64) {
	if n < 0 {
		v.addError(ErrValue, path, "value %d is negative", n)
	}
}

func (v *validator) checkServiceExists(path []string, name string) {
	if _, ok := v.c.Services[name]; !ok {
		v.addErrorWithNearest(ErrUnknownName, path, spelling.Nearest(name, v.serviceNames),
			"service %q does not exist", name)
	}
}

func (v *validator) checkUnique(path []string, list []string) {
	seen := make(map[string]bool)
	for _, s := range list {
		if seen[s] {
			v.addError(ErrDuplicate, path, "value %q is listed twice", s)
		}
		seen[s] = true
	}
}

func (v *validator) checkService(name string, s Service) {
	path := []string{"service", name}
	v.checkName(path)
	v.checkOneOf(keyPath(path, "kind"), string(s.Kind), string(KindModel), string(KindPlain))
	for _, dep := range s.DependsOn {
		v.checkServiceExists(keyPath(path, "depends_on"), dep)
	}
	v.checkUnique(keyPath(path, "depends_on"), s.DependsOn)
	v.checkUnique(keyPath(path, "models"), s.Models)
	v.checkUnique(keyPath(path, "adapters"), s.Adapters)
	v.checkNotNegative(keyPath(path, "max_output_tokens"), s.MaxOutputTokens)
	v.checkNotNegative(keyPath(path, "price_tokens"), s.PriceTokens)
	v.checkNotNegative(keyPath(path, "slots_per_endpoint"), int64(s.SlotsPerEndpoint))
	for _, call := range s.NonIdempotentCalls {
		if !callPattern.MatchString(call) {
			v.addError(ErrValue, keyPath(path, "non_idempotent_calls"),
				"call %q is not \"METHOD\", \"/path\" or \"METHOD /path\"", call)
		}
	}
	v.checkKindKeys(path, s)
}

var callPattern = regexp.MustCompile(`^([A-Z]+|([A-Z]+ )?/[^ *]*\*?)$`)

// checkKindKeys rejects keys that have no effect for the kind of service.
func (v *validator) checkKindKeys(path []string, s Service) {
	if s.Kind == KindModel && len(s.Models) == 0 {
		v.addError(ErrMissing, keyPath(path, "models"), "a model service must list its models")
	}
	wrong := map[ServiceKind]map[string]bool{
		KindModel: {"price_tokens": s.PriceTokens != 0},
		KindPlain: {
			"models": len(s.Models) > 0, "max_output_tokens": s.MaxOutputTokens != 0, "adapters": len(s.Adapters) > 0,
			"version": s.Version != "", "first_token_timeout": s.FirstTokenTimeout.Duration != 0,
		},
	}[s.Kind]
	for _, key := range slices.Sorted(maps.Keys(wrong)) {
		if wrong[key] {
			v.addError(ErrValue, keyPath(path, key), "key has no meaning for a service of kind %q", s.Kind)
		}
	}
}

func (v *validator) checkEndpoint(id string, e Endpoint) {
	path := []string{"endpoint", id}
	v.checkName(path)
	v.checkServiceExists(keyPath(path, "service"), e.Service)
	v.checkOneOf(keyPath(path, "state"), string(e.WithDefaults().State), string(StateLive), string(StateLeaving))
	v.checkNotNegative(keyPath(path, "weight"), int64(e.Weight))
	if e.Domain == "" {
		v.addError(ErrMissing, keyPath(path, "domain"), "key is required: the failure domain of the endpoint")
	}
	addr, err := netip.ParseAddrPort(e.Address)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		v.addError(ErrAddress, keyPath(path, "address"), "address %q is not IP:port", e.Address)
		return
	}
	if other, ok := v.addressOwners[addr.String()]; ok {
		v.addError(ErrDuplicate, keyPath(path, "address"), "address %s is already used by endpoint %q", addr, other)
	}
	v.addressOwners[addr.String()] = id
}

func (v *validator) checkHash(path []string, hash, owner string) {
	digits, ok := strings.CutPrefix(hash, "sha256:")
	if raw, err := hex.DecodeString(digits); !ok || err != nil || len(raw) != 32 || strings.ToLower(digits) != digits {
		// The message omits the value, which may be a plaintext key entered by mistake.
		v.addError(ErrValue, path, "value is not \"sha256:\" and 64 lower-case hexadecimal digits")
		return
	}
	if other, ok := v.hashOwners[hash]; ok {
		v.addError(ErrDuplicate, path, "the same key is already used by %s", other)
	}
	v.hashOwners[hash] = owner
}

func (v *validator) checkAccount(name string, a Account) {
	path := []string{"account", name}
	v.checkName(path)
	v.checkNotNegative(keyPath(path, "weight"), int64(a.Weight))
	for _, key := range a.Keys {
		v.checkHash(keyPath(path, "keys"), key, "account "+name)
	}
}

func (v *validator) checkBudget(id string, b Budget) {
	account, name, _ := strings.Cut(id, "/")
	path := []string{"account", account, "budget", name}
	v.checkName(path)
	if _, ok := v.c.Accounts[account]; !ok {
		v.addError(ErrUnknownName, path, "account %q does not exist", account)
	}
	for _, service := range b.Services {
		v.checkServiceExists(keyPath(path, "services"), service)
	}
	v.checkUnique(keyPath(path, "services"), b.Services)
}

func (v *validator) checkOperator(name string, o Operator) {
	path := []string{"operator", name}
	v.checkName(path)
	if o.Team == "" {
		v.addError(ErrMissing, keyPath(path, "office"), "key is required: the operator's office")
	}
	v.checkOneOf(keyPath(path, "role"), string(o.Role), string(RoleViewer), string(RoleOperator), string(RoleBilling))
	v.checkHash(keyPath(path, "token"), o.Token, "operator "+name)
}

// checkCycles reports dependency cycles, each of them once.
func (v *validator) checkCycles() {
	const visiting, done = 1, 2
	state := make(map[string]int)
	var stack []string
	var visit func(name string)
	visit = func(name string) {
		switch state[name] {
		case done:
			return
		case visiting:
			cycle := append(slices.Clone(stack[slices.Index(stack, name):]), name)
			v.addError(ErrCycle, []string{"service", stack[len(stack)-1], "depends_on"},
				"dependency cycle: %s", strings.Join(cycle, " -> "))
			return
		}
		state[name] = visiting
		stack = append(stack, name)
		for _, dep := range v.c.Services[name].DependsOn {
			visit(dep)
		}
		stack = stack[:len(stack)-1]
		state[name] = done
	}
	for _, name := range v.serviceNames {
		visit(name)
	}
}
