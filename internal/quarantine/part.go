package quarantine

import (
	"crypto/sha256"
	"time"
)

// PartHead is the head of the fingerprints of all parts. No request has it.
const PartHead Head = 0

// PartFingerprint identifies a part of prompts, whatever the workspace, the model and the
// rest of the prompt: a part that crashes servers does so in any request.
func PartFingerprint(id string) Fingerprint {
	var f Fingerprint
	hash := sha256.Sum256([]byte(id))
	copy(f[headBytes:], hash[:])
	return f
}

// IsPart reports whether the fingerprint is that of a part rather than of a request.
func (f Fingerprint) IsPart() bool { return f.Head() == PartHead }

const (
	// partHistoryPeriod is how long whole runs are remembered at least, unless there are
	// more than maxPartHistory parts.
	partHistoryPeriod = 30 * time.Second
	// maxPartHistory bounds the parts remembered for each of two periods.
	maxPartHistory = 8192
)

// partHistory remembers which parts were in whole runs of this entry in the last one or
// two periods. Nearly every crash ends runs of the parts that most prompts share; these
// have a history, the part that causes the crashes usually has none.
type partHistory struct {
	current, previous map[Fingerprint]struct{}
	begunAt           time.Time
}

func (h *partHistory) add(now time.Time, part Fingerprint) {
	if h.current == nil || now.Sub(h.begunAt) >= partHistoryPeriod || len(h.current) >= maxPartHistory {
		h.previous, h.current, h.begunAt = h.current, make(map[Fingerprint]struct{}, len(h.current)), now
	}
	h.current[part] = struct{}{}
}

func (h *partHistory) contains(now time.Time, part Fingerprint) bool {
	age := now.Sub(h.begunAt)
	if _, ok := h.current[part]; ok {
		return age < 2*partHistoryPeriod
	}
	_, ok := h.previous[part]
	return ok && age < partHistoryPeriod
}
