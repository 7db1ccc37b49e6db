// Package retry bounds how much a pool's failures multiply its load, by
// [Budgets] of tokens or, where the platform states its bound by the requests
// of a time, by [WindowBudgets].
//
// Each request to a pool pays a share of a token into the pool's budget and
// each retry takes one out, so that in a pool-wide failure the load grows by
// that share at most. Whether a retry is safe is decided by the caller, which
// knows whether the attempt has run.
//
// # Usage
//
//	budgets.Paid(pool, share)
//	if !budgets.Take(pool) {
//		return refuse("retry_budget")
//	}
//
//	windows.Paid(service)
//	if !windows.Take(service, 0) {
//		return refuse("retry_budget")
//	}
package retry

import "sync"

const (
	// initialTokens lets a pool without traffic retry at all.
	initialTokens = 3
	maxTokens     = 20
)

// Budgets holds the budget of each pool. It is safe for concurrent use.
type Budgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// New returns full budgets.
func New() *Budgets { return &Budgets{tokens: make(map[string]float64)} }

// RecordRequest counts one request to a pool whose share of retries is given.
func (b *Budgets) RecordRequest(pool string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[pool] = min(maxTokens, b.balance(pool)+share)
}

// Take takes one retry out of the pool's budget, if there is one.
func (b *Budgets) Take(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(pool)
	if balance < 1 {
		return false
	}
	b.tokens[pool] = balance - 1
	return true
}

func (b *Budgets) balance(pool string) float64 {
	if balance, ok := b.tokens[pool]; ok {
		return balance
	}
	return initialTokens
}
