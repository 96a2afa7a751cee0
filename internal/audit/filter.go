package audit

import (
	"strings"
	"time"
)

// Filter selects entries. A zero field matches all entries; From is inclusive and
// To exclusive.
type Filter struct {
	From, To time.Time
	Actor    string
	Team     string
	Account  string
	Service  string
	Kind     Kind
	Result   Result
}

// Match reports whether the filter selects e. An entry that omits some of its
// subjects matches every account and service, since any of them may be among the
// omitted ones.
func (f Filter) Match(e Entry) bool {
	if (!f.From.IsZero() && e.At.Before(f.From)) || (!f.To.IsZero() && !e.At.Before(f.To)) {
		return false
	}
	switch {
	case f.Actor != "" && e.Actor != f.Actor,
		f.Team != "" && e.Team != f.Team,
		f.Kind != "" && e.Kind != f.Kind,
		f.Result != "" && e.Result != f.Result:
		return false
	}
	return (f.Account == "" || e.hasSubject(f.Account, matchesAccount)) &&
		(f.Service == "" || e.hasSubject(f.Service, matchesService))
}

func (e Entry) hasSubject(name string, match func(s Subject, name string) bool) bool {
	for _, s := range e.Subjects {
		if match(s, name) {
			return true
		}
	}
	return e.MoreSubjects > 0
}

// matchesAccount reports whether s is the account or one of its budgets, which are
// named "<account>/<budget>".
func matchesAccount(s Subject, name string) bool {
	switch s.Kind {
	case "account":
		return s.Name == name
	case "budget":
		return strings.HasPrefix(s.Name, name+"/")
	}
	return false
}

func matchesService(s Subject, name string) bool { return s.Kind == "service" && s.Name == name }

// Select returns the entries that match, in the given order.
func (f Filter) Select(entries []Entry) []Entry {
	var list []Entry
	for _, e := range entries {
		if f.Match(e) {
			list = append(list, e)
		}
	}
	return list
}
