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

// membershipInterval is the interval at which ejections and observations of
// backend servers are checked for expiry.
const membershipInterval = 250 * time.Millisecond

// startControl starts catalog distribution, rollouts and the operators' port.
func (e *Entry) startControl() error {
	store := catalogstore.New(e.platform, e.platform, catalogstore.Options{Check: catalog.Check})
	service, err := spread.Start(e.ctx, spread.Options{
		Self:       keys.Identity{Role: keys.RoleEntry, Name: e.settings.Name},
		DataCentre: e.settings.DataCentre, Region: e.settings.Region, Address: e.node.Address(),
		Incarnation: uint64(e.started.UnixNano()), //nolint:gosec // after 1970
		Settings:    e.settings.Spread, Node: e.node, Holder: e.holder, Seeds: e.settings.Seeds,
		Store: store, VMs: e.platform, OnVMs: e.receiveVMs,
		OnUpdates: func(_ keys.Identity, updates []*jayv1.MemberNews) { e.picker.receive(time.Now(), updates) },
		Updates:   func() []*jayv1.MemberNews { return e.picker.digest(time.Now()) },
		OnCrashes: func(updates []*jayv1.CrashNews) { e.suspects.receive(time.Now(), updates) },
		Crashes:   func(all bool) []*jayv1.CrashNews { return e.suspects.digest(time.Now(), all) },
		Draining:  e.stopping.Load, FillStatus: e.addLeases,
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
		Operator: operator.Options{Store: store, Holder: e.holder, Spread: service, Explain: e.explainOrForward, CountLoaded: e.rollouts.Load().CountLoaded},
	})
	return err
}

// platformOf returns the platform client of the settings. Without a configured
// platform every call fails as it does during an outage.
func platformOf(settings Settings) platform.Platform {
	if settings.Platform != nil {
		return settings.Platform
	}
	const unreachable = "http://127.0.0.1:1"
	url := settings.PlatformURL
	if url == "" {
		url = unreachable
	}
	return platform.NewClient(url, platform.ClientOptions{})
}

// closePlatform closes the connections to the platform, unless the client belongs
// to the settings. The platform would keep them until its idle timeout.
func (e *Entry) closePlatform() {
	if client, ok := e.platform.(*platform.Client); ok && e.settings.Platform == nil {
		client.Close()
	}
}

// receiveVMs applies the platform's list of VMs: which servers may get requests,
// and how many entries share the limits.
func (e *Entry) receiveVMs(list platform.VMList) {
	e.picker.receiveVMs(time.Now(), list)
	e.SetEntries(e.picker.liveEntries())
}

// watchMembership ends ejections and applies drains of a new catalog while no
// requests arrive.
func (e *Entry) watchMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		e.picker.refresh(time.Now(), e.holder.Current())
		e.suspects.expire(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-e.holder.Next():
		case <-ticker.C:
		}
	}
}

// servePeer serves a stream opened by another process.
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

// Explain returns the routing decisions for a request that this entry served,
// false when it is not among the latest ones.
func (e *Entry) Explain(_ context.Context, requestID string) (*jayv1.Explanation, bool) {
	return e.explain.get(requestID)
}

// explainOrForward returns the explanation of a request from this entry or, when
// another entry served it, from that entry.
func (e *Entry) explainOrForward(ctx context.Context, requestID string) (*jayv1.Explanation, error) {
	if explanation, ok := e.explain.get(requestID); ok {
		return explanation, nil
	}
	name, ok := entryOf(requestID)
	if !ok || name == e.settings.Name {
		return nil, operator.ErrNoExplanation
	}
	query := &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Explain{Explain: &jayv1.ExplainQuery{RequestId: requestID}}}
	reply, err := e.spread.QueryEntry(ctx, name, query)
	if errors.Is(err, spread.ErrUnknownPeer) {
		return nil, operator.ErrNoExplanation
	}
	if err != nil {
		return nil, eris.Wrapf(err, "request explanation from entry %s", name)
	}
	if !reply.GetExplain().GetFound() {
		return nil, operator.ErrNoExplanation
	}
	return reply.GetExplain().GetExplanation(), nil
}
