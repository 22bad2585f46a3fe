package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Words between entries on one model request take little beside its body of 12 KB,
// whatever the size of the fleet: less than a twentieth. docs/CAPACITY.md names
// the sizes.
func TestWordsOnARequestAreSmall(t *testing.T) {
	ask := newAsk(1<<63, "91bd3f06")
	ask.Service, ask.Model, ask.DataCentre, ask.Wall = "modelos", "daka510000", "quito-sala-a", "ctnfzs"
	ask.Part, ask.PartTokens = []string{"5c1e07a2", "91bd3f06"}, []uint32{512, 5382}
	words := map[string]*jayv1.Datagram{
		"ask": {Body: &jayv1.Datagram_Ask{Ask: ask}},
		"offer": {Body: &jayv1.Datagram_Offer{Offer: &jayv1.PlacementOffer{
			Key: 1 << 63, Outcome: 1, Server: 1, Version: 4, FetchFrom: "10.2.64.33:8289", SaveTo: "172.20.0.8:8289", Source: 2, QueueMs: 120, ReadMs: 210, TotalMs: 400,
		}}},
		"first": progressWord(&jayv1.PlacementProgress{Key: 1 << 63, First: true, HasLoad: true, Running: 12, Waiting: 3}),
		"ended": progressWord(&jayv1.PlacementProgress{Key: 1 << 63, Ended: true, Ran: true}),
	}
	sum := 0
	for name, word := range words {
		size := proto.Size(word) + datagramOverheadBytes
		t.Logf("%s: %d bytes with headers", name, size)
		sum += size
	}
	t.Logf("together %d bytes", sum)
	assert.Less(t, sum, 12<<10/20)
}
