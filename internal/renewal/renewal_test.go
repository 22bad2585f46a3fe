package renewal_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/renewal"
)

const interval = 1200 * time.Millisecond

var start = time.Unix(1000, 0)

func renewals(key string, count int) []renewal.Change {
	changes := make([]renewal.Change, count)
	for i := range changes {
		changes[i].Key = key
	}
	return changes
}

// Guards against a server that leaves as a reader's own cut ends being kept as one whose
// registration may have expired with the store away.
func TestRenewalsWithinAGapShowThatARegistrationDidNotExpire(t *testing.T) {
	l := renewal.New(interval)
	l.Observe(renewals("s", 1), start, start.Add(700*time.Millisecond))
	end := start.Add(700*time.Millisecond + 7*interval)
	l.Observe(append(renewals("s", 6), renewal.Change{Key: "s", Removed: true}), start.Add(700*time.Millisecond), end)
	assert.False(t, l.MayHaveExpired("s", end))
}

// Guards against servers being dropped together as the store returns.
func TestRegistrationsMayExpireWhileTheStoreIsAway(t *testing.T) {
	l := renewal.New(interval)
	l.Observe(renewals("s", 1), start, start.Add(700*time.Millisecond))
	l.Observe(renewals("other", 2), start.Add(700*time.Millisecond), start.Add(6*time.Second))
	assert.True(t, l.MayHaveExpired("s", start.Add(6*time.Second)))
}

func TestWithoutARenewalARegistrationMayHaveExpired(t *testing.T) {
	for name, l := range map[string]*renewal.Log{"not read": renewal.New(interval), "no interval": renewal.New(0)} {
		l.Observe(renewals("s", 1), time.Time{}, start)
		assert.True(t, l.MayHaveExpired("s", start), name)
	}
	l := renewal.New(interval)
	l.Observe(renewals("s", 1), start, start.Add(time.Second))
	l.Reset()
	assert.True(t, l.MayHaveExpired("s", start.Add(time.Second)))
}

// A server renews its registration until it is lost, while the store is away once and the reader
// is cut off once, both at any time. No registration that expired counts as one that did not.
func TestNoExpiryIsTakenForARemoval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := func(label string, most time.Duration) time.Time {
			return start.Add(time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label)))
		}
		away, cut := at("away", 20*time.Second), at("cut", 20*time.Second)
		back := away.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "outage")))
		healed := cut.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "cut time")))
		up := func(moment time.Time) bool { return moment.Before(away) || !moment.Before(back) }
		lost := at("lost", 25*time.Second)
		var written []time.Time
		for moment := at("first", interval); moment.Before(lost); {
			if up(moment) {
				written = append(written, moment)
			}
			moment = moment.Add(time.Duration(rapid.Int64Range(int64(0.95*float64(interval)), int64(1.2*float64(interval))).Draw(t, "spacing")))
		}
		if len(written) == 0 {
			return
		}
		expired := written[len(written)-1].Add(3 * interval)
		for i, moment := range written[1:] {
			if limit := written[i].Add(3 * interval); moment.After(limit) {
				expired, written = limit, written[:i+1]
				break
			}
		}
		l := renewal.New(interval)
		from := start
		for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(700 * time.Millisecond) {
			if !up(now) || !now.Before(cut) && now.Before(healed) {
				continue
			}
			var changes []renewal.Change
			for len(written) > 0 && !written[0].After(now) {
				changes, written = append(changes, renewal.Change{Key: "s"}), written[1:]
			}
			l.Observe(changes, from, now)
			if !now.Before(expired) {
				assert.True(t, l.MayHaveExpired("s", now))
				return
			}
			from = now
		}
	})
}
