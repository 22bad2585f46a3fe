package mirror_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

// at returns the version of a commit in an era.
func at(era, commit uint64) uint64 {
	version, err := platform.VersionOf(era, commit)
	if err != nil {
		panic(err) // Tests use small numbers.
	}
	return version
}

// olderNumber compares values of the form NUMBER or NUMBER:TEXT.
func olderNumber(_ string, known, value []byte) bool {
	number := func(value []byte) int {
		text, _, _ := strings.Cut(string(value), ":")
		n, _ := strconv.Atoi(text)
		return n
	}
	return number(value) < number(known)
}

func sameText(old, new []byte) bool {
	_, before, _ := strings.Cut(string(old), ":")
	_, after, _ := strings.Cut(string(new), ":")
	return before == after
}

func operators() mirror.Copy {
	return mirror.NewCopy(mirror.Policy{Older: olderNumber, Lasting: true})
}
func servers() mirror.Copy {
	return mirror.NewCopy(mirror.Policy{Same: sameText, Older: olderNumber})
}

func valued(key, value string, version uint64) mirror.Row {
	return mirror.Row{Key: key, Value: []byte(value), Version: version}
}

func snapshot(version uint64, rows ...mirror.Row) mirror.Batch {
	return mirror.Batch{Version: version, Snapshot: true, Rows: rows}
}

func changes(version uint64, rows ...mirror.Row) mirror.Batch {
	return mirror.Batch{Version: version, Rows: rows}
}

func valueOf(c *mirror.Copy, key string) string {
	for _, row := range c.Rows() {
		if row.Key == key {
			return string(row.Value)
		}
	}
	return "none"
}

// Guards against a configuration that reverts, or is forgotten, while the operator has not
// written it again.
func TestOperatorsRowsDoNotGoBackWithTheStore(t *testing.T) {
	c := operators()
	c.Apply(snapshot(400, valued("config", "30", 390), valued("version/m", "2", 300)))
	assert.Empty(t, c.Apply(snapshot(at(1, 45), valued("config", "25", at(1, 44)))))
	assert.Equal(t, "30", valueOf(&c, "config"))
	assert.Equal(t, "2", valueOf(&c, "version/m"), "the store has lost it")
	assert.Equal(t, at(1, 45), c.Version())
	assert.Empty(t, c.Apply(changes(at(1, 46), valued("config", "27", at(1, 46)))), "written again in the order of its versions")
	assert.Equal(t, "30", valueOf(&c, "config"))
	assert.Len(t, c.Apply(changes(at(1, 48), valued("config", "32", at(1, 48)))), 1)
	assert.Len(t, c.Apply(changes(at(1, 49), mirror.Row{Key: "version/m", Version: at(1, 49), Removed: true})), 1, "removed by the operator")
	fresh := operators()
	fresh.Apply(c.Since(0))
	assert.Equal(t, "32", valueOf(&fresh, "config"))
}

// Guards against requests to a server that is leaving or has ended, whose row comes back
// with the store's older copy.
func TestServersThatLeaveDoNotComeBackWithTheStore(t *testing.T) {
	c := servers()
	c.Apply(snapshot(300, valued("a", "5:ready", 290), valued("ended", "7:ready", 291), valued("new", "1:ready", 292)))
	c.Apply(changes(400, valued("a", "7:draining", 398), mirror.Row{Key: "ended", Version: 399, Removed: true}))
	changed := c.Apply(snapshot(at(1, 45), valued("a", "5:ready", at(1, 20)), valued("ended", "7:ready", at(1, 21))))
	assert.Equal(t, []mirror.Row{{Key: "new", Version: at(1, 45), Removed: true}}, changed, "the list decides how long it stays")
	assert.Equal(t, "7:draining", valueOf(&c, "a"))
	assert.Equal(t, "none", valueOf(&c, "ended"))
	assert.Len(t, c.Apply(changes(at(1, 46), valued("new", "1:ready", at(1, 46)))), 1, "it has not ended: registered again")
	reader := servers()
	reader.Apply(c.Since(0))
	assert.Equal(t, "7:draining", valueOf(&reader, "a"), "passed on")
	assert.Equal(t, "none", valueOf(&reader, "ended"))
}

// Guards against a server that stays excluded because what was known of it was wrong: one
// that is alive writes again and again.
func TestAServerThatWritesOnIsAccepted(t *testing.T) {
	c := servers()
	c.Apply(snapshot(400, valued("a", "70:ready", 390), valued("b", "70:ready", 391)))
	c.Apply(changes(401, mirror.Row{Key: "b", Version: 401, Removed: true}))
	c.Apply(snapshot(at(1, 45), valued("a", "1:x", at(1, 40)), valued("b", "1:x", at(1, 41))))
	for n := range uint64(4) {
		c.Apply(changes(at(1, 52+2*n), valued("a", fmt.Sprint(n, ":x"), at(1, 51+2*n)), valued("b", fmt.Sprint(n, ":x"), at(1, 52+2*n))))
	}
	assert.Equal(t, "3:x", valueOf(&c, "a"))
	assert.Equal(t, "3:x", valueOf(&c, "b"))
	assert.Len(t, c.Apply(changes(at(1, 70), valued("b", "71:ready", at(1, 70)))), 1)
}

// Guards against a server that had ended coming back because the store's copy holds a later
// value of its row than this copy had read.
func TestFirstVersionOfAnEndedRowIsNotAccepted(t *testing.T) {
	c := servers()
	c.Apply(snapshot(400, valued("ended", "5:ready", 390)))
	c.Apply(snapshot(410))
	assert.Empty(t, c.Apply(snapshot(at(1, 405), valued("ended", "6:ready", at(1, 395)))))
	assert.Equal(t, "none", valueOf(&c, "ended"))
	assert.Len(t, c.Apply(changes(at(1, 406), valued("ended", "8:ready", at(1, 406)))), 1, "it writes on: it is alive")
}

// Guards against an entry that starts in the drill and keeps what the store's older copy says.
func TestAnEntryThatStartsLearnsFromAnother(t *testing.T) {
	other, started := servers(), servers()
	other.Apply(snapshot(400, valued("a", "7:draining", 390), valued("ended", "3:ready", 391)))
	other.Apply(changes(401, mirror.Row{Key: "ended", Version: 401, Removed: true}))
	fromStore := snapshot(at(1, 45), valued("a", "5:ready", at(1, 20)), valued("ended", "3:ready", at(1, 21)))
	started.Apply(fromStore)
	late := servers()
	late.Apply(fromStore)
	require.Len(t, started.Apply(other.Known()), 2, "the other entry is of an earlier era")
	assert.Equal(t, "7:draining", valueOf(&started, "a"))
	assert.Equal(t, "none", valueOf(&started, "ended"))
	other.Apply(fromStore)
	late.Apply(other.Since(0))
	assert.Equal(t, "7:draining", valueOf(&late, "a"))
	assert.Equal(t, "none", valueOf(&late, "ended"))
	later := started.Since(at(1, 45))
	require.Len(t, later.Rows, 2, "readers of this entry may have asked up to its version already")
	reader := servers()
	reader.Apply(fromStore)
	reader.Apply(later)
	assert.Equal(t, started.Rows()[0].Value, reader.Rows()[0].Value)
	assert.Len(t, reader.Rows(), 1)
	assert.Empty(t, started.Apply(changes(at(1, 46), valued("a", "6:ready", at(1, 46)))), "written before it drained")
}

// Guards against rows of an earlier era being added by an entry that lags behind.
func TestAnEntryOfAnEarlierEraAddsNothing(t *testing.T) {
	c := servers()
	c.Apply(snapshot(at(1, 45), valued("a", "5:ready", at(1, 20))))
	c.Apply(changes(at(1, 46), valued("a", "6:ready", at(1, 46))))
	assert.Empty(t, c.Apply(snapshot(400, valued("gone", "9:ready", 390))))
	assert.Empty(t, c.Apply(changes(400, valued("gone", "9:ready", 390), mirror.Row{Key: "a", Version: 400, Removed: true})))
	assert.Equal(t, "6:ready", valueOf(&c, "a"))
	assert.Equal(t, at(1, 46), c.Version())
}

// Copies that exchange what they have read of a store with drills agree in the end, and no
// operator's row goes back in any of them.
func TestCopiesAgreeOverDrills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, copies := operators(), []mirror.Copy{operators(), operators(), operators()}
		era, commit, newest := uint64(0), uint64(0), 0
		var saved mirror.Batch
		write := func() {
			commit++
			newest++
			store.Apply(changes(at(era, commit), valued("config", fmt.Sprint(newest), at(era, commit))))
		}
		write()
		saved = store.Since(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			reader := &copies[rapid.IntRange(0, 2).Draw(t, "reader")]
			before := valueOf(reader, "config")
			switch rapid.SampledFrom([]string{"write", "read", "exchange", "save", "drill"}).Draw(t, "step") {
			case "write":
				write()
			case "read":
				if platform.EraOf(reader.Version()) == era {
					reader.Apply(store.Since(reader.Version()))
				} else {
					reader.Apply(store.Since(0))
				}
			case "exchange":
				reader.Apply(copies[rapid.IntRange(0, 2).Draw(t, "peer")].Since(reader.Version()))
			case "save":
				saved = store.Since(0)
			case "drill":
				era++
				commit = platform.CommitOf(saved.Version)
				row := saved.Rows[0]
				row.Version = at(era, platform.CommitOf(row.Version))
				store = operators()
				store.Apply(snapshot(at(era, commit), row))
			}
			if after := valueOf(reader, "config"); before != "none" && olderNumber("", []byte(before), []byte(after)) {
				t.Fatalf("configuration %s after %s", after, before)
			}
		}
		write()
		for i := range copies {
			copies[i].Apply(store.Since(0))
			assert.Equal(t, fmt.Sprint(newest), valueOf(&copies[i], "config"))
		}
	})
}
