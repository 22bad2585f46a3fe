package gateway

import (
	"io"
	"time"

	"github.com/jayproxy/jayproxy/internal/locality"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

// maxCrossingPairs bounds the pairs of data centres that metrics keep apart.
const maxCrossingPairs = 32

// crossings is this entry's state of requests that leave its data centre. The state's
// lock guards it. A nil value is used without a price.
type crossings struct {
	costs *locality.Costs
	pairs map[locality.Pair]bool
}

func newCrossings(settings Settings) *crossings {
	if settings.CrossDataCentreMSPerMB <= 0 {
		return nil
	}
	return &crossings{costs: locality.NewCosts(settings.CrossDataCentreMSPerMB), pairs: map[locality.Pair]bool{}}
}

// policy returns the state of a router's decisions; nil without a price.
func (c *crossings) policy() routing.Locality {
	if c == nil {
		return nil
	}
	return locality.NewPolicy(c.costs)
}

// label returns the metric label of a pair of data centres.
func (c *crossings) label(pair locality.Pair) string {
	if !c.pairs[pair] && len(c.pairs) >= maxCrossingPairs {
		return "other"
	}
	c.pairs[pair] = true
	return pair.From + ">" + pair.To
}

// setDeciders sets the number of entries among which the requests of this data centre's
// callers are divided.
func (s *state) setDeciders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.SetDeciders(n)
}

// nearby returns the number of entries in this entry's data centre, at least 1.
func (p *peers) nearby(dataCentre string) int {
	n := 1
	for _, row := range p.others() {
		if row.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// offeredReasonLocked says why an owner offered a server of another data centre, which the
// offer does not say.
func (s *state) offeredReasonLocked(now time.Time, service *routetable.Service, choice *routing.DirectChoice) locality.Reason {
	home := s.settings.DataCentre
	if s.crossings == nil || home == "" || choice.Server.DataCentre == home {
		return locality.ReasonNone
	}
	if choice.Source == routing.SourceHeld {
		return locality.ReasonPrefix
	}
	if s.hasUsableLocked(now, service, home) {
		return locality.ReasonCapacity
	}
	return locality.ReasonLost
}

// hasUsableLocked reports whether a service has a usable server in a data centre.
func (s *state) hasUsableLocked(now time.Time, service *routetable.Service, dataCentre string) bool {
	for _, b := range s.list.OfService(service.Name) {
		if b.DataCentre == dataCentre && s.mayServe(now, b) && s.members.Usable(b.ID) {
			return true
		}
	}
	return false
}

// homeServersLocked selects the servers of a service that decide which owners are asked, by
// their indexes in the list; nil: all. With a price, calls of plain services are ranked among
// the servers of this entry's data centre: an owner without any would send them to another
// one.
func (s *state) homeServersLocked(now time.Time, service *routetable.Service) func(i int) bool {
	if s.crossings == nil || service.Engine != nil || !s.hasUsableLocked(now, service, s.settings.DataCentre) {
		return nil
	}
	all := s.list.OfService(service.Name)
	return func(i int) bool {
		return i < len(all) && all[i].DataCentre == s.settings.DataCentre && s.members.Usable(all[i].ID)
	}
}

// homeElsewhereLocked reports whether a data centre has usable servers of a service, but
// none among those given. The owner of these must not take its demand for lost.
func (s *state) homeElsewhereLocked(now time.Time, service *routetable.Service, home string, servers []routing.DirectServer) bool {
	if s.crossings == nil || home == "" {
		return false
	}
	for i := range servers {
		if servers[i].DataCentre == home && servers[i].Usable {
			return false
		}
	}
	return s.hasUsableLocked(now, service, home)
}

// crossingFields returns the log fields of a placement that leaves the data centre.
func (j *job) crossingFields(choice *routing.DirectChoice) []any {
	if choice.Leaves == locality.ReasonNone {
		return nil
	}
	return []any{"leaves", choice.Leaves.String(), "dataCentre", choice.Server.DataCentre}
}

// countedBody counts the bytes of a response's body.
type countedBody struct {
	inner io.Reader
	bytes int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	b.bytes += int64(n)
	return n, err
}

// measureResponse measures the path to a server of another data centre, and the length of
// the response. The function that it returns must be called when the response has ended.
func (j *job) measureResponse(choice *routing.DirectChoice, response *upstream.Response) (ended func()) {
	s := j.gateway.state
	if s.crossings == nil {
		return func() {}
	}
	between := locality.Pair{From: s.settings.DataCentre, To: choice.Server.DataCentre}
	remote := between.From != "" && between.From != between.To
	if remote {
		rtt := response.RTT()
		s.mu.Lock()
		s.crossings.costs.ObservePath(time.Now(), between, rtt)
		s.mu.Unlock()
	}
	body := &countedBody{inner: response.Body}
	response.Body = body
	return func() {
		s.mu.Lock()
		s.crossings.costs.ObserveResponse(j.service.Name, body.bytes)
		label := s.crossings.label(between)
		s.mu.Unlock()
		if !remote {
			return
		}
		label += " " + choice.Leaves.String()
		j.gateway.metrics.Count("crossed_requests", label, 1)
		j.gateway.metrics.Count("crossed_bytes", label, body.bytes+int64(j.bodyBytes))
	}
}
