package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/shard"
	"github.com/jayproxy/jayproxy/internal/streamorigin"
)

const (
	// originTimeout bounds the wait for the entries that may know a stream. It is longer
	// than a VM that is throttled by its CPU quota takes to answer. The question is
	// repeated after each originResendPause, since datagrams get lost.
	originTimeout     = 200 * time.Millisecond
	originResendPause = 40 * time.Millisecond
	// maxOriginAnswers bounds the answers to one lookup that have not been read yet.
	maxOriginAnswers = 16
	// unknownOriginRetryAfter is the retry delay if nobody knows a stream: an entry that
	// knows it may answer by then.
	unknownOriginRetryAfter = 300 * time.Millisecond
)

// streamOrigins knows, together with the other entries, which software version began each
// stream.
type streamOrigins struct {
	gateway *Gateway

	mu      sync.Mutex
	records *streamorigin.Records
	entries []shard.Entry
	// pending are the lookups that wait for answers.
	pending map[uint64]chan originAnswer
}

// originAnswer is the answer of the entry with a datagram address; version 0: it does not
// know the stream.
type originAnswer struct {
	from    string
	version streamorigin.Version
}

func newStreamOrigins(g *Gateway) *streamOrigins {
	return &streamOrigins{gateway: g, records: streamorigin.NewRecords(), pending: map[uint64]chan originAnswer{}}
}

func (o *streamOrigins) setEntries(entries []shard.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries = shard.Eligible(entries)
}

// holders returns the datagram addresses of the entries that may hold a stream's record.
func (o *streamOrigins) holders(stream streamorigin.Stream, count int) []*net.UDPAddr {
	o.mu.Lock()
	entries := o.entries
	o.mu.Unlock()
	var controls []string
	for _, e := range streamorigin.Holders(stream, entries, o.gateway.settings.Node, count) {
		controls = append(controls, e.Address)
	}
	return o.gateway.datagrams.addressesOf(controls)
}

// record keeps which version began a stream, here and at the stream's holders.
func (o *streamOrigins) record(stream streamorigin.Stream, version streamorigin.Version) {
	o.mu.Lock()
	o.records.Put(time.Now(), stream, version)
	o.mu.Unlock()
	o.gateway.datagrams.trySendAll(o.holders(stream, streamorigin.RecordHolders), &jayv1.Datagram{Body: &jayv1.Datagram_StreamOrigin{
		StreamOrigin: &jayv1.StreamOrigin{Stream: uint64(stream), Version: uint32(version)},
	}})
}

// receive keeps a record of another entry.
func (o *streamOrigins) receive(origin *jayv1.StreamOrigin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Put(time.Now(), streamorigin.Stream(origin.GetStream()), streamorigin.Version(origin.GetVersion()))
}

func (o *streamOrigins) known(stream streamorigin.Stream) streamorigin.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Get(time.Now(), stream)
}

// answer answers the question of another entry.
func (o *streamOrigins) answer(ask *jayv1.StreamOriginAsk, from *net.UDPAddr) {
	version := o.known(streamorigin.Stream(ask.GetStream()))
	o.gateway.datagrams.trySend(from, &jayv1.Datagram{Body: &jayv1.Datagram_StreamOriginAnswer{
		StreamOriginAnswer: &jayv1.StreamOriginAnswer{Key: ask.GetKey(), Version: uint32(version)},
	}})
}

// receiveAnswer passes an answer to the lookup that waits for it.
func (o *streamOrigins) receiveAnswer(answer *jayv1.StreamOriginAnswer, from *net.UDPAddr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.pending[answer.GetKey()] <- originAnswer{from: from.String(), version: streamorigin.Version(answer.GetVersion())}:
	default: // The lookup has ended.
	}
}

// find returns the version that began a stream, and who knew it; 0: nobody answers that
// knows.
func (o *streamOrigins) find(ctx context.Context, stream streamorigin.Stream) (streamorigin.Version, string) {
	if version := o.known(stream); version != 0 {
		return version, "own"
	}
	silent := o.holders(stream, streamorigin.AskedHolders)
	if len(silent) == 0 {
		return 0, "no other entry"
	}
	key := rand.Uint64() //nolint:gosec // unique, not secret
	answers := make(chan originAnswer, maxOriginAnswers)
	o.mu.Lock()
	o.pending[key] = answers
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.pending, key)
		o.mu.Unlock()
	}()
	ask := &jayv1.Datagram{Body: &jayv1.Datagram_StreamOriginAsk{StreamOriginAsk: &jayv1.StreamOriginAsk{Key: key, Stream: uint64(stream)}}}
	o.gateway.datagrams.trySendAll(silent, ask)
	resend, timeout := time.NewTicker(originResendPause), time.NewTimer(originTimeout)
	defer resend.Stop()
	defer timeout.Stop()
	for len(silent) > 0 {
		select {
		case answer := <-answers:
			if answer.version != 0 {
				return answer.version, "holder"
			}
			silent = slices.DeleteFunc(silent, func(a *net.UDPAddr) bool { return a.String() == answer.from })
		case <-resend.C:
			o.gateway.datagrams.trySendAll(silent, ask)
		case <-timeout.C:
			return 0, "not all holders answered"
		case <-ctx.Done():
			return 0, "caller disconnected"
		}
	}
	return 0, "no holder knows it"
}

// findOrigin finds out which version must go on with a stream that the caller takes up
// again. It returns false if it has rejected the request.
func (j *job) findOrigin() bool {
	if j.route.Kind != routetable.Stream || j.head.LastEventID == "" && j.head.Resumes == "" {
		return true
	}
	g := j.gateway
	started := time.Now()
	source := ""
	if j.head.Resumes != "" {
		j.origin, source = g.origins.find(j.ctx, streamorigin.StreamOf(j.head.Resumes))
	}
	if j.origin != 0 {
		j.chooseServiceOf(j.origin)
	} else {
		// Nobody knows the stream, as after a loss of all entries, or the caller does not name it.
		j.origin, source = g.onlyVersion(j.ctx, j.route, j.service.Name, j.head.Timeout)
	}
	klog.InfoS("Stream taken up", "request", j.head.ID, "resumes", j.head.Resumes, "after", j.head.LastEventID,
		"known", j.origin != 0, "software", j.origin, "source", source, "listVersion", platform.CommitOf(g.backends.version()),
		"listAgeMS", g.tableAge(g.backends).Milliseconds(), "tookMS", time.Since(started).Milliseconds())
	if j.origin != 0 {
		g.metrics.Count("stream_origin", source, 1)
		return true
	}
	g.metrics.Count("stream_origin", "unknown", 1)
	j.respondUnavailable("the software version that began the stream is not known: "+source, unknownOriginRetryAfter)
	return false
}

// chooseServiceOf chooses the service of the route that has servers of a version: the ID of this
// attempt may lead to another service than that of the attempt which began the stream.
func (j *job) chooseServiceOf(version streamorigin.Version) {
	name := j.gateway.state.serviceListing(j.route, version)
	if service := j.table.Services[name]; service != nil {
		j.service = service
	}
}

// serviceListing returns the service of a route that lists servers of a version; empty: none does.
func (s *state) serviceListing(route *routetable.Route, version streamorigin.Version) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range route.Targets {
		for _, b := range s.list.OfService(target.Service) {
			if streamorigin.Version(b.SoftwareHash) == version {
				return target.Service
			}
		}
	}
	return ""
}

// recordOrigin records, before the caller gets the first event of a response, which
// version must go on with the stream.
func (j *job) recordOrigin(choice *routing.DirectChoice) {
	if j.stream.delivered > 0 {
		return
	}
	j.origin = streamorigin.Version(choice.Server.Software)
	if !j.route.Resumable || j.origin == 0 {
		return
	}
	first := j.head.ID
	if j.head.Resumes != "" {
		first = j.head.Resumes
	}
	j.gateway.origins.record(streamorigin.StreamOf(first), j.origin)
}

// mayGoOn reports whether the stream may go on at another server: a stream that has begun
// needs a known version.
func (j *job) mayGoOn() bool { return j.stream.delivered == 0 || j.origin != 0 }
