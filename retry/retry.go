// Package retry limits how much retries add to the load of failing servers.
// [Budgets] limits them by tokens per pool. [WindowBudgets] limits them by the
// requests in a time window, for platforms that state their limit that way.
//
// Each request to a pool adds a share of a token to the pool's budget and each
// retry takes one token, so that retries add at most that share to the load
// when the whole pool fails. The caller decides whether a retry is safe, since
// it knows whether the attempt has run.
//
// # Usage
//
//	budgets.RecordRequest(pool, share)
//	if !budgets.Take(pool) {
//		return refuse("retry_budget")
//	}
//
//	windows.RecordRequest(service)
//	if !windows.Take(service, 0) {
//		return refuse("retry_budget")
//	}
package retry

import "sync"

const (
	// initialTokens allows retries in a pool that has had little traffic.
	initialTokens = 3
	maxTokens     = 20
)

// Budgets holds the retry budget of each pool. It is safe for concurrent use.
type Budgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// New returns budgets in which each pool starts with initialTokens.
func New() *Budgets { return &Budgets{tokens: make(map[string]float64)} }

// RecordRequest counts one request to a pool, which adds share tokens to its
// budget.
func (b *Budgets) RecordRequest(pool string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[pool] = min(maxTokens, b.balance(pool)+share)
}

// Take takes the token for one retry out of the pool's budget. It returns false
// if there is none.
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
