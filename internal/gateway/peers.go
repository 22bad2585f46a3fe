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
	// entryPrefix of the rows in which entries write their addresses.
	entryPrefix = "entries/"
	// peerTime bounds a call to another entry.
	peerTime = 700 * time.Millisecond
	// peerTries of one pull.
	peerTries    = 2
	maxPeerBytes = 8 << 20
	// weightTries to learn the ages of weights, weightPause apart.
	weightTries   = 10
	weightPause   = 150 * time.Millisecond
	registerPause = time.Second
)

// entryRow is the value of an entry's row.
type entryRow struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Cores that the entry's VM gives it.
	Cores float64 `json:"cores,omitempty"`
}

// peers are the other entries, by their own rows and the seeds.
type peers struct {
	self string
	http *http.Client

	mu    sync.Mutex
	seeds []string
	named map[string]entryRow
	// node and dataCentre of this entry.
	node, dataCentre string
	// downUntil is until when an entry that did not answer is passed over.
	downUntil map[string]time.Time
}

func newPeers(settings Settings) *peers {
	transport := &http.Transport{
		DialContext:         upstream.Dialer(peerTime, peerTime).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
	return &peers{
		self: settings.ControlAddress, seeds: settings.Seeds, named: map[string]entryRow{},
		node: settings.Node, dataCentre: settings.DataCentre, downUntil: map[string]time.Time{},
		http: &http.Client{Transport: transport},
	}
}

// all addresses of other entries, each once.
func (p *peers) all() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[string]bool{p.self: true}
	var all []string
	for _, entry := range p.named {
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

// count of entries by their rows, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(1, len(p.named))
}

// downTime is how long an entry that did not answer as a relay is passed over.
// The row of an entry that is lost for good stays; asked first each time, it
// would hold up every read of the list by a time-out.
const downTime = 5 * time.Second

// didNotAnswer passes an entry over for a while.
func (p *peers) didNotAnswer(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.downUntil[address] = now.Add(downTime)
}

// agedBatch is a batch with how long ago the store itself told it.
type agedBatch struct {
	mirror.Batch
	AgeMS int64 `json:"age_ms"`
}

// table asks one entry for what changed in a table.
func (p *peers) table(ctx context.Context, address, table string, after uint64) (agedBatch, error) {
	var batch agedBatch
	path := "/v1/tables/" + url.PathEscape(table) + "?after=" + strconv.FormatUint(after, 10)
	err := p.call(ctx, http.MethodGet, address, path, nil, &batch)
	return batch, err
}

// pull asks other entries, in random order, for what changed in a table.
func (p *peers) pull(ctx context.Context, table string, after uint64) (mirror.Batch, string, error) {
	all := p.all()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	err := eris.New("no other entry is known")
	for i, address := range all {
		if i == peerTries {
			break
		}
		var batch agedBatch
		if batch, err = p.table(ctx, address, table, after); err == nil {
			return batch.Batch, address, nil
		}
	}
	return mirror.Batch{}, "", err
}

func (p *peers) call(ctx context.Context, method, address, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(text)
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
		return eris.Errorf("%s: status %d", path, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxPeerBytes)).Decode(into)
}

// controlRoutes are what entries ask each other.
func (g *Gateway) controlRoutes() http.Handler {
	e := echo.New()
	e.GET("/v1/tables/:table", g.giveTable)
	e.POST("/v1/switches", g.takeSwitches)
	e.GET("/v1/weights", g.giveWeights)
	e.GET("/v1/suspects", g.serveSuspects)
	e.DELETE("/v1/suspects/:fingerprint", g.serveClearSuspect)
	e.GET("/metrics", g.serveMetrics)
	return e
}

func (g *Gateway) giveTable(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	for _, f := range g.feeds {
		if f.table == c.Param("table") {
			return c.JSON(http.StatusOK, agedBatch{Batch: f.since(after), AgeMS: g.tableAge(time.Now(), f).Milliseconds()})
		}
	}
	return c.NoContent(http.StatusNotFound)
}

func (g *Gateway) giveWeights(c echo.Context) error {
	s := g.state
	s.mu.Lock()
	steps := s.book.History(time.Now())
	s.mu.Unlock()
	return c.JSON(http.StatusOK, steps)
}

// learnWeights asks another entry how long ago versions were named, once after
// the start.
func (g *Gateway) learnWeights(ctx context.Context) {
	for try := 0; try < weightTries && ctx.Err() == nil; try++ {
		sleep(ctx, weightPause)
		if !g.state.ready() {
			continue
		}
		for _, address := range g.peers.all() {
			var steps map[string][]weights.VersionAge
			if err := g.peers.call(ctx, http.MethodGet, address, "/v1/weights", nil, &steps); err != nil {
				continue
			}
			g.state.learnWeights(time.Now(), steps)
			klog.InfoS("Ages of weights learned", "entry", address, "models", len(steps))
			return
		}
	}
	klog.InfoS("No other entry told the ages of weights")
}

// register writes this entry's address, until the store has taken it.
func (g *Gateway) register(ctx context.Context) {
	value, err := json.Marshal(entryRow{Address: g.settings.ControlAddress, DataCentre: g.settings.DataCentre, Cores: g.settings.Cores})
	if err != nil {
		klog.ErrorS(err, "Entry not registered")
		return
	}
	for ctx.Err() == nil && !g.stopping.Load() {
		txn := platform.Txn{Puts: []platform.Put{{Key: entryPrefix + g.settings.Node, Value: value}}}
		callCtx, cancel := context.WithTimeout(ctx, callTime)
		_, err := g.ports.Table.Commit(callCtx, txn)
		cancel()
		if err == nil {
			klog.InfoS("Entry registered", "node", g.settings.Node, "address", g.settings.ControlAddress)
			return
		}
		klog.InfoS("Entry not registered yet", "err", err)
		sleep(ctx, registerPause)
	}
}

func (g *Gateway) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	txn := platform.Txn{Deletes: []string{entryPrefix + g.settings.Node}}
	if _, err := g.ports.Table.Commit(ctx, txn); err != nil {
		klog.InfoS("Entry's row not removed; it counts until another removes it", "err", err)
	}
}

func (g *Gateway) applyEntries(_ time.Time, rows []mirror.Row, source string) {
	g.peers.mu.Lock()
	for _, row := range rows {
		var entry entryRow
		if row.Removed {
			delete(g.peers.named, row.Key)
			continue
		}
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			klog.ErrorS(err, "Entry's row not understood", "row", row.Key, "source", source)
			continue
		}
		g.peers.named[row.Key] = entry
	}
	g.peers.mu.Unlock()
	g.state.setEntries(g.peers.count())
	g.state.setOwners(g.peers.owners())
	g.hints.setEntries(g.peers.all())
}
