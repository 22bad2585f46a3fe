package routing

import (
	"time"
)

// PrefixHint tells that a server reads a prefix. It comes from another entry,
// is some milliseconds old and may be wrong by now.
type PrefixHint struct {
	// Prefix is the key of one level of a prefix under its salt. Two prefixes may
	// share a key: that costs a prompt read again, as the salt keeps them apart.
	Prefix uint32
	Server string
	// Address of the server; empty in hints that are sent.
	Address string
	// ReadyIn is the expected time until others can fetch the prefix there.
	ReadyIn time.Duration
}

// LoadHint tells of another entry's unread prompts at a server.
type LoadHint struct {
	Server    string
	PrefillMS float64
}

// maxPendingHints bounds the hints that wait to be sent; the newest are dropped.
const maxPendingHints = 256

// loadHintLifetime is how long another entry's word on its unread prompts counts,
// fading: engines read them in some hundred milliseconds.
const loadHintLifetime = 400 * time.Millisecond

// receivedLoad is what one other entry said of one server.
type receivedLoad struct {
	prefillMS float64
	at        time.Time
}

// recordHint keeps a hint for the other entries.
func (d *Direct) recordHint(prefix uint32, server string, readyIn time.Duration) {
	if len(d.prefixHints) < maxPendingHints {
		d.prefixHints = append(d.prefixHints, PrefixHint{Prefix: prefix, Server: server, ReadyIn: readyIn})
	}
}

// TakePrefixHints returns what others should hear since the last call.
func (d *Direct) TakePrefixHints() []PrefixHint {
	hints := d.prefixHints
	d.prefixHints = nil
	return hints
}

// ReceivePrefixHints takes in hints of another entry.
func (d *Direct) ReceivePrefixHints(now time.Time, hints []PrefixHint) {
	for _, h := range hints {
		d.prefixes.add(now, h.Prefix, h.Server, h.Address, now.Add(h.ReadyIn))
	}
}

// LoadHints returns our own unread prompts at each server that has any.
func (d *Direct) LoadHints() []LoadHint {
	var loads []LoadHint
	for server, l := range d.loads {
		if l.prefillMS >= 1 {
			loads = append(loads, LoadHint{Server: server, PrefillMS: l.prefillMS})
		}
	}
	return loads
}

// ReceiveLoadHints takes in another entry's unread prompts. Servers that it does not
// name have none of them.
func (d *Direct) ReceiveLoadHints(now time.Time, entry uint32, loads []LoadHint) {
	for _, l := range d.loads {
		delete(l.receivedLoads, entry)
	}
	for _, hint := range loads {
		d.load(hint.Server).receivedLoads[entry] = receivedLoad{prefillMS: hint.PrefillMS, at: now}
	}
}

// hintedPrefillMS is what the other entries' unread prompts at a server take.
func (l *directLoad) hintedPrefillMS(now time.Time) float64 {
	sum := 0.0
	for _, h := range l.receivedLoads {
		sum += h.remaining(now)
	}
	return sum
}

// remaining is what is left of a word by now.
func (h receivedLoad) remaining(now time.Time) float64 {
	return h.prefillMS * max(0, 1-float64(now.Sub(h.at))/float64(loadHintLifetime))
}
