package gateway

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against events that are taken for the next ones of a stream though the caller has them
// or a server goes back, and against a gap that nothing shows.
func TestPlacesOfEvents(t *testing.T) {
	places := map[eventPlace]string{inOrder: "", afterGap: "gap", alreadySent: "sent", outOfOrder: "back"}
	for name, c := range map[string]struct {
		// last is the caller's Last-Event-Id. Each response is the IDs of its events.
		last      string
		responses []string
		want      string
	}{
		"consecutive":                            {responses: []string{"1 2 3"}, want: ",,"},
		"a gap":                                  {responses: []string{"1 2 4 5 7"}, want: ",,gap,,"},
		"IDs that are not consecutive":           {responses: []string{"10 20 30 31 35"}, want: ",,,,"},
		"a gap between two responses":            {responses: []string{"1 2", "4"}, want: ",,gap"},
		"a gap after the caller's last event":    {last: "3", responses: []string{"5 6"}, want: "gap,"},
		"an event twice":                         {responses: []string{"0 0"}, want: ",back"},
		"the caller's events":                    {last: "3", responses: []string{"2 3 4 5"}, want: "sent,sent,,"},
		"events of the response before":          {responses: []string{"1 2 3", "2 3 4"}, want: ",,,sent,sent,"},
		"back to the caller's events":            {last: "3", responses: []string{"4 3"}, want: ",back"},
		"back within the caller's events":        {last: "3", responses: []string{"2 1"}, want: "sent,back"},
		"back to events of the response before":  {responses: []string{"1 2 3", "3 4 2 5"}, want: ",,,sent,,back,"},
		"no IDs":                                 {responses: []string{"- 1 - 2"}, want: ",,,"},
		"IDs that are no integers":               {last: "b", responses: []string{"a a", "a"}, want: ",,"},
		"a caller's last event that is none":     {last: "x", responses: []string{"1 3 1"}, want: ",,back"},
		"an ID beyond 64 bits":                   {responses: []string{"9223372036854775807 9223372036854775808"}, want: ","},
		"the least ID, which counts as none":     {responses: []string{"1 -9223372036854775808 2"}, want: ",,"},
		"a leading zero and a sign":              {responses: []string{"1 02 +2"}, want: ",,back"},
		"IDs below 0":                            {last: "-3", responses: []string{"-4 -2 -1 0 -1"}, want: "sent,,,,back"},
		"a gap after one of the response before": {responses: []string{"7", "9"}, want: ",gap"},
	} {
		t.Run(name, func(t *testing.T) {
			var order eventOrder
			var got []string
			last := c.last
			for _, response := range c.responses {
				order.beginResponse(last)
				for id := range strings.FieldsSeq(response) {
					place := order.place(id)
					if _, err := strconv.Atoi(id); err == nil && (place == inOrder || place == afterGap) {
						last = id
					}
					got = append(got, places[place])
				}
			}
			assert.Equal(t, c.want, strings.Join(got, ","))
		})
	}
}
