package overload

import "time"

const (
	// shareTime is the time constant of the mean rates of accounts, and the time for which an account
	// without requests counts as one of those that share the link.
	shareTime = time.Second
	// shareDelay is how much longer the queue may be for requests of accounts within their share: the least
	// urgent ones of these are treated as the most urgent ones of other accounts.
	shareDelay = urgentDelay
)

// accounts holds the use of a link by the client accounts that have asked for something lately.
type accounts struct {
	uses map[string]*use
	// rate are the bytes a second that were admitted for all of them.
	rate mean
}

type use struct {
	rate    mean
	askedAt time.Time
}

func newAccounts() accounts {
	return accounts{uses: make(map[string]*use), rate: mean{time: shareTime}}
}

// asked records a request of an account.
func (a *accounts) asked(now time.Time, account string) {
	u, ok := a.uses[account]
	if !ok {
		u = &use{rate: mean{time: shareTime}}
		a.uses[account] = u
	}
	u.askedAt = now
}

// admitted records the bytes of a request that was admitted.
func (a *accounts) admitted(now time.Time, account string, bytes float64) {
	a.uses[account].rate.add(now, bytes)
	a.rate.add(now, bytes)
}

// withinShare reports whether an account beside others uses less than an even share of what is admitted,
// which is what the link carries when it matters.
func (a *accounts) withinShare(now time.Time, account string) bool {
	u := a.uses[account]
	u.rate.add(now, 0)
	a.rate.add(now, 0)
	return len(a.uses) > 1 && u.rate.value*float64(len(a.uses)) < a.rate.value
}

// largest returns the account with the largest part of what is admitted, and that part.
func (a *accounts) largest(now time.Time) (account string, part float64) {
	a.rate.add(now, 0)
	most := 0.0
	for name, u := range a.uses {
		u.rate.add(now, 0)
		if u.rate.value > most {
			account, most = name, u.rate.value
		}
	}
	if most == 0 {
		return "", 0
	}
	return account, min(1, most/a.rate.value)
}

// expire removes the accounts that have asked for nothing during shareTime, and what was admitted for them.
func (a *accounts) expire(now time.Time) {
	a.rate.add(now, 0)
	for account, u := range a.uses {
		if now.Sub(u.askedAt) > shareTime {
			u.rate.add(now, 0)
			a.rate.value = max(0, a.rate.value-u.rate.value)
			delete(a.uses, account)
		}
	}
}
