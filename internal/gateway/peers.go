package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/httpstatus"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/internal/roster"
	"github.com/jayproxy/jayproxy/internal/upstream"
	"github.com/jayproxy/jayproxy/internal/weights"
)

const (
	// peerTimeout is how long a call to another entry may take without progress, and
	// maxPeerTime how long in all: a table of thousands of servers takes a VM with a link of
	// 10 Mbit/s seconds to receive.
	peerTimeout = 700 * time.Millisecond
	maxPeerTime = 15 * time.Second
	// firstReadTimeout is how long the response to the first read of a table may take to
	// begin, where the store can be read instead: until then the entry can't serve. After a
	// loss of power the VMs of relays start at other times than this one, and calls to them
	// hang.
	firstReadTimeout = 80 * time.Millisecond
	// maxPullAttempts bounds the entries tried by one pull.
	maxPullAttempts      = 2
	maxPeerResponseBytes = 8 << 20
	// weightHistoryAttempts bounds the attempts to get the ages of weights from another
	// entry, weightHistoryPause follows each. weightHistorySources bounds the entries
	// that are asked while they do not know the ages either.
	weightHistoryAttempts = 10
	weightHistoryPause    = 150 * time.Millisecond
	weightHistorySources  = 3
)

// peers are the other entries: what is known of them, and calls to them.
type peers struct {
	http *http.Client

	mu     sync.Mutex
	roster *roster.Roster
}

func newPeers(settings Settings) *peers {
	transport := &http.Transport{
		DialContext:            upstream.Dialer(peerTimeout, peerTimeout).DialContext,
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        10 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: responselimit.MaxHeadBytes,
	}
	return &peers{
		roster: roster.New(settings.Node, entryRow(settings), settings.Seeds, maxFlatEntries, settings.Grace),
		http:   &http.Client{Transport: httpstatus.Transport(transport)},
	}
}

// tableResponse is a batch with the time since the store last answered its source.
type tableResponse struct {
	mirror.Batch
	AgeMS int64 `json:"age_ms"`
	// Recent: the batch has all that the store had acknowledged when its source was asked.
	Recent bool `json:"recent,omitempty"`
	// ServedMS is for how long the source has had recent data from the store without a long
	// pause; 0: not known.
	ServedMS int64 `json:"served_ms,omitempty"`
}

// servedSince returns the moment since which the source has had recent data, by the time since
// boot at which its response was received; zero: not known.
func (r *tableResponse) servedSince(received time.Time) time.Time {
	if r.ServedMS <= 0 {
		return time.Time{}
	}
	return received.Add(-time.Duration(r.ServedMS) * time.Millisecond)
}

// completeUpTo returns the moment up to which the batch is complete, by the time since boot at which
// its source was asked: the response may have waited at either end.
func (r *tableResponse) completeUpTo(asked time.Time) time.Time {
	if r.Recent {
		return asked
	}
	return asked.Add(-time.Duration(r.AgeMS) * time.Millisecond)
}

// tableQuery says which part of a table to read. Entries of builds that know no eras send
// no eras=1. With recent=1 the source first reads the table itself, if it soon can.
type tableQuery string

// wholeTable reads a table with the removals that the entry remembers.
const wholeTable tableQuery = "eras=1&removals=1&after=0"

func changesAfter(version uint64) tableQuery {
	return tableQuery("eras=1&after=" + strconv.FormatUint(version, 10))
}

// table reads a table from one entry, whose response must begin within the given time.
func (p *peers) table(ctx context.Context, begin time.Duration, address, table string, query tableQuery) (tableResponse, error) {
	var batch tableResponse
	path := "/v1/tables/" + url.PathEscape(table) + "?" + string(query)
	err := p.callWithin(ctx, begin, http.MethodGet, address, path, nil, &batch)
	return batch, err
}

// pull reads a table from other entries, in random order. It returns the address of the one
// that answered.
func (p *peers) pull(ctx context.Context, table string, query tableQuery) (tableResponse, string, error) {
	all := p.addresses()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	err := eris.New("no other entry known: no rows and no seeds")
	for i, address := range all {
		if i == maxPullAttempts {
			break
		}
		var batch tableResponse
		if batch, err = p.table(ctx, peerTimeout, address, table, query); err == nil {
			return batch, address, nil
		}
	}
	return tableResponse{}, "", err
}

// call calls another entry and decodes its JSON response, which may be nil.
func (p *peers) call(ctx context.Context, method, address, path string, body, into any) error {
	return p.callWithin(ctx, peerTimeout, method, address, path, body, into)
}

// callWithin is call with the given bound on the time until the response begins.
func (p *peers) callWithin(ctx context.Context, begin time.Duration, method, address, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, maxPeerTime)
	defer cancel()
	idle := time.AfterFunc(begin, cancel)
	defer idle.Stop()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := p.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("%s: unexpected HTTP status %d", path, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	idle.Reset(peerTimeout)
	text, err := responselimit.ReadAll(&progressReader{from: response.Body, idle: idle}, maxPeerResponseBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}

// progressReader postpones a timer by peerTimeout whenever bytes arrive.
type progressReader struct {
	from io.Reader
	idle *time.Timer
}

func (r *progressReader) Read(buffer []byte) (int, error) {
	n, err := r.from.Read(buffer)
	if n > 0 {
		r.idle.Reset(peerTimeout)
	}
	return n, err
}

// controlRoutes returns the handler for calls by other entries and by operators.
func (g *Gateway) controlRoutes() http.Handler {
	e := echo.New()
	e.GET("/v1/tables/:table", g.handleTable)
	e.POST("/v1/switches", g.handleSwitches)
	e.GET("/v1/weights", g.handleWeights)
	e.GET("/v1/suspects", g.serveSuspects)
	e.GET("/v1/usage", g.serveUsage)
	e.DELETE("/v1/suspects/:fingerprint", g.serveClearSuspect)
	e.GET("/metrics", g.serveMetrics)
	return e
}

func (g *Gateway) handleTable(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	for _, f := range g.feeds {
		if f.table == c.Param("table") {
			recent := c.QueryParam("recent") != "" && f.isRecent(c.Request().Context())
			respond := g.respondTable
			switch {
			case c.QueryParam("eras") == "":
				respond = g.respondWithoutEras
			case c.QueryParam("removals") != "":
				respond = g.respondKnown
			}
			err := respond(c, f, after, recent)
			g.load.tablesServed.add(int(c.Response().Size))
			return err
		}
	}
	return c.NoContent(http.StatusNotFound)
}

// withAge returns rows of a table with its age. The age is taken first: rows read before it could
// be older than it says.
func (g *Gateway) withAge(f *feed, recent bool, rows func() mirror.Batch) tableResponse {
	age, served := g.tableAge(f), f.complete.servedFor(lease.BootClock(), g.longPause())
	return tableResponse{Batch: rows(), AgeMS: wholeMilliseconds(age), Recent: recent, ServedMS: served.Milliseconds()}
}

// wholeMilliseconds rounds an age up.
func wholeMilliseconds(age time.Duration) int64 {
	return (age / time.Millisecond).Nanoseconds() + min(1, (age%time.Millisecond).Nanoseconds())
}

// respondTable sends the changes of a table after a version, or the complete table.
func (g *Gateway) respondTable(c echo.Context, f *feed, after uint64, recent bool) error {
	now := time.Now()
	if f.version() == 0 || f.covers(after) {
		return c.JSON(http.StatusOK, g.withAge(f, recent, func() mirror.Batch { return f.since(after) }))
	}
	prefix, rest, err := f.snapshots.get(now, func() (any, time.Duration) {
		age := g.tableAge(f)
		return f.since(0), age
	})
	if err != nil {
		return err
	}
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().WriteHeader(http.StatusOK)
	if _, err := io.WriteString(c.Response(), prefix); err != nil {
		return err
	}
	_, err = c.Response().Write(rest)
	return err
}

// respondKnown sends the complete table with the removals that this entry remembers.
func (g *Gateway) respondKnown(c echo.Context, f *feed, _ uint64, recent bool) error {
	return c.JSON(http.StatusOK, g.withAge(f, recent, f.known))
}

// respondWithoutEras is respondTable for entries of builds that know no eras: they compare
// versions with the store's commit numbers.
func (g *Gateway) respondWithoutEras(c echo.Context, f *feed, after uint64, recent bool) error {
	era := platform.EraOf(f.version())
	if era == 0 {
		return g.respondTable(c, f, after, recent)
	}
	if after > 0 {
		var err error
		if after, err = platform.VersionOf(era, after); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
	}
	return c.JSON(http.StatusOK, g.withAge(f, recent, func() mirror.Batch {
		batch := f.since(after)
		return batch.WithoutEras()
	}))
}

// handleWeights answers with the ages of weights, except those that this entry is not sure of.
func (g *Gateway) handleWeights(c echo.Context) error {
	return c.JSON(http.StatusOK, g.state.knownWeightHistory(time.Now()))
}

// fetchWeightHistory gets from other entries when versions were named, once after the
// start. An entry that has just started itself answers without the versions that it has only
// read, so a few are asked.
func (g *Gateway) fetchWeightHistory(ctx context.Context) {
	awaitUntil(ctx, g.startedAt.Add(firstConfigTimeout), g.state.hasReadOperators)
	responses := 0
	for try := 0; try < weightHistoryAttempts && ctx.Err() == nil; try++ {
		for _, address := range g.peers.addresses() {
			var steps map[string][]weights.VersionAge
			if err := g.peers.call(ctx, http.MethodGet, address, "/v1/weights", nil, &steps); err != nil {
				continue
			}
			g.state.mergeWeightHistory(time.Now(), steps)
			klog.InfoS("Ages of weights received", "entry", address, "models", len(steps))
			if responses++; responses >= weightHistorySources || !g.state.awaitsAnyWeightHistory(time.Now()) {
				return
			}
		}
		sleep(ctx, weightHistoryPause)
	}
	klog.InfoS("Ages of weights not received from any other entry", "responses", responses)
}
