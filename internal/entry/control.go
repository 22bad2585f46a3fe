package entry

import (
	"context"
	"strings"
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

// control is the part of an entry that is not in a request's path: the spread
// of the catalog and the operators' calls.
type control struct {
	spread    *spread.Service
	operators *operatorServer
}

// startControl works without a platform: the catalog then comes from peers,
// and operators' changes are refused.
func startControl(ctx context.Context, e *Entry) (*control, error) {
	service := platformOf(e.settings)
	options := spread.Options{
		Self: e.creds.Self(), DataCentre: e.settings.DataCentre, Region: e.settings.Region,
		Address: e.Address(), Incarnation: uint64(e.started.UnixNano()), //nolint:gosec // after 1970
		Settings: e.settings.Spread, Node: e.node, Holder: e.holder, Seeds: e.settings.Seeds,
		Leaving: e.stopping.Load,
	}
	store := catalogstore.New(service, service, catalogstore.Options{Check: catalog.Check})
	options.Store, options.VMs = store, service
	c := &control{}
	var err error
	if c.spread, err = spread.Start(ctx, options); err != nil {
		return nil, err
	}
	c.operators, err = newOperatorServer(operatorDeps{
		Address: e.settings.OperatorsAddress, Credentials: e.creds,
		Operator: operator.Options{Store: store, Holder: e.holder, Spread: c.spread, Explain: e.findExplanation},
	})
	if err != nil {
		c.spread.Close()
		return nil, err
	}
	return c, nil
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

// handle serves the streams of the spread.
func (c *control) handle(ctx context.Context, peer keys.Identity, first *jayv1.ClientFrame, stream *transport.Stream) {
	c.spread.Handle(ctx, peer, first, stream)
}

func (c *control) close() {
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.operators.Shutdown(ctx)
	c.spread.Close()
}

// findExplanation looks here or asks the entry whose name the request id carries.
func (e *Entry) findExplanation(ctx context.Context, requestID string) (*jayv1.Explanation, error) {
	if explanation, found := e.explain.get(requestID); found {
		return explanation, nil
	}
	name := entryOf(requestID)
	if name == e.settings.Name {
		return nil, operator.ErrNoExplanation
	}
	question := &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Explain{Explain: &jayv1.ExplainQuery{RequestId: requestID}}}
	answer, err := e.control.spread.AskEntry(ctx, name, question)
	if err != nil {
		return nil, eris.Wrapf(operator.ErrNoExplanation, "ask entry %q: %v", name, err)
	}
	if !answer.GetExplain().GetFound() {
		return nil, operator.ErrNoExplanation
	}
	return answer.GetExplain().GetExplanation(), nil
}

// entryOf is the entry that made the request id.
func entryOf(requestID string) string {
	name := strings.TrimPrefix(requestID, requestIDPrefix)
	if cut := strings.LastIndex(name, "-"); cut >= 0 {
		return name[:cut]
	}
	return ""
}
