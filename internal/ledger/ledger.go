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

// ErrUnavailable means that the claim was not taken and the call must not be
// made: the table is down, or what became of the claim could not be settled in
// time. In the latter case the row may stand, and later calls with the key are
// refused as duplicates.
var ErrUnavailable = errors.New("claim not taken")

// DuplicateError says that the key was claimed before.
type DuplicateError struct {
	// First is what the row says of the first request.
	First Record
}

// Error names the first request.
func (e *DuplicateError) Error() string {
	return "claimed by request " + e.First.RequestID + ", " + string(e.First.State)
}

// Options of a ledger. Zero values take the defaults.
type Options struct {
	// Window is how long the first operation of a batch waits for more.
	Window time.Duration
	// InFlight bounds the transactions under way at once.
	InFlight int
	// MaxRows bounds the operations of a transaction.
	MaxRows int
	// Timeout bounds one call of the ledger.
	Timeout time.Duration
	Now     platform.Clock
}

const (
	defaultWindow   = 3 * time.Millisecond
	defaultInFlight = 4
	defaultSettle   = 3 * time.Second
	// lostPause is the wait before a lost answer is settled by reading.
	lostPause  = 5 * time.Millisecond
	tokenBytes = 16
	// The window grows fast when the table refuses and shrinks slowly when it
	// commits, so that it settles just where the table's rate is used up.
	windowGrowth = 2
	windowShrink = 0.99
	maxWindow    = 60 * time.Millisecond
	keyPrefix    = "claim/"
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
		o.Timeout = defaultSettle
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Ledger commits operations in groups. Safe for concurrent use.
type Ledger struct {
	table   platform.Table
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	core    *Core
	waiters map[OpID]chan Result
	nextID  OpID
	wake    chan struct{}
	// window grows while the table refuses, so that many entries together stay
	// within its rate: larger groups, fewer writes.
	window time.Duration
}

// New starts a ledger; Close ends it.
func New(table platform.Table, options Options) *Ledger {
	options = options.withDefaults()
	l := &Ledger{
		table: table, options: options, core: NewCore(options.MaxRows),
		waiters: map[OpID]chan Result{}, wake: make(chan struct{}, 1), window: options.Window,
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for range options.InFlight {
		l.wg.Add(1)
		go l.commitLoop()
	}
	return l
}

// Close ends the ledger; operations under way end unsettled.
func (l *Ledger) Close() {
	l.cancel()
	l.wg.Wait()
}

// Claim is a claim that this process holds.
type Claim struct {
	key     string
	record  Record
	version uint64
}

// Acquire claims the key of the workspace for the request. *DuplicateError: it
// was claimed before; ErrUnavailable: it was not taken. Only after a nil error
// may the call be made.
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
			return nil, eris.Wrapf(ErrUnavailable, "claim row %s does not read: %v", claim.key, err)
		}
		return nil, &DuplicateError{First: first}
	default:
		return nil, ErrUnavailable
	}
}

// Release takes the claim back after a call that is proven not to have run.
// When it fails the row stands and later calls with the key are refused: that
// costs a call, never a second run.
func (l *Ledger) Release(ctx context.Context, claim *Claim) error {
	return l.change(ctx, claim, nil)
}

// Complete notes that the call ran to its end, for those who ask with the same key.
func (l *Ledger) Complete(ctx context.Context, claim *Claim) error {
	record := claim.record
	record.State = StateDone
	return l.change(ctx, claim, &record)
}

func (l *Ledger) change(ctx context.Context, claim *Claim, record *Record) error {
	result, err := l.write(ctx, claim.key, claim.version, record)
	if err == nil && result.Outcome != Written {
		err = eris.Wrapf(ErrUnavailable, "row %s not changed", claim.key)
	}
	return err
}

// rowKey encodes the caller's key, which may hold any byte.
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
	return Result{}, eris.Wrap(ErrUnavailable, "not settled in time")
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

// abandon forgets an operation that nobody waits for any more; false when its
// result is there already. One that is under way still ends.
func (l *Ledger) abandon(id OpID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiters[id] == nil {
		return false
	}
	delete(l.waiters, id)
	return true
}

// signal wakes one committer. The caller holds the lock.
func (l *Ledger) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Ledger) commitLoop() {
	defer l.wg.Done()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		}
		if !l.wait(l.pace()) {
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

// commit sends a batch and takes in what became of it.
func (l *Ledger) commit(batch *Batch) {
	ctx, cancel := context.WithTimeout(l.ctx, l.options.Timeout)
	defer cancel()
	answer, err := l.table.Commit(ctx, batch.Txn())
	switch {
	case err == nil:
		l.adapt(windowShrink)
		l.settle(func() []Result { return l.core.HandleResult(batch, answer) })
	case errors.Is(err, platform.ErrUnavailable):
		l.adapt(windowGrowth)
		l.settle(func() []Result { return l.core.HandleUnavailable(batch) })
		l.wait(l.pace())
	default:
		l.read(ctx, batch)
	}
}

// read settles a batch whose answer was lost by reading its rows.
func (l *Ledger) read(ctx context.Context, batch *Batch) {
	for l.wait(lostPause) && ctx.Err() == nil {
		rows, err := l.table.Get(ctx, batch.Keys()...)
		if err == nil {
			l.settle(func() []Result { return l.core.HandleRows(batch, rows) })
			return
		}
	}
	l.settle(func() []Result { return l.core.HandleLost(batch) })
}

// settle runs a step of the core and hands the results out.
func (l *Ledger) settle(step func() []Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, result := range step() {
		l.handOut(result)
	}
	if l.core.Pending() > 0 {
		l.signal()
	}
}

// handOut gives a result to whoever waits for it. A claim that was taken after
// its call had been refused is given back: nobody will make the call, and the
// caller was told so, so its next try with the key must not find it claimed.
// The caller holds the lock.
func (l *Ledger) handOut(result Result) {
	op := result.Op
	if done := l.waiters[op.ID]; done != nil {
		done <- result
		delete(l.waiters, op.ID)
		return
	}
	taken := op.Version == 0 && op.Value != nil && result.Outcome == Written
	if taken {
		l.nextID++
		l.waiters[l.nextID] = make(chan Result, 1)
		l.core.Add(Op{ID: l.nextID, Key: op.Key, Version: result.Row.Version})
	}
}

func (l *Ledger) pace() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.window
}

func (l *Ledger) adapt(factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := time.Duration(float64(l.window) * factor)
	l.window = min(max(next, l.options.Window), maxWindow)
}

// wait pauses, false when the ledger was closed.
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
