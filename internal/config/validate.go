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

// maxNameBytes bounds a name, so that an entry's size is bounded by its lists.
const maxNameBytes = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// validator collects the faults of a configuration.
type validator struct {
	c    *Config
	pos  *positions
	errs Errors
	// seenKeys and seenAddresses find values that must be unique.
	seenKeys, seenAddresses map[string]string
	services                []string
}

func (c *Config) validate(pos *positions) Errors {
	v := &validator{c: c, pos: pos, seenKeys: make(map[string]string), seenAddresses: make(map[string]string),
		services: slices.Sorted(maps.Keys(c.Services))}
	for _, name := range v.services {
		v.service(name, c.Services[name])
	}
	v.cycles()
	for _, id := range slices.Sorted(maps.Keys(c.Endpoints)) {
		v.endpoint(id, c.Endpoints[id])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		v.account(name, c.Accounts[name])
	}
	for _, id := range slices.Sorted(maps.Keys(c.Budgets)) {
		v.budget(id, c.Budgets[id])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Operators)) {
		v.operator(name, c.Operators[name])
	}
	return v.errs
}

func (v *validator) add(kind ErrorKind, path []string, format string, args ...any) {
	v.addNear(kind, path, "", format, args...)
}

func (v *validator) addNear(kind ErrorKind, path []string, nearest, format string, args ...any) {
	e := &Error{Kind: kind, Reason: fmt.Sprintf(format, args...), Nearest: nearest}
	v.pos.locate(e, path)
	v.errs = append(v.errs, e)
}

func (v *validator) name(path []string) {
	if name := path[len(path)-1]; len(name) > maxNameBytes || !namePattern.MatchString(name) {
		v.add(ErrValue, path, "name %q must have 1 to %d letters, digits, '.', '_' or '-' and start with a letter or digit",
			name, maxNameBytes)
	}
}

// at returns the path of a key of an entry.
func at(path []string, key string) []string { return append(slices.Clone(path), key) }

func (v *validator) oneOf(path []string, value string, valid ...string) {
	if value == "" {
		v.add(ErrMissing, path, "key is required, one of %s", strings.Join(valid, ", "))
	} else if !slices.Contains(valid, value) {
		v.addNear(ErrValue, path, spelling.Nearest(value, valid), "value %q is not one of %s", value, strings.Join(valid, ", "))
	}
}

func (v *validator) notNegative(path []string, n int64) {
	if n < 0 {
		v.add(ErrValue, path, "value %d is negative", n)
	}
}

func (v *validator) knownService(path []string, name string) {
	if _, ok := v.c.Services[name]; !ok {
		v.addNear(ErrUnknown, path, spelling.Nearest(name, v.services), "service %q does not exist", name)
	}
}

func (v *validator) unique(path []string, list []string) {
	seen := make(map[string]bool)
	for _, s := range list {
		if seen[s] {
			v.add(ErrDuplicate, path, "value %q is listed twice", s)
		}
		seen[s] = true
	}
}

func (v *validator) service(name string, s Service) {
	path := []string{"service", name}
	v.name(path)
	v.oneOf(at(path, "kind"), string(s.Kind), string(KindModel), string(KindPlain))
	for _, dep := range s.DependsOn {
		v.knownService(at(path, "depends_on"), dep)
	}
	v.unique(at(path, "depends_on"), s.DependsOn)
	v.unique(at(path, "models"), s.Models)
	v.unique(at(path, "adapters"), s.Adapters)
	v.notNegative(at(path, "max_output_tokens"), s.MaxOutputTokens)
	v.notNegative(at(path, "price_tokens"), s.PriceTokens)
	v.notNegative(at(path, "slots_per_endpoint"), int64(s.SlotsPerEndpoint))
	for _, call := range s.NonIdempotentCalls {
		if !callPattern.MatchString(call) {
			v.add(ErrValue, at(path, "non_idempotent_calls"),
				"call %q is not \"METHOD\", \"/path\" or \"METHOD /path\"", call)
		}
	}
	v.kindKeys(path, s)
}

var callPattern = regexp.MustCompile(`^([A-Z]+|([A-Z]+ )?/[^ *]*\*?)$`)

// kindKeys refuses keys that have no effect for the kind of service.
func (v *validator) kindKeys(path []string, s Service) {
	if s.Kind == KindModel && len(s.Models) == 0 {
		v.add(ErrMissing, at(path, "models"), "a model service must list its models")
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
			v.add(ErrValue, at(path, key), "key has no meaning for a service of kind %q", s.Kind)
		}
	}
}

func (v *validator) endpoint(id string, e Endpoint) {
	path := []string{"endpoint", id}
	v.name(path)
	v.knownService(at(path, "service"), e.Service)
	v.oneOf(at(path, "state"), string(e.WithDefaults().State), string(StateLive), string(StateLeaving))
	v.notNegative(at(path, "weight"), int64(e.Weight))
	if e.Domain == "" {
		v.add(ErrMissing, at(path, "domain"), "key is required: the failure domain of the endpoint")
	}
	addr, err := netip.ParseAddrPort(e.Address)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		v.add(ErrAddress, at(path, "address"), "address %q is not IP:port", e.Address)
		return
	}
	if other, ok := v.seenAddresses[addr.String()]; ok {
		v.add(ErrDuplicate, at(path, "address"), "address %s is already used by endpoint %q", addr, other)
	}
	v.seenAddresses[addr.String()] = id
}

func (v *validator) hash(path []string, hash, owner string) {
	digits, ok := strings.CutPrefix(hash, "sha256:")
	if raw, err := hex.DecodeString(digits); !ok || err != nil || len(raw) != 32 || strings.ToLower(digits) != digits {
		// The value is not repeated: it may be a key written in clear by mistake.
		v.add(ErrValue, path, "value is not \"sha256:\" and 64 lower-case hexadecimal digits")
		return
	}
	if other, ok := v.seenKeys[hash]; ok {
		v.add(ErrDuplicate, path, "the same key is already used by %s", other)
	}
	v.seenKeys[hash] = owner
}

func (v *validator) account(name string, a Account) {
	path := []string{"account", name}
	v.name(path)
	v.notNegative(at(path, "weight"), int64(a.Weight))
	for _, key := range a.Keys {
		v.hash(at(path, "keys"), key, "account "+name)
	}
}

func (v *validator) budget(id string, b Budget) {
	account, name, _ := strings.Cut(id, "/")
	path := []string{"account", account, "budget", name}
	v.name(path)
	if _, ok := v.c.Accounts[account]; !ok {
		v.add(ErrUnknown, path, "account %q does not exist", account)
	}
	for _, service := range b.Services {
		v.knownService(at(path, "services"), service)
	}
	v.unique(at(path, "services"), b.Services)
}

func (v *validator) operator(name string, o Operator) {
	path := []string{"operator", name}
	v.name(path)
	if o.Team == "" {
		v.add(ErrMissing, at(path, "office"), "key is required: the operator's office")
	}
	v.oneOf(at(path, "role"), string(o.Role), string(RoleViewer), string(RoleOperator), string(RoleBilling))
	v.hash(at(path, "token"), o.Token, "operator "+name)
}

// cycles reports each cycle of dependencies once.
func (v *validator) cycles() {
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
			v.add(ErrCycle, []string{"service", stack[len(stack)-1], "depends_on"},
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
	for _, name := range v.services {
		visit(name)
	}
}
