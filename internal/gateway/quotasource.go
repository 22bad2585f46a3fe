package gateway

import (
	"slices"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/quota"
	"github.com/jayproxy/jayproxy/internal/shard"
)

// quotaSource says what the accounts of a sharedQuota are. Its functions take no lock of the
// sharedQuota.
type quotaSource struct {
	kind   jayv1.QuotaKind
	bounds quota.Bounds
	// label is the prefix of the metrics, name that of log lines.
	label, name string
	// capOf returns the cap of an account in force; no cap if it is unknown.
	capOf func(quota.Account) quota.Cap
	// inUse reports whether there are caps, so that this entry reports to lenders.
	inUse func() bool
	// ready reports whether this entry knows the caps well enough to lend.
	ready func() bool
	// news returns what the other entries are to be told with each message, and learn
	// receives it. They are nil where caps are declared.
	news  func() []*jayv1.ServerLimit
	learn func(from string, news []*jayv1.ServerLimit)
}

// quotaOf returns the caps that a message is about.
func (g *Gateway) quotaOf(kind jayv1.QuotaKind) *sharedQuota {
	if kind == jayv1.QuotaKind_QUOTA_KIND_SERVERS {
		return g.limits
	}
	return g.usage
}

// reportDatagram returns the message with a report to a lender.
func (u *sharedQuota) reportDatagram(report *quota.Report) *jayv1.Datagram {
	message := encodeReport(report)
	message.Kind, message.Limits = u.source.kind, u.source.currentNews()
	return &jayv1.Datagram{Body: &jayv1.Datagram_QuotaReport{QuotaReport: message}}
}

// grantDatagram returns the message with a lender's answer.
func (u *sharedQuota) grantDatagram(grant *quota.Grant) *jayv1.Datagram {
	message := encodeGrant(grant)
	message.Kind, message.Limits = u.source.kind, u.source.currentNews()
	return &jayv1.Datagram{Body: &jayv1.Datagram_QuotaGrant{QuotaGrant: message}}
}

// receiveNews applies what another entry tells.
func (s *quotaSource) receiveNews(from string, news []*jayv1.ServerLimit) {
	if s.learn != nil && len(news) > 0 {
		s.learn(from, news)
	}
}

// currentNews returns what a message tells other entries.
func (s *quotaSource) currentNews() []*jayv1.ServerLimit {
	if s.news == nil {
		return nil
	}
	return s.news()
}

// informOthers tells the entries that do not report to this lender of the caps, which they
// may not know yet.
func (u *sharedQuota) informOthers() {
	if u.source.news == nil {
		return
	}
	u.mu.Lock()
	now := lease.BootClock()
	var targets []string
	if slices.ContainsFunc(u.directory.Lenders(), func(e shard.Entry) bool { return e.Name == u.gateway.settings.Node }) {
		for _, e := range u.others {
			if !u.lender.Live(now, e.Name) {
				targets = append(targets, e.Address)
			}
		}
	}
	u.mu.Unlock()
	if len(targets) > 0 {
		u.gateway.datagrams.trySendAll(u.gateway.datagrams.addressesOf(targets), u.grantDatagram(&quota.Grant{}))
	}
}
