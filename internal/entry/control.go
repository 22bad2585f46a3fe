package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/catalogstore"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/operator"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/spread"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// memberTick is how often ejections and old news are looked over.
const memberTick = 250 * time.Millisecond

// startControl joins the spread of the catalog and opens the operators' port.
func (e *Entry) startControl() error {
	store := catalogstore.New(e.platform, e.platform, catalogstore.Options{Check: catalog.Check})
	service, err := spread.Start(e.ctx, spread.Options{
		Self:       keys.Identity{Role: keys.RoleEntry, Name: e.settings.Name},
		DataCentre: e.settings.DataCentre, Region: e.settings.Region, Address: e.node.Address(),
		Incarnation: uint64(e.started.UnixNano()), //nolint:gosec // after 1970
		Settings:    e.settings.Spread, Node: e.node, Holder: e.holder, Seeds: e.settings.Seeds,
		Store: store, VMs: e.platform, OnVMs: e.heardVMs,
		OnUpdates: func(_ keys.Identity, news []*jayv1.MemberNews) { e.picker.news(time.Now(), news) },
		Updates:   func() []*jayv1.MemberNews { return e.picker.tell(time.Now()) },
		OnCrashes: func(news []*jayv1.CrashNews) { e.crashes.heard(time.Now(), news) },
		Crashes:   func(all bool) []*jayv1.CrashNews { return e.crashes.tell(time.Now(), all) },
		Draining:  e.stopping.Load, FillStatus: e.tellLeases,
	})
	if err != nil {
		return err
	}
	e.spread = service
	close(e.ready)
	if err := e.startRollouts(); err != nil {
		return err
	}
	e.operators, err = newOperatorServer(operatorDeps{
		Address: e.settings.OperatorsAddress, Credentials: e.creds,
		Operator: operator.Options{Store: store, Holder: e.holder, Spread: service, Explain: e.explainAnywhere, Loaded: e.rollouts.Load().Loaded},
	})
	return err
}

// platformOf is the platform of the settings; without one, every call fails as
// it does during an outage.
func platformOf(settings Settings) platform.Platform {
	if settings.Platform != nil {
		return settings.Platform
	}
	const nowhere = "http://127.0.0.1:1"
	url := settings.PlatformURL
	if url == "" {
		url = nowhere
	}
	return platform.NewClient(url, platform.ClientOptions{})
}

// heardVMs takes an answer of the platform's list: who may get work, and among
// how many entries the limits are shared.
func (e *Entry) heardVMs(list platform.VMList) {
	e.picker.vms(time.Now(), list)
	e.SetEntries(e.picker.entries())
}

// watchMembers lets ejections end and applies a new catalog's drains also while
// no request comes.
func (e *Entry) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	for {
		e.picker.tick(time.Now(), e.holder.Current())
		e.crashes.tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-e.holder.Next():
		case <-ticker.C:
		}
	}
}

// servePeer serves a stream that another process opened.
func (e *Entry) servePeer(ctx context.Context, peer keys.Identity, stream *transport.Stream) {
	first := &jayv1.ClientFrame{}
	if err := stream.Receive(first); err != nil {
		return
	}
	if first.GetExplain() != nil && peer.Role == keys.RoleEntry {
		explanation, found := e.explain.get(first.GetExplain().GetRequestId())
		reply := &jayv1.ExplainReply{Found: found, Explanation: explanation}
		_ = stream.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_Explain{Explain: reply}})
		return
	}
	select {
	case <-e.ready:
		e.spread.Handle(ctx, peer, first, stream)
	case <-ctx.Done():
	}
}

// Explain returns why a request of this entry went where it did, false when it
// is not among the latest.
func (e *Entry) Explain(_ context.Context, requestID string) (*jayv1.Explanation, bool) {
	return e.explain.get(requestID)
}

// explainAnywhere asks the entry that the request id names.
func (e *Entry) explainAnywhere(ctx context.Context, requestID string) (*jayv1.Explanation, error) {
	if explanation, ok := e.explain.get(requestID); ok {
		return explanation, nil
	}
	name, ok := entryOf(requestID)
	if !ok || name == e.settings.Name {
		return nil, operator.ErrNoExplanation
	}
	question := &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Explain{Explain: &jayv1.ExplainQuery{RequestId: requestID}}}
	answer, err := e.spread.QueryEntry(ctx, name, question)
	if errors.Is(err, spread.ErrUnknownPeer) {
		return nil, operator.ErrNoExplanation
	}
	if err != nil {
		return nil, eris.Wrapf(err, "ask entry %s", name)
	}
	if !answer.GetExplain().GetFound() {
		return nil, operator.ErrNoExplanation
	}
	return answer.GetExplain().GetExplanation(), nil
}
