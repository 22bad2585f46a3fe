package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/quarantine"
)

// Parts of prompts as suspects: requests with a part that crashes servers may have
// nothing else in common.

// kindOf names the kind of a subject in logs.
func kindOf(f quarantine.Fingerprint) string {
	if f.IsPart() {
		return "Prompt part"
	}
	return "Request"
}

// partNameLocked returns the ID of a part, or its fingerprint if the ID is not known.
func (s *suspects) partNameLocked(f quarantine.Fingerprint) string {
	if id := s.partIDs[f]; id != "" {
		return id
	}
	return f.String()
}

// partID returns the ID of a part; empty if it is not known.
func (s *suspects) partID(f quarantine.Fingerprint) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partIDs[f]
}

// mayContainParts reports whether crashes or interrupted runs of any part may be
// recorded.
func (s *suspects) mayContainParts() bool {
	if s.tracked.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.MayContain(quarantine.PartHead) || s.interruptions.MayContain(quarantine.PartHead)
}

// rememberPartIDs records the IDs of parts, in the order of their fingerprints.
func (s *suspects) rememberPartIDs(parts []call.Part, fingerprints []quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range fingerprints {
		s.partIDs[f] = strings.Clone(parts[i].ID) // Not the whole header.
	}
}

// forgetPartIDsLocked removes the IDs of parts without a record.
func (s *suspects) forgetPartIDsLocked() {
	for f := range s.partIDs {
		if s.registry.CrashCount(f) == 0 {
			delete(s.partIDs, f)
		}
	}
}

// partsRan records a whole run, which clears its parts. Parts with fewer crashes than
// publishFrom are cleared at this entry only.
func (s *suspects) partsRan(now time.Time, parts []quarantine.Fingerprint, publishFrom int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range parts {
		s.registry.WholeRun(now, f)
		if s.tracked.Load() == 0 {
			continue
		}
		if s.registry.CrashCount(f) < publishFrom {
			s.clearLocked(f, ranToCompletion)
			continue
		}
		s.clearEverywhereLocked(f, ranToCompletion)
	}
}

// ranToCompletion is the reason for clearing a subject that ran without a crash.
const ranToCompletion = "ran to completion"

// Numbers of crashes from which other entries are told that a part is cleared. Above
// maxUnshardedEntries a single crash is left to expire at the others.
const (
	clearPublishedFrom        = 1
	clearPublishedFromSharded = 2
)

// maxTrackedParts bounds the parts of one prompt that crashes are recorded against, so that
// one request can't fill the records.
const maxTrackedParts = 64

// trackedParts returns the prompt's shared parts that crashes are recorded against.
func (j *job) trackedParts() []call.Part {
	shared := j.head.Shared()
	return shared[:min(len(shared), maxTrackedParts)]
}

// partFingerprints returns the fingerprints of the tracked parts.
func (j *job) partFingerprints() []quarantine.Fingerprint {
	if j.partHashes == nil {
		for _, part := range j.trackedParts() {
			j.partHashes = append(j.partHashes, quarantine.PartFingerprint(part.ID))
		}
	}
	return j.partHashes
}

// subjects returns what a crash under this request is recorded against.
func (j *job) subjects() []quarantine.Fingerprint {
	return append([]quarantine.Fingerprint{j.fingerprint()}, j.partFingerprints()...)
}

// suspectSubjects returns those subjects that may have records, each once.
func (j *job) suspectSubjects() []quarantine.Fingerprint {
	var subjects []quarantine.Fingerprint
	if j.isSuspect() {
		subjects = append(subjects, j.fingerprint())
	}
	if len(j.head.Shared()) > 0 && j.gateway.state.suspects.mayContainParts() {
		for _, f := range j.partFingerprints() {
			if !slices.Contains(subjects, f) {
				subjects = append(subjects, f)
			}
		}
	}
	return subjects
}

// recordWholeRun clears the parts of a prompt that a server answered completely.
func (j *job) recordWholeRun() {
	publishFrom := clearPublishedFrom
	if j.gateway.sharded() {
		publishFrom = clearPublishedFromSharded
	}
	j.gateway.state.suspects.partsRan(time.Now(), j.partFingerprints(), publishFrom)
}
