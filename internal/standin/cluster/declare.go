package cluster

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/api/gen/jay/v1/jayv1connect"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

const (
	// applyTimeout bounds the wait until a declaration is in force in all processes.
	applyTimeout      = 15 * time.Second
	applyPollInterval = 20 * time.Millisecond
)

// OperatorKeys returns the folder of the keys of the role operator.
func (c *Cluster) OperatorKeys() string { return c.keysOf(operatorName) }

// Operator returns a client of the operators' API of the entry with the given index,
// authenticated in the role operator.
func (c *Cluster) Operator(entry int) (jayv1connect.OperatorServiceClient, error) {
	creds, err := transport.LoadCredentials(c.OperatorKeys())
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig:   creds.ClientTLS([]string{"h2", "http/1.1"}, keys.RoleEntry),
		ForceAttemptHTTP2: true,
	}}
	return jayv1connect.NewOperatorServiceClient(client, c.Entries()[entry].OperatorsURL()), nil
}

// Apply declares resources through the first entry and waits until they are in
// force in all processes.
func (c *Cluster) Apply(ctx context.Context, resources []*jayv1.Resource) error {
	operator, err := c.Operator(0)
	if err != nil {
		return err
	}
	answer, err := operator.Apply(ctx, connect.NewRequest(&jayv1.ApplyRequest{
		ChangeId: uuid.NewString(), Resources: resources,
	}))
	if err != nil {
		return eris.Wrap(err, "apply declaration")
	}
	return c.awaitGeneration(ctx, answer.Msg.GetGeneration())
}

// awaitGeneration waits until the generation is in force in all entries and agents.
func (c *Cluster) awaitGeneration(ctx context.Context, generation uint64) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for c.oldestGeneration() < generation {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for generation %d in all processes; the lowest is %d", generation, c.oldestGeneration())
		case <-time.After(applyPollInterval):
		}
	}
	return nil
}

// oldestGeneration returns the lowest generation in force in any process.
func (c *Cluster) oldestGeneration() uint64 {
	lowest := ^uint64(0)
	for _, e := range c.Entries() {
		lowest = min(lowest, e.Catalog().Current().Generation())
	}
	for _, holder := range c.agentCatalogs {
		lowest = min(lowest, holder.Current().Generation())
	}
	return lowest
}
