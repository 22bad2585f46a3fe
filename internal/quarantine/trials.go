package quarantine

import "time"

const (
	// trialSlot is the time in which one of several uncertain requests may be
	// tried. Concurrent trials would not show which request is at fault, so a slot
	// is long enough for a crash to happen and be announced to all entries.
	trialSlot = time.Second
	// claimWindowShare is the share of a slot, from its start, in which the trial
	// may be claimed.
	claimWindowShare = 0.5
)

// Verdict says whether a request may be sent.
type Verdict struct {
	// Quarantined requests must not be sent, except as a trial.
	Quarantined bool
	// Trial is the number, from 1, of the trial that may be claimed now; 0 if none.
	Trial int
	// RetryAfter is the time until the next trial, or until the record expires if
	// no trial is left. If Trial is set, it applies if the claim fails.
	RetryAfter time.Duration
}

// TrialClaimed records that an entry claimed a trial.
func (r *Registry) TrialClaimed(now time.Time, f Fingerprint, trial int) {
	rec := r.ensureRecord(now, f)
	if trial > rec.trials {
		rec.trials, rec.updatedAt = trial, now
	}
}

// TrialReleased records that a claimed trial was given up without running the request.
func (r *Registry) TrialReleased(f Fingerprint, trial int) {
	rec := r.records[f]
	if rec == nil || rec.trials != trial {
		return
	}
	rec.trials--
	r.dropIfEmpty(f, rec)
}

// Verdict returns whether a request may be sent now.
func (r *Registry) Verdict(now time.Time, f Fingerprint) Verdict {
	rec := r.records[f]
	if rec == nil || !rec.quarantined {
		return Verdict{}
	}
	wait := r.nextTrialIn(now, rec, r.trialDelays(f))
	if wait > 0 {
		return Verdict{Quarantined: true, RetryAfter: wait}
	}
	return Verdict{Quarantined: true, Trial: rec.trials + 1, RetryAfter: trialSlot}
}

func (r *Registry) trialDelays(f Fingerprint) []time.Duration {
	if f.IsPart() {
		return r.settings.PartTrialDelays
	}
	return r.settings.TrialDelays
}

// nextTrialIn returns the time until the next trial, or until the record expires
// if no trial is left. The first trial of an uncertain request runs in its slot:
// at most one of the requests that ran together is at fault, and trials in turn
// show which.
func (r *Registry) nextTrialIn(now time.Time, rec *record, delays []time.Duration) time.Duration {
	switch {
	case rec.trials >= len(delays):
		return rec.updatedAt.Add(r.settings.QuarantineTTL).Sub(now)
	case rec.uncertain() && rec.trials == 0:
		return rec.nextSlotIn(now)
	}
	return rec.updatedAt.Add(delays[rec.trials]).Sub(now)
}

// nextSlotIn returns the time until the next claim window of the request's slot;
// 0 if the window is open now.
func (rec *record) nextSlotIn(now time.Time) time.Duration {
	cycle := time.Duration(rec.slots) * trialSlot
	elapsed := (now.Sub(rec.uncertainSince) - time.Duration(rec.slot)*trialSlot) % cycle
	if elapsed < 0 {
		elapsed += cycle
	}
	if float64(elapsed) < claimWindowShare*float64(trialSlot) {
		return 0
	}
	return cycle - elapsed
}
