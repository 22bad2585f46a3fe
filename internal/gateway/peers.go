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

	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/upstream"
	"github.com/jayproxy/jayproxy/internal/weights"
)

const (
	// entryPrefix is the key prefix of the rows in which entries write their addresses.
	entryPrefix = "entries/"
	// peerTimeout bounds a call to another entry.
	peerTimeout = 700 * time.Millisecond
	// maxPullAttempts bounds the entries tried by one pull.
	maxPullAttempts      = 2
	maxPeerResponseBytes = 8 << 20
	// weightHistoryAttempts bounds the attempts to get the ages of weights from another
	// entry, weightHistoryPause precedes each.
	weightHistoryAttempts = 10
	weightHistoryPause    = 150 * time.Millisecond
	registerRetryPause    = time.Second
)

// entryRow is the value of an entry's row.
type entryRow struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Cores is the number of CPU cores that the VM gives the entry.
	Cores float64 `json:"cores,omitempty"`
}

// peers are the other entries, known from their rows and from the configured seeds.
type peers struct {
	// self is this entry's control address.
	self string
	http *http.Client

	mu    sync.Mutex
	seeds []string
	rows  map[string]entryRow
	// node and dataCentre are those of this entry.
	node, dataCentre string
	// skipUntil is the time until which an entry that did not answer is not used as a
	// relay, by address.
	skipUntil map[string]time.Time
}

func newPeers(settings Settings) *peers {
	transport := &http.Transport{
		DialContext:         upstream.Dialer(peerTimeout, peerTimeout).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
	return &peers{
		self: settings.ControlAddress, seeds: settings.Seeds, rows: map[string]entryRow{},
		node: settings.Node, dataCentre: settings.DataCentre, skipUntil: map[string]time.Time{},
		http: &http.Client{Transport: transport},
	}
}

// addresses returns the control addresses of all other entries, each once.
func (p *peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[string]bool{p.self: true}
	var all []string
	for _, entry := range p.rows {
		if !seen[entry.Address] {
			seen[entry.Address] = true
			all = append(all, entry.Address)
		}
	}
	for _, address := range p.seeds {
		if !seen[address] {
			seen[address] = true
			all = append(all, address)
		}
	}
	return all
}

func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// count returns the number of entries with a row, at least 1.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(1, len(p.rows))
}

// unresponsiveSkipTime is how long an entry that did not answer is not used as a relay.
// The row of an entry that crashed remains; trying it first each time would delay every
// read of the list by a timeout.
const unresponsiveSkipTime = 5 * time.Second

// markUnresponsive excludes an entry from the relays for unresponsiveSkipTime.
func (p *peers) markUnresponsive(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.skipUntil[address] = now.Add(unresponsiveSkipTime)
}

// tableResponse is a batch with the time since the store last answered its source.
type tableResponse struct {
	mirror.Batch
	AgeMS int64 `json:"age_ms"`
}

// table reads the changes of a table from one entry.
func (p *peers) table(ctx context.Context, address, table string, after uint64) (tableResponse, error) {
	var batch tableResponse
	path := "/v1/tables/" + url.PathEscape(table) + "?after=" + strconv.FormatUint(after, 10)
	err := p.call(ctx, http.MethodGet, address, path, nil, &batch)
	return batch, err
}

// pull reads the changes of a table from other entries, in random order. It returns the
// address of the one that answered.
func (p *peers) pull(ctx context.Context, table string, after uint64) (mirror.Batch, string, error) {
	all := p.addresses()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	err := eris.New("no other entry known: no rows and no seeds")
	for i, address := range all {
		if i == maxPullAttempts {
			break
		}
		var batch tableResponse
		if batch, err = p.table(ctx, address, table, after); err == nil {
			return batch.Batch, address, nil
		}
	}
	return mirror.Batch{}, "", err
}

func (p *peers) call(ctx context.Context, method, address, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
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
	return json.NewDecoder(io.LimitReader(response.Body, maxPeerResponseBytes)).Decode(into)
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
			return c.JSON(http.StatusOK, tableResponse{Batch: f.since(after), AgeMS: g.tableAge(time.Now(), f).Milliseconds()})
		}
	}
	return c.NoContent(http.StatusNotFound)
}

func (g *Gateway) handleWeights(c echo.Context) error {
	s := g.state
	s.mu.Lock()
	steps := s.targets.History(time.Now())
	s.mu.Unlock()
	return c.JSON(http.StatusOK, steps)
}

// fetchWeightHistory gets from another entry when versions were named, once after the
// start.
func (g *Gateway) fetchWeightHistory(ctx context.Context) {
	for try := 0; try < weightHistoryAttempts && ctx.Err() == nil; try++ {
		sleep(ctx, weightHistoryPause)
		if !g.state.ready() {
			continue
		}
		for _, address := range g.peers.addresses() {
			var steps map[string][]weights.VersionAge
			if err := g.peers.call(ctx, http.MethodGet, address, "/v1/weights", nil, &steps); err != nil {
				continue
			}
			g.state.mergeWeightHistory(time.Now(), steps)
			klog.InfoS("Ages of weights received", "entry", address, "models", len(steps))
			return
		}
	}
	klog.InfoS("Ages of weights not received from any other entry")
}

// register writes this entry's row, and retries until the store has accepted it.
func (g *Gateway) register(ctx context.Context) {
	value, err := json.Marshal(entryRow{Address: g.settings.ControlAddress, DataCentre: g.settings.DataCentre, Cores: g.settings.Cores})
	if err != nil {
		klog.ErrorS(err, "Entry not registered: its row could not be encoded")
		return
	}
	for ctx.Err() == nil && !g.stopping.Load() {
		txn := platform.Txn{Puts: []platform.Put{{Key: entryPrefix + g.settings.Node, Value: value}}}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := g.ports.Table.Commit(callCtx, txn)
		cancel()
		if err == nil {
			klog.InfoS("Entry registered", "node", g.settings.Node, "address", g.settings.ControlAddress)
			return
		}
		klog.InfoS("Entry not registered yet, will retry", "err", err)
		sleep(ctx, registerRetryPause)
	}
}

func (g *Gateway) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	txn := platform.Txn{Deletes: []string{entryPrefix + g.settings.Node}}
	if _, err := g.ports.Table.Commit(ctx, txn); err != nil {
		klog.InfoS("Entry's row not removed; the entry is counted until the row is removed", "err", err)
	}
}

func (g *Gateway) applyEntries(_ time.Time, rows []mirror.Row, source string) {
	g.peers.mu.Lock()
	for _, row := range rows {
		var entry entryRow
		if row.Removed {
			delete(g.peers.rows, row.Key)
			continue
		}
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			klog.ErrorS(err, "Entry's row not understood", "row", row.Key, "source", source)
			continue
		}
		g.peers.rows[row.Key] = entry
	}
	g.peers.mu.Unlock()
	g.state.setEntryCount(g.peers.count())
	g.state.setOwners(g.peers.shardEntries())
	g.usage.setEntries(g.peers.shardEntries())
	g.hints.setTargets(g.peers.addresses())
}
