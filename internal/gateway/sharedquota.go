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
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/quota"
	"github.com/jayproxy/jayproxy/internal/shard"
)

const (
	// lenderTimeout bounds the wait for a lender's answer, with one repetition of the
	// report after lenderResendPause, since datagrams get lost.
	lenderTimeout     = 60 * time.Millisecond
	lenderResendPause = 20 * time.Millisecond
	// noLenderRetryAfter is the retry delay while no lender answers. By then the entry
	// has found another one, or admits from its own part.
	noLenderRetryAfter = 300 * time.Millisecond
	// noEntriesPause is how long an entry that has just started waits for the rows of the
	// others before each of its two attempts.
	noEntriesPause = 50 * time.Millisecond
	// maxPositions bounds the accounts in one datagram.
	maxPositions = 20
)

// sharedQuota enforces caps together with the other entries. Its clock is that of the time
// since boot: a loan must not outlive a suspension of the VM.
type sharedQuota struct {
	gateway *Gateway
	source  quotaSource
	// start identifies this run of the process in reports.
	start uint64

	mu        sync.Mutex
	borrower  *quota.Borrower
	lender    *quota.Lender
	directory *quota.Directory
	entries   int
	// others are the entries other than this one.
	others []shard.Entry
	// key is that of the last report. pending are the reports without an answer.
	key     uint64
	pending map[uint64]*pendingReport
	// received is the number of the newest grant of each lender. informed are the lenders
	// that know all of this entry's accounts.
	received map[string]uint64
	informed map[string]bool
}

// pendingReport is a report that was sent to another entry. answered has room for the
// one answer; it is nil if nobody waits for it.
type pendingReport struct {
	lender   string
	sentAt   time.Time
	answered chan quota.Grant
}

func newSharedQuota(g *Gateway, source quotaSource) *sharedQuota {
	return &sharedQuota{
		gateway: g, source: source, start: rand.Uint64(), //nolint:gosec // no secret
		borrower: quota.NewBorrower(lease.BootClock(), source.bounds), lender: quota.NewLender(source.bounds),
		directory: quota.NewDirectory(g.settings.Node), pending: map[uint64]*pendingReport{}, received: map[string]uint64{}, informed: map[string]bool{},
	}
}

// setEntries sets the entries that have rows, and all that serve callers. Entries that have
// rows lend. If all entries stop none has one, and those that still serve lend. An entry that
// has not read its own row yet counts itself among the others. While it knows of none at all,
// it admits nothing: it can't tell whether it is the only one.
func (u *sharedQuota) setEntries(listed, serving []shard.Entry) {
	self := shard.Entry{Name: u.gateway.settings.Node, Address: u.gateway.settings.ControlAddress, Cores: u.gateway.settings.Cores}
	isSelf := func(e shard.Entry) bool { return e.Name == self.Name }
	lenders := listed
	if len(listed) == 0 {
		lenders = serving
	} else if !u.gateway.stopping.Load() && !slices.ContainsFunc(listed, isSelf) {
		lenders = append(lenders, self)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.entries = max(len(serving), len(lenders))
	u.others = slices.DeleteFunc(slices.Clone(lenders), isSelf)
	u.directory.SetEntries(lenders)
	u.lender.SetEntries(u.entries)
	u.borrower.SetEntries(u.entries)
}

// quotaRequest is a request for admission under a cap.
type quotaRequest struct {
	account  quota.Account
	cap      quota.Cap
	cost     float64
	rank     int
	caller   uint64
	patience time.Duration
}

// quotaDecision is the result. basis says who decided, level is what the lender's bucket
// holds; 0 if none decided.
type quotaDecision struct {
	admitted   bool
	retryAfter time.Duration
	level      float64
	basis      string
}

// admit decides on a request, and asks the lender if this entry may not decide alone.
func (u *sharedQuota) admit(ctx context.Context, r quotaRequest) quotaDecision {
	u.mu.Lock()
	verdict, wait := u.borrower.Admit(lease.BootClock(), r.account, r.cap, r.cost)
	u.mu.Unlock()
	switch verdict {
	case quota.Granted:
		return quotaDecision{admitted: true, basis: "own"}
	case quota.Denied:
		return quotaDecision{retryAfter: wait, basis: "isolated"}
	}
	// A lender that does not answer may be passed over for the next one.
	for range 2 {
		if d, answered := u.askLender(ctx, r); answered {
			return d
		}
	}
	return quotaDecision{retryAfter: noLenderRetryAfter, basis: "no lender answered"}
}

// askLender asks the account's lender to admit a request.
func (u *sharedQuota) askLender(ctx context.Context, r quotaRequest) (decision quotaDecision, answered bool) {
	u.mu.Lock()
	now := lease.BootClock()
	lender, ok := u.directory.LenderOf(r.account)
	if !ok {
		u.mu.Unlock()
		sleep(ctx, noEntriesPause)
		return quotaDecision{}, false
	}
	p := u.borrower.Position(now, r.account, lender.Name)
	p.Need, p.Rank, p.Caller, p.Patience = r.cost, r.rank, r.caller, r.patience
	report := u.reportLocked(lender.Name, []quota.Position{p})
	if lender.Name == u.gateway.settings.Node {
		grant := u.lender.Handle(now, report, u.source.capOf)
		u.borrower.Receive(now, lender.Name, grant)
		u.mu.Unlock()
		return u.decided(r, lender.Name, grant), true
	}
	pending := &pendingReport{lender: lender.Name, sentAt: now, answered: make(chan quota.Grant, 1)}
	u.pending[report.Key] = pending
	u.mu.Unlock()
	grant, answered := u.exchange(ctx, lender, &report, pending)
	if !answered {
		return quotaDecision{}, false
	}
	return u.decided(r, lender.Name, grant), true
}

// decided converts a grant with one loan to the decision on the request.
func (u *sharedQuota) decided(r quotaRequest, lender string, grant quota.Grant) quotaDecision {
	if len(grant.Items) != 1 {
		return quotaDecision{retryAfter: noLenderRetryAfter, basis: "malformed answer of " + lender}
	}
	loan := grant.Items[0]
	if loan.Admitted {
		u.mu.Lock()
		u.borrower.Taken(lease.BootClock(), r.account, r.cost)
		u.mu.Unlock()
	}
	return quotaDecision{admitted: loan.Admitted, retryAfter: loan.RetryAfter, level: loan.Level, basis: lender}
}

// exchange sends a report to a lender and waits for the answer.
func (u *sharedQuota) exchange(ctx context.Context, lender shard.Entry, report *quota.Report, pending *pendingReport) (quota.Grant, bool) {
	datagrams := u.gateway.datagrams
	datagram := u.reportDatagram(report)
	to := datagrams.addressOf(lender.Address)
	resend := time.NewTimer(lenderResendPause)
	defer resend.Stop()
	timeout := time.NewTimer(lenderTimeout)
	defer timeout.Stop()
	datagrams.trySend(to, datagram)
	for {
		select {
		case grant := <-pending.answered:
			return grant, true
		case <-resend.C:
			datagrams.trySend(to, datagram)
		case <-timeout.C:
			u.unanswered(report.Key)
			return quota.Grant{}, false
		case <-ctx.Done():
			u.mu.Lock()
			delete(u.pending, report.Key)
			u.mu.Unlock()
			return quota.Grant{}, false
		}
	}
}

// unanswered records that a report got no answer in time.
func (u *sharedQuota) unanswered(key uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if pending := u.pending[key]; pending != nil {
		u.missingLocked(lease.BootClock(), key, pending.lender)
	}
}

func (u *sharedQuota) missingLocked(now time.Time, key uint64, lender string) {
	delete(u.pending, key)
	delete(u.informed, lender)
	u.gateway.metrics.Count(u.source.label+"_unanswered", lender, 1)
	if u.directory.Missing(now, lender) {
		klog.InfoS("Lender passed over: it does not answer", "of", u.source.name, "lender", lender)
	}
}

// reportLocked builds the next report to a lender.
func (u *sharedQuota) reportLocked(lender string, items []quota.Position) quota.Report {
	u.key++
	return quota.Report{Entry: u.gateway.settings.Node, Start: u.start, Key: u.key, Received: u.received[lender], Items: items}
}

// run reports to the lenders until ctx ends.
func (u *sharedQuota) run(ctx context.Context) {
	for ctx.Err() == nil {
		u.mu.Lock()
		pause := quota.ReportInterval(u.entries)
		u.mu.Unlock()
		sleep(ctx, pause)
		u.reportAll()
	}
}

// reportAll reports to all lenders what changed, and asks those that were passed over
// whether they answer again.
func (u *sharedQuota) reportAll() {
	if !u.source.inUse() {
		return
	}
	type message struct {
		to     *net.UDPAddr
		report quota.Report
	}
	var messages []message
	u.mu.Lock()
	now := lease.BootClock()
	u.expireLocked(now)
	for _, lender := range u.directory.Lenders() {
		items := u.borrower.Changes(now, lender.Name, !u.informed[lender.Name], func(account quota.Account) bool {
			l, ok := u.directory.LenderOf(account)
			return ok && l.Name == lender.Name
		})
		u.informed[lender.Name] = true
		for first := true; first || len(items) > 0; first = false {
			n := min(len(items), maxPositions)
			report := u.reportLocked(lender.Name, items[:n])
			items = items[n:]
			if lender.Name == u.gateway.settings.Node {
				u.borrower.Receive(now, lender.Name, u.lender.Handle(now, report, u.source.capOf))
				continue
			}
			u.pending[report.Key] = &pendingReport{lender: lender.Name, sentAt: now}
			messages = append(messages, message{u.gateway.datagrams.addressOf(lender.Address), report})
		}
	}
	for _, lender := range u.directory.Probes(now) {
		report := u.reportLocked(lender.Name, nil)
		u.pending[report.Key] = &pendingReport{lender: lender.Name, sentAt: now}
		messages = append(messages, message{u.gateway.datagrams.addressOf(lender.Address), report})
	}
	u.lender.Forget(now)
	u.mu.Unlock()
	for _, m := range messages {
		u.gateway.datagrams.trySend(m.to, u.reportDatagram(&m.report))
	}
	u.informOthers()
}

// expireLocked records the reports that nobody waits for as unanswered.
func (u *sharedQuota) expireLocked(now time.Time) {
	for key, pending := range u.pending {
		if pending.answered == nil && now.Sub(pending.sentAt) >= lenderTimeout {
			u.missingLocked(now, key, pending.lender)
		}
	}
}

// receiveReport answers the report of another entry, unless this entry has just started and
// knows no caps yet.
func (u *sharedQuota) receiveReport(message *jayv1.QuotaReport, from *net.UDPAddr) {
	if !u.source.ready() {
		return
	}
	u.source.receiveNews(message.GetEntry(), message.GetLimits())
	u.mu.Lock()
	grant := u.lender.Handle(lease.BootClock(), decodeReport(message), u.source.capOf)
	u.mu.Unlock()
	u.gateway.datagrams.trySend(from, u.grantDatagram(&grant))
}

// receiveGrant applies a lender's answer. An answer that comes after its time-out is
// ignored: its lender counts it as granted until the next report.
func (u *sharedQuota) receiveGrant(message *jayv1.QuotaGrant) {
	u.source.receiveNews("lender", message.GetLimits())
	grant := decodeGrant(message)
	u.mu.Lock()
	defer u.mu.Unlock()
	pending := u.pending[grant.Key]
	if pending == nil && grant.Key == 0 {
		return // News only.
	}
	if pending == nil {
		u.gateway.metrics.Count(u.source.label+"_late_grants", "all", 1)
		return
	}
	delete(u.pending, grant.Key)
	now := lease.BootClock()
	u.received[pending.lender] = max(u.received[pending.lender], grant.Number)
	if u.directory.Answered(pending.lender) {
		klog.InfoS("Lender answers again", "of", u.source.name, "lender", pending.lender)
	}
	u.borrower.Receive(now, pending.lender, grant)
	if pending.answered != nil {
		pending.answered <- grant
	}
}

// charge counts a second run of a request.
func (u *sharedQuota) charge(account quota.Account, cost float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.borrower.Charge(lease.BootClock(), account, cost)
}

// giveBack counts an admitted request as unused that is proven not to have run.
func (u *sharedQuota) giveBack(admitted time.Time, account quota.Account, cost float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.borrower.Return(lease.BootClock(), admitted, account, cost)
}

// describe returns what this entry knows of an account, the account's lender, and
// whether this entry is isolated.
func (u *sharedQuota) describe(account quota.Account) (known quota.State, lender string, isolated bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := lease.BootClock()
	entry, _ := u.directory.LenderOf(account)
	return u.borrower.State(now, account), entry.Name, u.borrower.Isolated(now)
}

// state returns what this entry knows of an account.
func (u *sharedQuota) state(account quota.Account) quota.State {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.borrower.State(lease.BootClock(), account)
}
