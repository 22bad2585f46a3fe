package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/httpstatus"
	"github.com/jayproxy/jayproxy/internal/kvplan"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/internal/wholebody"
)

const (
	// kvTransferTimeout bounds one fetch or one export.
	kvTransferTimeout = 2 * time.Second
	// maxKVBytes bounds one fetch.
	maxKVBytes = 1 << 30
)

var (
	errKVAbsent = errors.New("not in the KV cache store")
	errKVStatus = errors.New("KV cache store refused the request")
	errKVSize   = errors.New("KV cache has another size than the store reported")
)

// kvStore is the client of the KV cache store. It moves KV cache between the
// engine and the store.
type kvStore struct {
	base   string
	vendor string
	client *http.Client

	mu      sync.Mutex
	planner *kvplan.Planner
	// exporting is true while an export runs; there is at most one at a time.
	exporting bool
}

func newKVStore(s Settings) *kvStore {
	return &kvStore{
		base: strings.TrimSuffix(s.Engine.KVURL, "/"), vendor: s.Engine.Vendor,
		client:  &http.Client{Transport: httpstatus.Transport(&http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true, MaxResponseHeaderBytes: responselimit.MaxHeadBytes})},
		planner: kvplan.New(),
	}
}

// url returns the URL of a point's blob. The point's hash covers workspace,
// model, version and adapter; the vendor is part of the name because blobs of
// different vendors are incompatible.
func (k *kvStore) url(point *jayv1.PrefixPoint) string {
	return fmt.Sprintf("%s/kv/%s-%016x", k.base, k.vendor, point.GetHash())
}

// usesKV reports whether the attempt's pool declares a KV cache store and the
// settings contain the URL of one.
func (a *Agent) usesKV(att *attempt) bool {
	pool, ok := a.catalog.Current().Pool(att.offer.GetPool())
	return ok && pool.GetKvService() != "" && a.model.kv.base != ""
}

// importKV fetches the uncached part of the prompt's prefix when that is
// cheaper than computing it. On any failure the engine computes the prompt.
func (a *Agent) importKV(att *attempt) {
	if !a.usesKV(att) {
		return
	}
	k, rate, perToken := a.model.kv, a.scheduler.prefillRate(), a.bytesPerToken(att.offer.GetPool())
	cached, _ := a.model.cache.lookup(time.Now(), att.offer.GetChain())
	k.mu.Lock()
	candidates := k.planner.Candidates(time.Now(), att.offer.GetChain(), cached, rate, perToken)
	k.mu.Unlock()
	timeout := kvplan.LookupTimeout(candidates, cached, rate, perToken)
	began := time.Now()
	point, size := k.findDeepest(att.ctx, candidates, timeout)
	if took := time.Since(began); point == nil && took >= timeout {
		a.metrics.Count(metricLookupTimeout, att.offer.GetWorkspace(), 1)
		klog.V(1).InfoS("KV cache lookup timed out", "request", att.id, "candidates", len(candidates), "timeout", timeout, "took", took)
	}
	if point == nil {
		return
	}
	k.mu.Lock()
	worth := k.planner.WorthFetching(size, point, cached, rate, perToken)
	k.mu.Unlock()
	if !worth {
		return
	}
	if err := k.fetch(att.ctx, a.model.engine, point, size); err != nil {
		klog.V(1).InfoS("KV cache not imported", "request", att.id, "error", err.Error())
		return
	}
	att.uncachedTokens = a.tokens(att.offer.GetPool(), int(att.offer.GetPromptBytes())-int(point.GetBytes()))
	a.metrics.Count(metricImported, att.offer.GetWorkspace(), 1)
}

// findDeepest looks all candidates up in parallel, for the timeout at most, and
// returns the first that the store has, with its size in bytes. Candidates are
// ordered deepest first.
func (k *kvStore) findDeepest(ctx context.Context, candidates []*jayv1.PrefixPoint, timeout time.Duration) (*jayv1.PrefixPoint, int64) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sizes := make([]int64, len(candidates))
	var group errgroup.Group
	for i, point := range candidates {
		group.Go(func() error {
			size, err := k.lookupSize(ctx, point)
			if err == nil {
				sizes[i] = size
			}
			return nil
		})
	}
	_ = group.Wait()
	for i, size := range sizes {
		if size > 0 {
			return candidates[i], size
		}
	}
	return nil, 0
}

func (k *kvStore) lookupSize(ctx context.Context, point *jayv1.PrefixPoint) (int64, error) {
	response, err := k.do(ctx, http.MethodHead, point, nil)
	k.recordPresence(point, err)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.ContentLength, nil
}

// recordPresence records whether the store has a point. Errors other than
// errKVAbsent leave that open and are ignored.
func (k *kvStore) recordPresence(point *jayv1.PrefixPoint, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		k.planner.MarkStored(time.Now(), point)
	case errors.Is(err, errKVAbsent):
		k.planner.MarkAbsent(time.Now(), point)
	}
}

// fetch imports a point, of so many bytes as its lookup has shown, into the engine.
func (k *kvStore) fetch(ctx context.Context, e engine.Engine, point *jayv1.PrefixPoint, size int64) error {
	ctx, cancel := context.WithTimeout(ctx, kvTransferTimeout)
	defer cancel()
	began := time.Now()
	response, err := k.do(ctx, http.MethodGet, point, nil)
	if err != nil {
		k.recordPresence(point, err)
		return err
	}
	defer func() { _ = response.Body.Close() }()
	blob, err := wholebody.ReadUpTo(response.Body, maxKVBytes)
	if err != nil {
		return eris.Wrap(err, "read KV cache")
	}
	if int64(len(blob)) != size {
		return eris.Wrapf(errKVSize, "received %d bytes, expected %d", len(blob), size)
	}
	if err := e.ImportKV(ctx, blob); err != nil {
		return eris.Wrap(err, "import KV cache")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.planner.RecordTransfer(size, time.Since(began))
	return nil
}

func (k *kvStore) do(ctx context.Context, method string, point *jayv1.PrefixPoint, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, k.url(point), bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build KV cache store request")
	}
	response, err := k.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "send request to KV cache store")
	}
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, errKVAbsent
	}
	return nil, eris.Wrapf(errKVStatus, "status %d", response.StatusCode)
}

// exportKV counts the use of the prompt's prefixes and exports a frequently
// used one to the store while the engine is evicting. An engine that evicts
// nothing still has the prefix in its own cache.
func (a *Agent) exportKV(att *attempt, req engine.Request) {
	if !a.usesKV(att) {
		return
	}
	k, rate, perToken := a.model.kv, a.scheduler.prefillRate(), a.bytesPerToken(att.offer.GetPool())
	evicting := a.model.cache.evicting()
	k.mu.Lock()
	k.planner.RecordUse(att.offer.GetChain())
	point := k.planner.PointToSave(time.Now(), att.offer.GetChain(), rate, perToken)
	if point == nil || !evicting || k.exporting {
		k.mu.Unlock()
		return
	}
	k.exporting = true
	k.mu.Unlock()
	a.goTracked(func() {
		if err := k.put(a.ctx, a.model.engine, point, req); err != nil {
			klog.V(1).InfoS("KV cache not exported", "request", att.id, "error", err.Error())
		}
		k.mu.Lock()
		k.exporting = false
		k.mu.Unlock()
	})
}

func (k *kvStore) put(ctx context.Context, e engine.Engine, point *jayv1.PrefixPoint, req engine.Request) error {
	ctx, cancel := context.WithTimeout(ctx, kvTransferTimeout)
	defer cancel()
	blocks, ends, err := e.Blocks(req)
	if err != nil {
		return err
	}
	count := 0
	for count < len(ends) && ends[count] <= int(point.GetBytes()) {
		count++
	}
	blob, err := e.ExportKV(ctx, blocks[:count])
	if err != nil {
		return eris.Wrap(err, "export KV cache")
	}
	response, err := k.do(ctx, http.MethodPut, point, blob)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	k.recordPresence(point, nil)
	return nil
}
