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

// maxNewsHints bounds the hints that wait to be sent; the newest are dropped.
const maxNewsHints = 256

// loadHintLife is how long another entry's word on its unread prompts counts,
// fading: engines read them in some hundred milliseconds.
const loadHintLife = 400 * time.Millisecond

// heardLoad is what one other entry said of one server.
type heardLoad struct {
	readMS float64
	at     time.Time
}

// note keeps a hint for the other entries.
func (d *Direct) note(prefix uint32, server string, readyIn time.Duration) {
	if len(d.news) < maxNewsHints {
		d.news = append(d.news, PrefixHint{Prefix: prefix, Server: server, ReadyIn: readyIn})
	}
}

// TakePrefixHints returns what others should hear since the last call.
func (d *Direct) TakePrefixHints() []PrefixHint {
	news := d.news
	d.news = nil
	return news
}

// ReceivePrefixHints takes in hints of another entry.
func (d *Direct) ReceivePrefixHints(now time.Time, hints []PrefixHint) {
	for _, h := range hints {
		d.prefixes.coming(now, h.Prefix, h.Server, h.Address, now.Add(h.ReadyIn))
	}
}

// LoadHints returns our own unread prompts at each server that has any.
func (d *Direct) LoadHints() []LoadHint {
	var loads []LoadHint
	for server, l := range d.loads {
		if l.readMS >= 1 {
			loads = append(loads, LoadHint{Server: server, PrefillMS: l.readMS})
		}
	}
	return loads
}

// ReceiveLoadHints takes in another entry's unread prompts. Servers that it does not
// name have none of them.
func (d *Direct) ReceiveLoadHints(now time.Time, entry uint32, loads []LoadHint) {
	for _, l := range d.loads {
		delete(l.heard, entry)
	}
	for _, hint := range loads {
		d.load(hint.Server).heard[entry] = heardLoad{readMS: hint.PrefillMS, at: now}
	}
}

// othersMS is what the other entries' unread prompts at a server take.
func (l *directLoad) othersMS(now time.Time) float64 {
	sum := 0.0
	for _, h := range l.heard {
		sum += h.faded(now)
	}
	return sum
}

// faded is what is left of a word by now.
func (h heardLoad) faded(now time.Time) float64 {
	return h.readMS * max(0, 1-float64(now.Sub(h.at))/float64(loadHintLife))
}
