package platform

import "github.com/rotisserie/eris"

// The platform's store may come back from an older copy of its rows. It then begins a new
// era and gives commit numbers of the earlier one out again. A version therefore consists
// of the era, in its high bits, and the store's commit number, so that versions order as a
// whole. Readers of JSON that hold numbers as float64 represent them exactly.
const (
	commitBits = 40
	eraBits    = 13
	// MaxCommit and MaxEra are the largest commit number and era that a version can hold.
	MaxCommit = 1<<commitBits - 1
	MaxEra    = 1<<eraBits - 1
)

// VersionOf returns the version of a commit in an era. It fails when one of them is too
// large.
func VersionOf(era, commit uint64) (uint64, error) {
	if era > MaxEra || commit > MaxCommit {
		return 0, eris.Errorf("version with era %d and commit %d, want at most %d and %d", era, commit, uint64(MaxEra), uint64(MaxCommit))
	}
	return era<<commitBits | commit, nil
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> commitBits }

// CommitOf returns the commit number of a version within its era.
func CommitOf(version uint64) uint64 { return version & MaxCommit }
