package membership

import (
	"net"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// facts are what the sources report about whether a server drains or is gone.
type facts struct {
	// operatorDraining is set if the catalog declares the server as draining.
	operatorDraining bool
	// agentDraining is set if the agent reported that its server drains, and
	// agentDrainingAt is when that report was last received.
	agentDraining   bool
	agentDrainingAt time.Time
	// incarnation of the engine in the latest report of the agent.
	incarnation uint64
	// peerDraining is set if another entry reported that the server drains; the
	// report expires at peerDrainingUntil.
	peerDraining      bool
	peerDrainingUntil time.Time
	// vm is the VM's state in the platform's list, with the VM's incarnation.
	vm            platform.VMState
	vmIncarnation uint64
	// goneAt is when the list first omitted the VM or listed it as gone.
	goneAt time.Time
	// aliveAt is when a request at the server last succeeded.
	aliveAt time.Time
}

func (f *facts) draining() bool {
	return f.operatorDraining || f.agentDraining || f.peerDraining || f.vm == platform.VMDraining
}

// gone does not rely on the platform's list alone, which lags: a request that
// succeeded after the VM was listed as gone shows that the server is still there.
func (f *facts) gone() bool { return f.vm == platform.VMGone && !f.aliveAt.After(f.goneAt) }

// expire drops old reports. A server that drained and was replaced at the same
// address could not correct its report: it receives no requests, so no reply of
// its agent arrives, and it would stay out for ever. If it is still draining, it
// refuses the next offer before anything runs, which renews the report.
func (f *facts) expire(now time.Time, settings Settings) {
	if f.agentDraining && now.Sub(f.agentDrainingAt) >= settings.AgentReportTTL {
		f.agentDraining = false
	}
	if f.peerDraining && !now.Before(f.peerDrainingUntil) {
		f.peerDraining = false
	}
}

// applyFacts changes the state to what the facts require.
func (m *Members) applyFacts(now time.Time, b *member) {
	switch {
	case b.facts.gone():
		m.fire(now, b, eventRemove)
	case b.facts.draining():
		m.fire(now, b, eventDrain)
	case b.state == StateDraining || b.state == StateGone:
		m.fire(now, b, eventReturn)
	}
}

// ReceiveAgentState records the state that was sent with an agent's reply. A
// report that the server drains takes effect at once. A report to the contrary
// does so only after the reorder window or from a newer incarnation: replies can
// arrive out of order, and an older one must not return a draining server.
func (m *Members) ReceiveAgentState(now time.Time, server string, state *jayv1.AgentState) {
	b := m.members[server]
	if b == nil || state == nil {
		return
	}
	f := &b.facts
	restarted := state.GetIncarnation() > f.incarnation && f.incarnation != 0
	switch {
	case state.GetLeaving():
		f.agentDraining, f.agentDrainingAt = true, now
	case f.agentDraining && (restarted || now.Sub(f.agentDrainingAt) >= m.settings.ReorderWindow):
		f.agentDraining = false
		f.peerDraining = false
	}
	f.incarnation = max(f.incarnation, state.GetIncarnation())
	if restarted && (b.state == StateEjected || b.state == StateDown) {
		m.fire(now, b, eventReturn)
	}
	m.applyFacts(now, b)
}

// RefusedDraining records that the server refused a request because it drains.
func (m *Members) RefusedDraining(now time.Time, server string) {
	if b := m.members[server]; b != nil {
		b.facts.agentDraining, b.facts.agentDrainingAt = true, now
		m.applyFacts(now, b)
	}
}

// ReceiveVMs records a response of the platform's list. A VM is matched by the
// name of the backend server, otherwise by its IP address if only one server has
// it.
func (m *Members) ReceiveVMs(now time.Time, list platform.VMList) {
	listed := map[*member]bool{}
	for _, vm := range list.VMs {
		for _, b := range m.membersOf(vm) {
			listed[b] = true
			b.facts.setVM(now, vm)
			m.applyFacts(now, b)
		}
	}
	if !list.Complete {
		return
	}
	for _, b := range m.members {
		if !listed[b] && b.facts.vm != "" && b.facts.vm != platform.VMGone {
			b.facts.setVM(now, platform.VM{State: platform.VMGone, Incarnation: b.facts.vmIncarnation})
			m.applyFacts(now, b)
		}
	}
}

func (m *Members) membersOf(vm platform.VM) []*member {
	if b := m.members[vm.Name]; b != nil {
		return []*member{b}
	}
	host, _, err := net.SplitHostPort(vm.Address)
	if err != nil {
		host = vm.Address
	}
	if vm.Role == "entry" {
		return nil
	}
	if on := m.byHost[host]; len(on) == 1 {
		return on
	}
	return nil
}

// setVM sets the VM's state, unless it is of an earlier incarnation.
func (f *facts) setVM(now time.Time, vm platform.VM) {
	if vm.Incarnation < f.vmIncarnation {
		return
	}
	if vm.Incarnation > f.vmIncarnation && f.vmIncarnation != 0 {
		// Another VM has this name now: reports on the previous one no longer apply.
		f.agentDraining, f.peerDraining = false, false
	}
	if vm.State == platform.VMGone && f.vm != platform.VMGone {
		f.goneAt = now
	}
	f.vm, f.vmIncarnation = vm.State, vm.Incarnation
}

// ReceivePeerUpdates records updates from other entries. A report that a server
// drains is accepted for a limited time. A report that another entry ejected a
// server is ignored: that entry's own network link may be down.
func (m *Members) ReceivePeerUpdates(now time.Time, updates []*jayv1.MemberNews) {
	for _, update := range updates {
		b := m.members[update.GetName()]
		if b == nil || update.GetState() != StateDraining || update.GetIncarnation() < b.facts.incarnation {
			continue
		}
		reportedAt := now.Add(-time.Duration(update.GetAgeMs()) * time.Millisecond)
		if now.Sub(reportedAt) < m.settings.PeerReportTTL {
			b.facts.peerDraining, b.facts.peerDrainingUntil = true, reportedAt.Add(m.settings.PeerReportTTL)
			m.applyFacts(now, b)
		}
	}
}

// maxPeerUpdates limits the updates in a digest.
const maxPeerUpdates = 16

// PeerUpdates returns the updates for other entries: the servers whose own agents
// reported that they drain. Reports from other entries are not forwarded.
func (m *Members) PeerUpdates(now time.Time) []*jayv1.MemberNews {
	var updates []*jayv1.MemberNews
	for name, b := range m.members {
		age := now.Sub(b.facts.agentDrainingAt)
		if !b.facts.agentDraining || age >= m.settings.PeerReportTTL || len(updates) == maxPeerUpdates {
			continue
		}
		updates = append(updates, &jayv1.MemberNews{
			Name: name, State: StateDraining, Incarnation: b.facts.incarnation, AgeMs: uint32(age.Milliseconds()), //nolint:gosec // below PeerReportTTL
		})
	}
	return updates
}
