package main

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// exchangeGap separates two exchanges so that delayed acknowledgements are sent in
// between, as in production.
const exchangeGap = 30 * time.Millisecond

func gossipMeasurements() []measurement {
	return []measurement{
		{
			name: "gossip_exchange_bytes", xUnit: "exchange of digests", yUnit: "bytes, both ends together sent",
			counts: doubled(16, 4),
			measure: func(n int) (float64, error) {
				cost, err := exchanges(n)
				return cost.bytes, err
			},
		},
		{
			name: "gossip_exchange_cpu", xUnit: "exchange of digests", yUnit: "microseconds of CPU, both ends",
			counts: doubled(16, 4),
			measure: func(n int) (float64, error) {
				cost, err := exchanges(n)
				return cost.cpu, err
			},
		},
		{
			name: "answer_state_cpu", xUnit: "version loaded", yUnit: "nanoseconds to encode, decode and learn a state",
			counts: doubled(1, 3), measure: stateCPU,
		},
	}
}

type exchangeCost struct{ bytes, cpu float64 }

// exchanges makes n exchanges of digests on one connection and returns their total cost.
func exchanges(n int) (exchangeCost, error) {
	f, err := newFleet(1)
	if err != nil {
		return exchangeCost{}, err
	}
	defer f.close()
	if err := f.connect(0); err != nil {
		return exchangeCost{}, err
	}
	before, cpu := f.client.Traffic(), cpuSeconds()
	for range n {
		if err := exchange(f.client, f.servers[0].Address()); err != nil {
			return exchangeCost{}, err
		}
		time.Sleep(exchangeGap)
	}
	after := f.client.Traffic()
	packets := after.PacketsSent - before.PacketsSent + after.PacketsReceived - before.PacketsReceived
	payload := after.BytesSent - before.BytesSent + after.BytesReceived - before.BytesReceived
	const microseconds = 1e6
	return exchangeCost{
		bytes: float64(payload + packets*headersPerPacket), cpu: (cpuSeconds() - cpu) * microseconds,
	}, nil
}

func exchange(client *transport.Node, address string) error {
	s, err := client.Open(context.Background(), address, keys.RoleAgent)
	if err != nil {
		return err
	}
	defer s.Abort()
	digest := &jayv1.GossipDigest{Generation: 1 << 20}
	if err := s.Send(&jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Gossip{Gossip: digest}}); err != nil {
		return err
	}
	if err := s.CloseSend(); err != nil {
		return err
	}
	answer := &jayv1.ServerFrame{}
	if err := s.Receive(answer); err != nil {
		return err
	}
	if err := s.Receive(answer); !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

func stateCPU(versions int) (float64, error) {
	router := routing.New(routing.Options{Seed: 1})
	now := time.Unix(1000, 0)
	state := agentState(versions)
	var lastErr error
	cost := nanosecondsPer(shortRun, func() {
		encoded, err := proto.Marshal(state)
		if err != nil {
			lastErr = err
		}
		decoded := &jayv1.AgentState{}
		if err := proto.Unmarshal(encoded, decoded); err != nil {
			lastErr = err
		}
		now = now.Add(time.Millisecond)
		router.UpdateState(now, decoded.GetBackendServer(), decoded)
	})
	return cost, lastErr
}
