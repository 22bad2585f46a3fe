package routing

import (
	"time"
)

// PrefixHint says that a server was sent a request with a prefix. It comes from
// another entry, is some milliseconds old and may be outdated.
type PrefixHint struct {
	// Prefix is the key of one level of a prefix under its salt. If two
	// prefixes share a key, a prompt may be prefilled again; the salt prevents
	// that a wrong cache entry is used.
	Prefix uint32
	// Owner is the key of the owners of the request's prefix, see DirectRequest.OwnerKey; 0:
	// not known.
	Owner  uint32
	Server string
	// Address of the server; empty in hints to be sent.
	Address string
	// ReadyIn is the expected time until the prefix can be fetched from there.
	ReadyIn time.Duration
}

// LoadHint is the pending prefill of another entry's requests at a server.
type LoadHint struct {
	Server    string
	PrefillMS float64
}

// maxPendingHints bounds the hints that wait to be sent; further ones are
// dropped.
const maxPendingHints = 256

// loadHintLifetime is how long a load hint counts, with linearly falling
// weight: engines prefill a prompt within some hundred milliseconds.
const loadHintLifetime = 400 * time.Millisecond

// receivedLoad is the pending prefill that one other entry reported for one
// server.
type receivedLoad struct {
	prefillMS float64
	at        time.Time
}

// recordHint queues a prefix hint for the other entries.
func (d *Direct) recordHint(hint PrefixHint) {
	if len(d.prefixHints) < maxPendingHints {
		d.prefixHints = append(d.prefixHints, hint)
	}
}

// TakePrefixHints returns the prefix hints recorded since the last call.
func (d *Direct) TakePrefixHints() []PrefixHint {
	hints := d.prefixHints
	d.prefixHints = nil
	return hints
}

// HolderHints returns hints on the holders of the prefixes that were used last, at most that
// many prefixes, so that another router knows what this one knows.
func (d *Direct) HolderHints(now time.Time, most int) []PrefixHint {
	var hints []PrefixHint
	keys := d.prefixes.records.Keys()
	for i := len(keys) - 1; i >= max(0, len(keys)-most); i-- {
		records, _ := d.prefixes.records.Peek(keys[i])
		for _, r := range records {
			age := now.Sub(r.usedAt)
			switch ready := r.ready(now); {
			case ready && age < d.prefixes.retention:
				hints = append(hints, PrefixHint{Prefix: keys[i], Owner: r.owner, Server: r.server, Address: r.address})
			case !ready && age < pendingTimeout:
				hints = append(hints, PrefixHint{Prefix: keys[i], Owner: r.owner, Server: r.server, Address: r.address, ReadyIn: min(r.readyAt.Sub(now), maxHintedWait)})
			}
		}
	}
	return hints
}

// maxHintedWait is the time until a prefix is ready that is stated where it is not known.
const maxHintedWait = 500 * time.Millisecond

// ReceivePrefixHints records prefix hints of another entry.
func (d *Direct) ReceivePrefixHints(now time.Time, hints []PrefixHint) {
	for _, h := range hints {
		d.prefixes.add(now, h.Prefix, holderRecord{server: h.Server, address: h.Address, owner: h.Owner, readyAt: now.Add(h.ReadyIn)})
	}
}

// LoadHints returns the pending prefill of this router's requests at each
// server.
func (d *Direct) LoadHints() []LoadHint {
	var loads []LoadHint
	for server, l := range d.loads {
		if ms := l.prefill.total(); ms >= 1 {
			loads = append(loads, LoadHint{Server: server, PrefillMS: ms})
		}
	}
	return loads
}

// ReceiveLoadHints records the pending prefill of another entry's requests. At
// servers that are not in loads it has none.
func (d *Direct) ReceiveLoadHints(now time.Time, entry uint32, loads []LoadHint) {
	for _, l := range d.loads {
		delete(l.receivedLoads, entry)
	}
	for _, hint := range loads {
		d.load(hint.Server).addReceivedLoad(now, entry, hint.PrefillMS)
	}
}

// hintedPrefillMS is the pending prefill that other entries reported for the
// server.
func (l *directLoad) hintedPrefillMS(now time.Time) (sum float64) {
	for _, h := range l.receivedLoads {
		sum += h.prefillMS * h.weight(now)
	}
	return sum
}

// weight is the share of the reported prefill that counts at the given time.
func (h *receivedLoad) weight(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(h.at))/float64(loadHintLifetime))
}
