package routing

import "github.com/hashicorp/golang-lru/v2/simplelru"

// newLRU returns an LRU cache of the given size, which must be positive.
func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	cache, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // size is below 1
	}
	return cache
}
