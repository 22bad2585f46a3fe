package locality

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxAccounts bounds the prefixes whose charges are kept.
	maxAccounts = 4096
	// accountLifetime is the time over which a charge loses weight. Engines evict a
	// prefix within seconds of its last use, so a copy at home pays only for a prefix that
	// is used again within such a time.
	accountLifetime = 10 * time.Second
)

// accountKey is a prefix, under its salt, as used from one data centre.
type accountKey struct {
	prefix uint32
	home   string
}

// account is the sum of what requests with a prefix were charged for leaving their data
// centre, as of at.
type account struct {
	ms float64
	at time.Time
}

func (a account) value(now time.Time) float64 {
	return a.ms * math.Exp(-max(0, float64(now.Sub(a.at)))/float64(accountLifetime))
}

// accounts add up the charges of the requests that left for a prefix. As the sum is
// charged to the next request that would leave for the same prefix, the copy at home is
// made when the path has cost as much as the copy, so that both together cost at most
// twice as much as with knowledge of how often the prefix is used.
type accounts struct {
	lru *simplelru.LRU[accountKey, account]
}

func newAccounts() *accounts {
	lru, _ := simplelru.NewLRU[accountKey, account](maxAccounts, nil) // Fails for sizes below 1 only.
	return &accounts{lru: lru}
}

func (a *accounts) paid(now time.Time, key accountKey) float64 {
	one, _ := a.lru.Get(key)
	return one.value(now)
}

func (a *accounts) add(now time.Time, key accountKey, ms float64) {
	a.lru.Add(key, account{ms: a.paid(now, key) + ms, at: now})
}
