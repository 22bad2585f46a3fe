package agent

import (
	"time"

	"k8s.io/klog/v2"
)

// discardReason tells why a response is no longer kept.
type discardReason string

const (
	discardDelivered  discardReason = "delivered"
	discardCanceled   discardReason = "canceled"
	discardUnread     discardReason = "not read for replay.retain_ms"
	discardSpace      discardReason = "replay.total_bytes exceeded"
	discardIncomplete discardReason = "body incomplete"
)

// discardRecord is when and why a response was discarded; the reason is empty while the
// response is kept.
type discardRecord struct {
	reason discardReason
	at     time.Time
}

// forget discards the attempt and its response.
func (a *Agent) forget(att *attempt, reason discardReason) {
	now := time.Now()
	if !a.attempts.forget(att.id, discardRecord{reason, now}) {
		return
	}
	klog.V(1).InfoS("response discarded", "request", att.id, "workspace", att.offer.GetWorkspace(), "reason", reason,
		"chunks", att.response.count(), "age", now.Sub(att.offered), "sinceLastContact", att.idle(now))
}
