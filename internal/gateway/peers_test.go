package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func entriesAt(node string, n int) *peers {
	p := newPeers(Settings{Node: node, DataCentre: "a"})
	for i := range n {
		p.named[fmt.Sprint("gw", i)] = entryRow{Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: []string{"a", "b"}[i%2]}
	}
	return p
}

func TestTwoEntriesOfADataCentreAskTheStore(t *testing.T) {
	now := time.Unix(1000, 0)
	asking := 0
	for i := 0; i < 20; i += 2 {
		relays := entriesAt(fmt.Sprint("gw", i), 20).relays(now)
		if relays == nil {
			asking++
			continue
		}
		assert.Len(t, relays, relaysPerDataCentre)
	}
	assert.Equal(t, relaysPerDataCentre, asking)
}

func TestAnEntryThatIsNotInTheTableYetAsksTheStore(t *testing.T) {
	assert.Nil(t, entriesAt("new", 20).relays(time.Unix(1000, 0)))
}

// The list of servers is read a second late, each time. An entry was lost for
// good, its row stayed, and the others of its data centre went on to ask it first.
func TestALostRelayIsPassedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	for i := 0; i < 20; i += 2 {
		p := entriesAt(fmt.Sprint("gw", i), 20)
		relays := p.relays(now)
		if relays == nil {
			continue
		}
		p.didNotAnswer(now, relays[0])
		assert.NotContains(t, p.relays(now), relays[0])
		assert.Equal(t, relays, p.relays(now.Add(downTime)), "asked again later")
	}
}
