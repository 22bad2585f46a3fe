package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/routing"
)

var oneStore = []routing.KVStore{routing.NewKVStore("store:1", "a", 290000)}

func promptWithStore(id, document string) *routing.DirectRequest {
	req := prompt(id, document)
	req.KVStores = oneStore
	return req
}

// updateStore reports the deepest part of a prompt as held or dropped by the
// store.
func updateStore(d *routing.Direct, document string, held bool) {
	d.UpdateStoredPart(directStart, &oneStore[0], routing.Salt(1, ""), document, held)
}

// Without a store, the prefixes lost in an engine's crash are prefilled again.
func TestLostPrefixIsFetchedFromStore(t *testing.T) {
	d, servers := newDirect(), directServers(4)
	first := choose(t, d, 0, promptWithStore("r1", "contract"), servers)
	assert.Equal(t, "store:1", first.SaveTo, "the first prefill is saved")
	served(d, 300*time.Millisecond, "r1")
	d.ForgetCache(first.Server.ID)
	next := choose(t, d, 2*time.Second, promptWithStore("r2", "contract"), servers)
	assert.Equal(t, routing.SourceStore, next.Source)
	assert.Equal(t, "store:1", next.FetchFrom)
	assert.Empty(t, next.SaveTo, "the store has it already")
	assert.Less(t, next.Terms.PrefillMS, first.Terms.PrefillMS)
}

// Entries notify each other of saves; otherwise each saves the same prefix.
func TestAPrefixIsSavedOnceByAllEntries(t *testing.T) {
	one, two, servers := newDirect(), newDirect(), directServers(4)
	choose(t, one, 0, promptWithStore("r1", "contract"), servers)
	saved := one.TakeSavedParts()
	require.Len(t, saved, 1)
	two.ReceiveSavedParts(directStart, saved)
	assert.Empty(t, choose(t, two, 100*time.Millisecond, promptWithStore("r2", "contract"), servers).SaveTo)
	assert.Equal(t, "store:1", choose(t, two, 2*time.Second, promptWithStore("r3", "contract"), servers).FetchFrom)
}

// A server evicts a prefix without notice: the request sent there must name the
// store as well, or the prefix is prefilled again.
func TestStoreIsFallbackForPrefixEvictedByServer(t *testing.T) {
	d, servers := newDirect(), directServers(4)
	choose(t, d, 0, promptWithStore("r1", "contract"), servers)
	served(d, 300*time.Millisecond, "r1")
	updateStore(d, "contract", true)
	held := choose(t, d, time.Second, promptWithStore("r2", "contract"), servers)
	assert.Equal(t, routing.SourceHeld, held.Source)
	assert.Equal(t, "store:1", held.FetchFrom)
}

// The store's own updates take precedence over what was sent to it.
func TestStoreUpdateOverridesSavedParts(t *testing.T) {
	d, servers := newDirect(), directServers(4)
	first := choose(t, d, 0, promptWithStore("r1", "contract"), servers)
	served(d, 300*time.Millisecond, "r1")
	updateStore(d, "contract", true)
	updateStore(d, "contract", false)
	d.ForgetCache(first.Server.ID)
	again := choose(t, d, 3*time.Second, promptWithStore("r2", "contract"), servers)
	assert.NotEqual(t, routing.SourceStore, again.Source, "the store dropped the part")
	assert.Equal(t, "store:1", again.SaveTo, "the part is prefilled again, so it is saved again")
}

// After the store lost its parts, engines must not be directed to fetch from it.
func TestEmptyStoreIsNotUsed(t *testing.T) {
	d, servers := newDirect(), directServers(4)
	first := choose(t, d, 0, promptWithStore("r1", "contract"), servers)
	served(d, 300*time.Millisecond, "r1")
	updateStore(d, "contract", true)
	d.ForgetStoredParts()
	d.ForgetCache(first.Server.ID)
	assert.NotEqual(t, "store:1", choose(t, d, 2*time.Second, promptWithStore("r2", "contract"), servers).FetchFrom)
}

// A refused request saves nothing: its prefix must not count as stored.
func TestPromptThatWasNotPrefilledIsNotSaved(t *testing.T) {
	d, servers := newDirect(), directServers(4)
	choose(t, d, 0, promptWithStore("r1", "contract"), servers)
	d.Finished(directStart, "r1", false)
	assert.Equal(t, "store:1", choose(t, d, time.Second, promptWithStore("r2", "contract"), servers).SaveTo)
}

// Unshared prompts must not evict shared ones from the store, but must be saved
// while it has room; otherwise nothing is saved where no prompt is half shared.
func TestMostlyUnsharedPromptIsSavedOnlyWhileStoreHasRoom(t *testing.T) {
	d, servers := newDirect(), directServers(4)
	own := func(id, document string) *routing.DirectRequest {
		req := promptWithStore(id, document)
		req.Tokens = 3 * req.Tokens
		return req
	}
	assert.NotEmpty(t, choose(t, d, 0, own("r", "contract"), servers).SaveTo, "the store has room")
	for i := range 40 {
		document := fmt.Sprint("contract", i)
		choose(t, d, time.Duration(i)*10*time.Millisecond, promptWithStore(fmt.Sprint("r", i), document), servers)
		d.UpdateStoredPart(directStart.Add(time.Second), &oneStore[0], routing.Salt(1, ""), document, false)
	}
	assert.Empty(t, choose(t, d, 3*time.Second, own("s", "report"), servers).SaveTo, "the store drops parts early")
	assert.NotEmpty(t, choose(t, d, 3*time.Second, promptWithStore("t", "other"), servers).SaveTo, "a mostly shared prompt is still saved")
	assert.NotEmpty(t, choose(t, d, time.Minute, own("u", "report"), servers).SaveTo, "the store has room again")
}

// With new weights every prefix is saved again within seconds; saves that fill
// the store's link delay fetches.
func TestSavesStayWithinShareOfLink(t *testing.T) {
	for perSecond, atMost := range map[float64]int{290000: 290000 * 2, 29000: 29000 * 2, 0: 0} {
		d, servers := newDirect(), directServers(8)
		stores := []routing.KVStore{routing.NewKVStore("store:1", "a", perSecond)}
		tokens := 0
		for i := range 200 {
			req := prompt(fmt.Sprint("r", i), fmt.Sprint("contract", i))
			req.KVStores = stores
			if choose(t, d, time.Duration(i)*time.Millisecond, req, servers).SaveTo != "" {
				tokens += req.Tokens
			}
		}
		assert.LessOrEqual(t, tokens, atMost+10000, "%.0f tokens per second", perSecond)
		assert.Equal(t, perSecond > 0, tokens > 0)
	}
}

// Parts of other versions or isolated workspaces have other salts and must not
// be taken for one another.
func TestStoredPartsAreSeparatedBySalt(t *testing.T) {
	d, servers := newDirect(), directServers(4)
	choose(t, d, 0, promptWithStore("r1", "contract"), servers)
	served(d, 300*time.Millisecond, "r1")
	updateStore(d, "contract", true)
	isolated := promptWithStore("r2", "contract")
	isolated.CacheScope = "/w"
	assert.NotEqual(t, routing.SourceStore, choose(t, d, 2*time.Second, isolated, servers).Source)
	for i := range servers {
		servers[i].Version = 2
	}
	assert.NotEqual(t, routing.SourceStore, choose(t, d, 2*time.Second, promptWithStore("r3", "contract"), servers).Source)
}

// Entries must look for a prefix at the store to which another entry saved it.
func TestEntriesAgreeOnTheStoreOfAPrefix(t *testing.T) {
	stores := []routing.KVStore{routing.NewKVStore("store:1", "a", 290000), routing.NewKVStore("store:2", "b", 290000), routing.NewKVStore("store:3", "c", 290000)}
	rotated := []routing.KVStore{stores[2], stores[0], stores[1]}
	used := map[string]int{}
	for i := range 30 {
		servers := directServers(8)
		req := prompt("r", fmt.Sprint("contract", i))
		req.KVStores = stores
		one := choose(t, newDirect(), 0, req, servers).SaveTo
		req.KVStores = rotated
		assert.Equal(t, one, choose(t, newDirect(), 0, req, servers).SaveTo)
		used[one]++
	}
	assert.Len(t, used, 3, "every store is used")
}

func BenchmarkDirectChoiceWithStores(b *testing.B) {
	d, servers := newDirect(), directServers(318)
	var req *routing.DirectRequest
	for i := range b.N {
		req = prompt(fmt.Sprint(i), fmt.Sprint(i%100))
		req.KVStores = []routing.KVStore{oneStore[0]}
		if _, err := d.Choose(directStart.Add(time.Duration(i)*time.Millisecond), req, servers, nil); err != nil {
			b.Fatal(err)
		}
		d.FirstToken(directStart, req.ID)
		d.Finished(directStart, req.ID, true)
	}
}
