// Package retry limits repeated work: it has retry budgets, back-off pauses and the quarantine of requests that crash
// endpoints.
package retry

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"papayacroft/inventory"
)

const (
	// RequestShare is the number of retries that each request adds to an account.
	RequestShare = 0.1
	// RefillPerSecond is the number of retries that are added to an account per second.
	RefillPerSecond = 1.0
	// Burst is the largest number of retries that an account can hold.
	Burst = 10.0

	minPause = 50 * time.Millisecond
	maxPause = time.Second
	// maxAccounts is the number of accounts from which full ones are removed before another one is added. Nothing is
	// lost with a full account, as a new account starts full.
	maxAccounts = 4096
)

// Key identifies the account of a team's retries in a pool.
type Key struct {
	Team inventory.TeamRef
	Pool string
}

// account is a token bucket of retries.
type account struct {
	tokens float64
	at     time.Time
}

// refill adds the retries for the time since the last call.
func (acc *account) refill(now time.Time) {
	if elapsed := now.Sub(acc.at); elapsed > 0 {
		acc.tokens = min(Burst, acc.tokens+RefillPerSecond*elapsed.Seconds())
		acc.at = now
	}
}

// Budgets holds one account for each team and pool. It is safe for concurrent use.
type Budgets struct {
	mutex    sync.Mutex
	accounts map[Key]*account
}

// NewBudgets returns budgets whose accounts are full.
func NewBudgets() *Budgets {
	return &Budgets{accounts: map[Key]*account{}}
}

// Request adds the retries that a request earns to an account.
func (bud *Budgets) Request(now time.Time, key Key) {
	bud.mutex.Lock()
	defer bud.mutex.Unlock()
	acc := bud.account(now, key)
	acc.tokens = min(Burst, acc.tokens+RequestShare)
}

// Spend takes one retry from an account, or returns false if the account holds less than one.
func (bud *Budgets) Spend(now time.Time, key Key) bool {
	bud.mutex.Lock()
	defer bud.mutex.Unlock()
	acc := bud.account(now, key)
	if acc.tokens < 1 {
		return false
	}
	acc.tokens--
	return true
}

// account returns a refilled account, and creates it if there is none.
func (bud *Budgets) account(now time.Time, key Key) *account {
	acc, ok := bud.accounts[key]
	if !ok {
		bud.prune(now)
		acc = &account{tokens: Burst, at: now}
		bud.accounts[key] = acc
	}
	acc.refill(now)
	return acc
}

// prune removes full accounts if there are maxAccounts or more.
func (bud *Budgets) prune(now time.Time) {
	if len(bud.accounts) < maxAccounts {
		return
	}
	for key, acc := range bud.accounts {
		acc.refill(now)
		if acc.tokens >= Burst {
			delete(bud.accounts, key)
		}
	}
}

// NewPauses returns an exponential back-off with full jitter, so that retries don't synchronise. The upper bound of its
// pauses grows from 50 ms to 1 s.
func NewPauses() backoff.BackOff {
	pauses := backoff.NewExponentialBackOff()
	// With a factor of 1, pauses are drawn from 0 to twice the interval; the intervals are therefore halved.
	pauses.RandomizationFactor = 1
	pauses.InitialInterval, pauses.MaxInterval = minPause/2, maxPause/2
	return pauses
}
