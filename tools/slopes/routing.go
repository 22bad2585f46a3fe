package main

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/prefix"
	"github.com/jayproxy/jayproxy/internal/routing"
)

func routingMeasurements() []measurement {
	return []measurement{
		{
			name: "route_decision_cpu", xUnit: "backend server of the pool", yUnit: "nanoseconds a decision",
			counts: doubled(318, 5), measure: decisionCPU,
		},
		{
			name: "route_server_memory", xUnit: "backend server heard of", yUnit: "bytes of memory",
			counts: doubled(318, 5),
			measure: func(n int) (float64, error) {
				return heapOf(func() (any, error) { return warmRouter(n, 0) })
			},
		},
		{
			name: "route_belief_memory", xUnit: "prefix point remembered", yUnit: "bytes of memory",
			counts: doubled(4000, 4),
			measure: func(n int) (float64, error) {
				return heapOf(func() (any, error) { return warmRouter(16, n) })
			},
		},
		{
			name: "prefix_chain_cpu", xUnit: "kilobyte of prompt", yUnit: "nanoseconds",
			counts: doubled(8, 4),
			measure: func(kilobytes int) (float64, error) {
				parts := []string{strings.Repeat("a", kilobytes<<10)}
				return nanosecondsPer(shortRun, func() { prefix.Chain(prefix.Seed{Workspace: "w"}, parts) }), nil
			},
		},
		{
			name: "offer_bytes", xUnit: "kilobyte of prompt", yUnit: "bytes of an offer",
			counts: doubled(4, 4),
			measure: func(kilobytes int) (float64, error) {
				chain := prefix.Chain(prefix.Seed{Workspace: "w"}, []string{strings.Repeat("a", kilobytes<<10)})
				return float64(proto.Size(&jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Offer{Offer: offerOf(chain)}})), nil
			},
		},
		{
			name: "answer_state_bytes", xUnit: "version loaded", yUnit: "bytes of in-band state on an answer",
			counts: doubled(1, 3),
			measure: func(versions int) (float64, error) {
				return float64(proto.Size(agentState(versions))), nil
			},
		},
	}
}

func servers(n int) []routing.Server {
	list := make([]routing.Server, n)
	for i := range list {
		list[i] = routing.Server{Name: fmt.Sprintf("runner-%05d", i), DataCentre: "dc-00", Region: "region-0"}
	}
	return list
}

func agentState(versions int) *jayv1.AgentState {
	state := &jayv1.AgentState{
		BackendServer: "runner-00001", Incarnation: 1796244269134, Generation: 1 << 20, Running: 12, Queued: 3,
		QueueMs: 81.5, PrefillTokensPerSecond: 12345, CacheSurvivalMs: 23456, Ready: true, Slots: 16,
	}
	for i := range versions {
		state.VersionDigests = append(state.VersionDigests, fmt.Sprintf("sha256:%064d", i))
	}
	return state
}

func offerOf(chain prefix.Prefix) *jayv1.Offer {
	return &jayv1.Offer{
		RequestId: "req-entry-0001-0b0e7a3e5d0c4c539a4f", Attempt: 1, Workspace: "hrvatski-fond-srca", Pool: "claim-models",
		Model: "claim-models", VersionDigest: fmt.Sprintf("sha256:%064d", 1), Class: jayv1.Class_CLASS_BATCH,
		EnginePriority: 10, WorkspaceWeight: 3, DeadlineMs: 60000, Chain: chain.Points, PromptBytes: uint32(chain.Bytes),
		ExpectedMs: 81.5, NextBestMs: 120.25, Generation: 1 << 20, Incarnation: 1796244269134,
		HasBody: true, Stream: true, Nonce: make([]byte, 16), ApiPath: "/v1/chat/completions",
	}
}

// document returns a request whose prompt begins with the text of a rulebook.
func document(rulebook, number int) *routing.Request {
	chain := prefix.Chain(prefix.Seed{Workspace: "w"}, []string{
		strings.Repeat("i", 2000), fmt.Sprint("rulebook ", rulebook, strings.Repeat("r", 8000)), fmt.Sprint("line ", number),
	})
	return &routing.Request{
		ID: fmt.Sprint("r", number), Workspace: "w", Pool: "p", Chain: chain.Points, Levels: chain.Levels, PromptBytes: chain.Bytes,
	}
}

var poolPolicy = &routing.PoolPolicy{Pool: "p", RecomputeWeight: 0.5, BytesPerToken: 4, SharedLevel: 2}

// warmRouter returns a router that has the state of n servers and the locations of at
// least the given number of prefix points.
func warmRouter(n, points int) (*routing.Router, error) {
	r := routing.New(routing.Options{DataCentre: "dc-00", Region: "region-0", Seed: 1})
	set := routing.NewSet("p", servers(n))
	now := time.Unix(1000, 0)
	if _, err := r.Choose(now, document(0, 0), poolPolicy, set, nil); err != nil {
		return nil, err
	}
	for i := range n {
		r.UpdateState(now, fmt.Sprintf("runner-%05d", i), agentState(1))
	}
	for i := 0; points > 0; i++ {
		req := document(i, i)
		r.ObserveCache(now, fmt.Sprintf("runner-%05d", i%n), req, req.PromptBytes, 1)
		points -= len(req.Chain)
	}
	return r, nil
}

func decisionCPU(n int) (float64, error) {
	r, err := warmRouter(n, 1000)
	if err != nil {
		return 0, err
	}
	set := routing.NewSet("p", servers(n))
	requests := make([]*routing.Request, 64)
	for i := range requests {
		requests[i] = document(i, i)
	}
	now, at := time.Unix(1000, 0), 0
	var lastErr error
	cost := nanosecondsPer(shortRun, func() {
		at++
		now = now.Add(time.Millisecond)
		if _, err := r.Choose(now, requests[at%len(requests)], poolPolicy, set, nil); err != nil {
			lastErr = err
		}
	})
	return cost, lastErr
}
