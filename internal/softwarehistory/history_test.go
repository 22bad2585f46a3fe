package softwarehistory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/softwarehistory"
	"github.com/jayproxy/jayproxy/internal/streamorigin"
)

const takeUp = 30 * time.Second

var start = time.Unix(1_000_000, 0)

func after(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func versions(v ...streamorigin.Version) []streamorigin.Version { return v }

func only(h *softwarehistory.History, now time.Time) streamorigin.Version {
	v, _ := h.Only(now, takeUp)
	return v
}

func TestTheOnlyVersionIsKnownAfterTheTimeOfATakeUp(t *testing.T) {
	h := softwarehistory.New()
	assert.Zero(t, only(h, start))
	h.Observe(start, versions(1))
	assert.Zero(t, only(h, after(29)), "another may have been in service before the start")
	assert.EqualValues(t, 1, only(h, after(30)))
	h.Observe(after(40), versions(1, 2))
	assert.Zero(t, only(h, after(41)))
	h.Observe(after(50), versions(2))
	h.Observe(after(79), versions(2))
	assert.Zero(t, only(h, after(79)), "a stream of the version before may still be taken up")
	assert.EqualValues(t, 2, only(h, after(80)))
	h.Observe(after(90), versions(0, 2))
	assert.Zero(t, only(h, after(90)), "a server of unknown version")
}

// Guards against a version that is taken for the only one although another came and went while
// the process did not see the list.
func TestAnInterruptedHistoryIsNotWhole(t *testing.T) {
	h := softwarehistory.New()
	h.Observe(start, versions(1))
	h.Merge(start, nil, 0)
	assert.EqualValues(t, 1, only(h, start))
	h.Interrupt()
	assert.Zero(t, only(h, after(60)))
	assert.False(t, h.NeedsMerge(), "what is listed now is not known yet")
	h.Observe(after(60), versions(1))
	assert.Zero(t, only(h, after(61)))
	assert.True(t, h.NeedsMerge())
	h.Merge(after(61), []softwarehistory.Sighting{{Version: 1, Listed: true}, {Version: 2, Unlisted: 10 * time.Second}}, h.Interruptions())
	assert.Zero(t, only(h, after(61)))
	assert.EqualValues(t, 1, only(h, after(81)))
}

// Guards against a history that counts as whole by a record which was read before the
// interruption, and so does not show what came and went during it.
func TestARecordReadBeforeAnInterruptionMakesNoHistoryWhole(t *testing.T) {
	h := softwarehistory.New()
	h.Observe(start, versions(1))
	asked := h.Interruptions()
	h.Interrupt()
	h.Merge(after(1), []softwarehistory.Sighting{{Version: 1, Listed: true}}, asked)
	h.Observe(after(2), versions(1))
	assert.Zero(t, only(h, after(2)))
	assert.True(t, h.NeedsMerge())
	h.Merge(after(3), []softwarehistory.Sighting{{Version: 1, Listed: true}}, h.Interruptions())
	assert.EqualValues(t, 1, only(h, after(3)))
}

// Guards against streams that go on at a version that replaced theirs while all processes were
// away, and against processes that never know the version again.
func TestARecordOutlivesAllProcesses(t *testing.T) {
	before := softwarehistory.New()
	before.Observe(start, versions(1))
	record, changed := softwarehistory.MergeRecord(nil, before.Sightings(start))
	assert.True(t, changed)

	same := softwarehistory.New()
	same.Observe(after(60), versions(1))
	same.Merge(after(60), record, 0)
	assert.EqualValues(t, 1, only(same, after(60)))
	assert.False(t, same.RecordLacks(after(60)))

	replaced := softwarehistory.New()
	replaced.Observe(after(60), versions(2))
	replaced.Merge(after(60), record, 0)
	assert.Zero(t, only(replaced, after(60)))
	assert.True(t, replaced.RecordLacks(after(60)))
	record, _ = softwarehistory.MergeRecord(record, replaced.Sightings(after(60)))
	replaced.Merge(after(60), record, 0)
	assert.False(t, replaced.RecordLacks(after(64)))
	assert.True(t, replaced.RecordLacks(after(65)), "the version before has left")
	record, changed = softwarehistory.MergeRecord(record, replaced.Sightings(after(65)))
	assert.True(t, changed)
	replaced.Merge(after(65), record, 0)
	assert.False(t, replaced.RecordLacks(after(80)))
	assert.EqualValues(t, 2, only(replaced, after(90)), "merging again makes the version before no younger")

	last := softwarehistory.New()
	last.Observe(after(70), versions(2))
	record[0].Unlisted = 10 * time.Second
	last.Merge(after(70), record, 0)
	assert.Zero(t, only(last, after(70)))
	assert.EqualValues(t, 2, only(last, after(90)))
}

// Guards against a process whose list is behind, which removes a version from the record that
// others see.
func TestAProcessThatIsBehindRemovesNothingFromTheRecord(t *testing.T) {
	record := []softwarehistory.Sighting{{Version: 1, Listed: true}, {Version: 2, Listed: true}}
	behind := softwarehistory.New()
	behind.Observe(start, versions(1))
	behind.Merge(start, record, 0)
	merged, changed := softwarehistory.MergeRecord(record, behind.Sightings(after(4)))
	assert.False(t, changed)
	assert.Equal(t, record, merged)
	behind.Observe(after(4), versions(1, 2))
	assert.False(t, behind.RecordLacks(after(60)))
}
