package ledger

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// ErrUnavailable means that the claim was not acquired and the call must not be
// made: the table is down, or the outcome was not known before the timeout. In
// the latter case the row may exist, and later calls with the key are refused as
// duplicates.
var ErrUnavailable = errors.New("claim not acquired")

// DuplicateError means that the key is already claimed.
type DuplicateError struct {
	// First is the existing claim.
	First Record
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return "key already claimed by request " + e.First.RequestID + ", state " + string(e.First.State)
}

// Options configure a ledger. Zero values take the defaults.
type Options struct {
	// Window is the minimum time for which the first operation of a batch waits
	// for others.
	Window time.Duration
	// InFlight bounds the number of concurrent transactions.
	InFlight int
	// MaxRows bounds the number of operations in a transaction.
	MaxRows int
	// Timeout bounds each call of the ledger.
	Timeout time.Duration
	Now     platform.Clock
}

const (
	defaultWindow   = 3 * time.Millisecond
	defaultInFlight = 4
	defaultTimeout  = 3 * time.Second
	// readDelay is the delay before the rows are read after a lost answer.
	readDelay  = 5 * time.Millisecond
	tokenBytes = 16
	// The batch window is multiplied by windowGrowth when the table refuses a
	// transaction and by windowShrink when it answers one, so that the write
	// rate stays close to the table's limit.
	windowGrowth = 2
	windowShrink = 0.99
	maxWindow    = 60 * time.Millisecond
	keyPrefix    = "claim/"
	// maxUpdates bounds the attempts to change a claim's row whose version changes.
	maxUpdates = 3
)

func (o Options) withDefaults() Options {
	if o.Window == 0 {
		o.Window = defaultWindow
	}
	if o.InFlight == 0 {
		o.InFlight = defaultInFlight
	}
	if o.MaxRows == 0 || o.MaxRows > platform.MaxTxnRows {
		o.MaxRows = platform.MaxTxnRows
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Ledger commits operations in groups. It is safe for concurrent use.
type Ledger struct {
	table   platform.Table
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu        sync.Mutex
	core      *Core
	waiters   map[OpID]chan Result
	nextID    OpID
	workReady chan struct{}
	// window is the current batch window. It grows while the table refuses
	// transactions: larger batches need fewer writes, so that all entries
	// together stay within the table's rate.
	window time.Duration
}

// New starts a ledger. The caller must close it.
func New(table platform.Table, options Options) *Ledger {
	options = options.withDefaults()
	l := &Ledger{
		table: table, options: options, core: NewCore(options.MaxRows),
		waiters: map[OpID]chan Result{}, workReady: make(chan struct{}, 1), window: options.Window,
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for range options.InFlight {
		l.wg.Add(1)
		go l.commitLoop()
	}
	return l
}

// Close stops the ledger. Operations in flight end with ErrUnavailable.
func (l *Ledger) Close() {
	l.cancel()
	l.wg.Wait()
}

// Claim is a claim held by this process.
type Claim struct {
	key     string
	record  Record
	version uint64
}

// Acquire claims the key of the workspace for the request. The call may be made
// only if the error is nil. The error is a *DuplicateError if the key is already
// claimed, else ErrUnavailable.
func (l *Ledger) Acquire(ctx context.Context, workspace, key, requestID string) (*Claim, error) {
	token := make([]byte, tokenBytes)
	_, _ = rand.Read(token)
	claim := &Claim{key: rowKey(workspace, key), record: Record{
		Token: hex.EncodeToString(token), RequestID: requestID, State: StateClaimed,
		ClaimedUnixMS: l.options.Now().UnixMilli(),
	}}
	result, err := l.write(ctx, claim.key, 0, &claim.record)
	if err != nil {
		return nil, err
	}
	switch result.Outcome {
	case Written:
		claim.version = result.Row.Version
		return claim, nil
	case Conflict:
		first, err := decode(result.Row.Value)
		if err != nil {
			return nil, eris.Wrapf(ErrUnavailable, "decode claim row %s: %v", claim.key, err)
		}
		return nil, &DuplicateError{First: first}
	default:
		return nil, ErrUnavailable
	}
}

// Release deletes the claim after a call that is proven not to have run. If it
// fails, the row may remain and later calls with the key are refused, although
// the call has not run.
func (l *Ledger) Release(ctx context.Context, claim *Claim) error {
	return l.update(ctx, claim, nil)
}

// Complete sets the claim to StateDone after the call has run. Later calls with
// the key get that state in DuplicateError.First.
func (l *Ledger) Complete(ctx context.Context, claim *Claim) error {
	record := claim.record
	record.State = StateDone
	return l.update(ctx, claim, &record)
}

// update changes the claim's row. The table may have come back from a copy since: the row
// is gone then, or has a new version.
func (l *Ledger) update(ctx context.Context, claim *Claim, record *Record) error {
	version := claim.version
	for range maxUpdates {
		result, err := l.write(ctx, claim.key, version, record)
		if err != nil || result.Outcome == Written {
			return err
		}
		if result.Outcome != Conflict || !claim.restored(result.Row) {
			break
		}
		version = result.Row.Version
	}
	return eris.Wrapf(ErrUnavailable, "claim row %s was not changed", claim.key)
}

// restored reports whether a row is that of the claim in a copy of the table, which may
// lack it.
func (c *Claim) restored(row platform.Row) bool {
	if row.Version == 0 {
		return true
	}
	record, err := decode(row.Value)
	return err == nil && record.Token == c.record.Token && record.State == StateClaimed
}

// rowKey returns the key of the claim's row. The caller's key is encoded, because
// it may contain any byte.
func rowKey(workspace, key string) string {
	return keyPrefix + workspace + "/" + base64.RawURLEncoding.EncodeToString([]byte(key))
}

// write queues an operation and waits for its result.
func (l *Ledger) write(ctx context.Context, key string, version uint64, record *Record) (Result, error) {
	op := Op{Key: key, Version: version}
	if record != nil {
		value, err := json.Marshal(record)
		if err != nil {
			return Result{}, eris.Wrap(err, "encode claim")
		}
		op.Value = value
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	done := make(chan Result, 1)
	op.ID = l.enqueue(op, done)
	select {
	case result := <-done:
		return result, nil
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	if !l.abandon(op.ID) {
		return <-done, nil
	}
	return Result{}, eris.Wrap(ErrUnavailable, "stopped waiting before the outcome was known")
}

func (l *Ledger) enqueue(op Op, done chan Result) OpID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	op.ID = l.nextID
	l.waiters[op.ID] = done
	l.core.Add(op)
	l.signal()
	return op.ID
}

// abandon removes the waiter of an operation; false if the result is already
// delivered. An operation in flight is still carried out.
func (l *Ledger) abandon(id OpID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiters[id] == nil {
		return false
	}
	delete(l.waiters, id)
	return true
}

// signal notifies an idle commit loop that operations are queued. The caller must
// hold the lock.
func (l *Ledger) signal() {
	select {
	case l.workReady <- struct{}{}:
	default:
	}
}

func (l *Ledger) commitLoop() {
	defer l.wg.Done()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.workReady:
		}
		if !l.wait(l.batchWindow()) {
			return
		}
		for {
			batch := l.next()
			if batch == nil {
				break
			}
			l.commit(batch)
		}
	}
}

func (l *Ledger) next() *Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.Retain(func(id OpID) bool { return l.waiters[id] != nil })
	batch := l.core.Next()
	if batch != nil && l.core.Pending() > 0 {
		l.signal()
	}
	return batch
}

// commit sends a batch and processes the answer.
func (l *Ledger) commit(batch *Batch) {
	ctx, cancel := context.WithTimeout(l.ctx, l.options.Timeout)
	defer cancel()
	answer, err := l.table.Commit(ctx, batch.Txn())
	switch {
	case err == nil:
		l.adjustWindow(windowShrink)
		l.apply(func() []Result { return l.core.HandleResult(batch, answer) })
	case errors.Is(err, platform.ErrUnavailable):
		l.adjustWindow(windowGrowth)
		l.apply(func() []Result { return l.core.HandleUnavailable(batch) })
		l.wait(l.batchWindow())
	default:
		l.resolve(ctx, batch)
	}
}

// resolve determines the outcome of a batch whose answer was lost by reading its
// rows.
func (l *Ledger) resolve(ctx context.Context, batch *Batch) {
	for l.wait(readDelay) && ctx.Err() == nil {
		rows, err := l.table.Get(ctx, batch.Keys()...)
		if err == nil {
			l.apply(func() []Result { return l.core.HandleRows(batch, rows) })
			return
		}
	}
	l.apply(func() []Result { return l.core.HandleLost(batch) })
}

// apply runs a step of the core and delivers its results.
func (l *Ledger) apply(step func() []Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, result := range step() {
		l.deliver(result)
	}
	if l.core.Pending() > 0 {
		l.signal()
	}
}

// deliver sends a result to its waiter. A claim that was written after Acquire
// had failed is deleted again: the call was refused as not run, so a retry with
// the same key must not be refused as a duplicate. The caller must hold the lock.
func (l *Ledger) deliver(result Result) {
	op := result.Op
	if done := l.waiters[op.ID]; done != nil {
		done <- result
		delete(l.waiters, op.ID)
		return
	}
	acquired := op.Version == 0 && op.Value != nil && result.Outcome == Written
	if acquired {
		l.nextID++
		l.waiters[l.nextID] = make(chan Result, 1)
		l.core.Add(Op{ID: l.nextID, Key: op.Key, Version: result.Row.Version})
	}
}

func (l *Ledger) batchWindow() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.window
}

func (l *Ledger) adjustWindow(factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := time.Duration(float64(l.window) * factor)
	l.window = min(max(next, l.options.Window), maxWindow)
}

// wait waits for the duration. It returns false if the ledger was closed.
func (l *Ledger) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
