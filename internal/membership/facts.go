package membership

import (
	"net"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// facts are what the sources say of one server's coming and going.
type facts struct {
	// draining by an operator, as the catalog says.
	draining bool
	// selfLeaving: the agent's own word, and when it was last heard.
	selfLeaving bool
	selfAt      time.Time
	// incarnation of the engine when the agent last spoke.
	incarnation uint64
	// newsLeaving: the word of another entry, until newsUntil.
	newsLeaving bool
	newsUntil   time.Time
	// vm is the platform's word, with the VM's incarnation.
	vm            platform.VMState
	vmIncarnation uint64
	// goneAt is when the list first left the server out or called it gone.
	goneAt time.Time
	// aliveAt is when work at the server last went well.
	aliveAt time.Time
}

func (f *facts) leaving() bool {
	return f.draining || f.selfLeaving || f.newsLeaving || f.vm == platform.VMLeaving
}

// gone needs more than a list that lags: work that went well since shows that
// the server is there, whatever the list says.
func (f *facts) gone() bool { return f.vm == platform.VMGone && !f.aliveAt.After(f.goneAt) }

// expire forgets words that are too old. A server that left and was replaced
// under its address can't take its word back: it gets no work, so nothing is
// heard of it, and it would stay out for ever. Offered work again it takes it,
// or refuses before anything ran and is out for another while.
func (f *facts) expire(now time.Time, settings Settings) {
	if f.selfLeaving && now.Sub(f.selfAt) >= settings.AgentReportTTL {
		f.selfLeaving = false
	}
	if f.newsLeaving && !now.Before(f.newsUntil) {
		f.newsLeaving = false
	}
}

// applyFacts moves the state to what the facts say.
func (m *Members) applyFacts(now time.Time, b *member) {
	switch {
	case b.facts.gone():
		m.fire(now, b, eventVanish)
	case b.facts.leaving():
		m.fire(now, b, eventLeave)
	case b.state == StateDraining || b.state == StateGone:
		m.fire(now, b, eventComeBack)
	}
}

// ReceiveAgentState takes the state that rode on an agent's answer. An agent that says it
// leaves is believed at once. Its word to the contrary counts only after the
// settle time or from a new boot: answers overtake each other, and an older
// one must not bring a leaving server back.
func (m *Members) ReceiveAgentState(now time.Time, server string, state *jayv1.AgentState) {
	b := m.members[server]
	if b == nil || state == nil {
		return
	}
	f := &b.facts
	reborn := state.GetIncarnation() > f.incarnation && f.incarnation != 0
	switch {
	case state.GetLeaving():
		f.selfLeaving, f.selfAt = true, now
	case f.selfLeaving && (reborn || now.Sub(f.selfAt) >= m.settings.ReorderWindow):
		f.selfLeaving = false
		f.newsLeaving = false
	}
	f.incarnation = max(f.incarnation, state.GetIncarnation())
	if reborn && b.state == StateEjected {
		m.fire(now, b, eventComeBack)
	}
	m.applyFacts(now, b)
}

// RefusedDraining takes in that the server refused work because it is leaving.
func (m *Members) RefusedDraining(now time.Time, server string) {
	if b := m.members[server]; b != nil {
		b.facts.selfLeaving, b.facts.selfAt = true, now
		m.applyFacts(now, b)
	}
}

// ReceiveVMs takes an answer of the platform's list. A VM is matched by the name of
// the backend server, else by its IP number.
func (m *Members) ReceiveVMs(now time.Time, list platform.VMList) {
	named := map[*member]bool{}
	for _, vm := range list.VMs {
		for _, b := range m.ofVM(vm) {
			named[b] = true
			b.facts.take(now, vm)
			m.applyFacts(now, b)
		}
	}
	if !list.Whole {
		return
	}
	for _, b := range m.members {
		if !named[b] && b.facts.vm != "" && b.facts.vm != platform.VMGone {
			b.facts.take(now, platform.VM{State: platform.VMGone, Incarnation: b.facts.vmIncarnation})
			m.applyFacts(now, b)
		}
	}
}

func (m *Members) ofVM(vm platform.VM) []*member {
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

// take ignores the state of an incarnation that was replaced already.
func (f *facts) take(now time.Time, vm platform.VM) {
	if vm.Incarnation < f.vmIncarnation {
		return
	}
	if vm.Incarnation > f.vmIncarnation && f.vmIncarnation != 0 {
		// Another VM under the name: what the old one said is over.
		f.selfLeaving, f.newsLeaving = false, false
	}
	if vm.State == platform.VMGone && f.vm != platform.VMGone {
		f.goneAt = now
	}
	f.vm, f.vmIncarnation = vm.State, vm.Incarnation
}

// ReceivePeerUpdates takes what other entries tell. That a server leaves is believed for a
// while. That another entry ejected it is not: that entry's own link may be cut.
func (m *Members) ReceivePeerUpdates(now time.Time, news []*jayv1.MemberNews) {
	for _, n := range news {
		b := m.members[n.GetName()]
		if b == nil || n.GetState() != StateDraining || n.GetIncarnation() < b.facts.incarnation {
			continue
		}
		said := now.Add(-time.Duration(n.GetAgeMs()) * time.Millisecond)
		if now.Sub(said) < m.settings.PeerReportTTL {
			b.facts.newsLeaving, b.facts.newsUntil = true, said.Add(m.settings.PeerReportTTL)
			m.applyFacts(now, b)
		}
	}
}

// maxNews bounds what a digest carries.
const maxNews = 16

// PeerUpdates returns what other entries should hear: servers that said themselves,
// not through the news, that they leave.
func (m *Members) PeerUpdates(now time.Time) []*jayv1.MemberNews {
	var news []*jayv1.MemberNews
	for name, b := range m.members {
		age := now.Sub(b.facts.selfAt)
		if !b.facts.selfLeaving || age >= m.settings.PeerReportTTL || len(news) == maxNews {
			continue
		}
		news = append(news, &jayv1.MemberNews{
			Name: name, State: StateDraining, Incarnation: b.facts.incarnation, AgeMs: uint32(age.Milliseconds()), //nolint:gosec // below NewsLife
		})
	}
	return news
}
