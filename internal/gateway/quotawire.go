package gateway

import (
	"math"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/quota"
)

// The conversions between the types of package quota and their datagrams. Amounts are
// rounded up.

func units(amount float64) uint64 { return uint64(max(math.Ceil(amount), 0)) }

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxInt32)) //nolint:gosec // limited
}

func encodeReport(r *quota.Report) *jayv1.QuotaReport {
	message := &jayv1.QuotaReport{Entry: r.Entry, Start: r.Start, Key: r.Key, Received: r.Received}
	for i := range r.Items {
		p := &r.Items[i]
		message.Items = append(message.Items, &jayv1.QuotaPosition{
			Account: uint32(p.Account), Used: units(p.Used), Balance: units(p.Balance), Drawn: int64(math.Ceil(p.Drawn)),
			Total: units(p.Total), TotalAgeMs: millis(p.TotalAge), Borrows: p.Borrows,
			Need: units(p.Need), Rank: uint32(max(p.Rank, 0)), Caller: p.Caller, PatienceMs: millis(p.Patience), //nolint:gosec // a priority
		})
	}
	return message
}

func decodeReport(message *jayv1.QuotaReport) quota.Report {
	r := quota.Report{Entry: message.GetEntry(), Start: message.GetStart(), Key: message.GetKey(), Received: message.GetReceived()}
	for _, p := range message.GetItems() {
		r.Items = append(r.Items, quota.Position{
			Account: quota.Account(p.GetAccount()), Used: float64(p.GetUsed()), Balance: float64(p.GetBalance()), Drawn: float64(p.GetDrawn()),
			Total: float64(p.GetTotal()), TotalAge: time.Duration(p.GetTotalAgeMs()) * time.Millisecond, Borrows: p.GetBorrows(),
			Need: float64(p.GetNeed()), Rank: int(p.GetRank()), Caller: p.GetCaller(), Patience: time.Duration(p.GetPatienceMs()) * time.Millisecond,
		})
	}
	return r
}

func encodeGrant(g *quota.Grant) *jayv1.QuotaGrant {
	message := &jayv1.QuotaGrant{Key: g.Key, Number: g.Number}
	for i := range g.Items {
		l := &g.Items[i]
		message.Items = append(message.Items, &jayv1.QuotaLoan{
			Account: uint32(l.Account), Admitted: l.Admitted, RetryAfterMs: millis(l.RetryAfter),
			Line: uint64(max(l.Line, 0)), Total: units(l.Total), Level: int64(l.Level),
		})
	}
	return message
}

func decodeGrant(message *jayv1.QuotaGrant) quota.Grant {
	g := quota.Grant{Key: message.GetKey(), Number: message.GetNumber()}
	for _, l := range message.GetItems() {
		g.Items = append(g.Items, quota.Loan{
			Account: quota.Account(l.GetAccount()), Admitted: l.GetAdmitted(), RetryAfter: time.Duration(l.GetRetryAfterMs()) * time.Millisecond,
			Line: float64(l.GetLine()), Total: float64(l.GetTotal()), Level: float64(l.GetLevel()),
		})
	}
	return g
}
