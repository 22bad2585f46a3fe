package catalog

import (
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// The declarations in TOML files. Each type corresponds to the message of the same
// name in catalog.proto, and has the same keys.

type workspaceDecl struct {
	Name         string       `toml:"name"`
	Keys         []apiKeyDecl `toml:"keys"`
	Limits       limitsDecl   `toml:"limits"`
	Weight       uint32       `toml:"weight"`
	DefaultClass className    `toml:"default_class"`
}

type apiKeyDecl struct {
	ID   string   `toml:"id"`
	Salt hexBytes `toml:"salt"`
	Hash hexBytes `toml:"hash"`
}

type limitsDecl struct {
	RequestsPerSecond float64 `toml:"requests_per_second"`
	TokensPerSecond   float64 `toml:"tokens_per_second"`
	ConcurrentStreams uint32  `toml:"concurrent_streams"`
}

type digestDecl struct {
	Name   string `toml:"name"`
	Digest string `toml:"digest"`
}

type poolDecl struct {
	Name                   string       `toml:"name"`
	Model                  string       `toml:"model"`
	Versions               []digestDecl `toml:"versions"`
	ActiveVersion          string       `toml:"active_version"`
	Adapters               []digestDecl `toml:"adapters"`
	RecomputeWeight        float64      `toml:"recompute_weight"`
	MinReady               uint32       `toml:"min_ready"`
	BytesPerToken          float64      `toml:"bytes_per_token"`
	SharedLevel            uint32       `toml:"shared_level"`
	PrefillTokensPerSecond float64      `toml:"prefill_tokens_per_second"`
	KvService              string       `toml:"kv_service"`
	Concurrency            uint32       `toml:"concurrency"`
	QueueLength            uint32       `toml:"queue_length"`
}

type serviceDecl struct {
	Name          string     `toml:"name"`
	NonRepeatable []callDecl `toml:"non_repeatable"`
	KvStore       bool       `toml:"kv_store"`
	Concurrency   uint32     `toml:"concurrency"`
	QueueLength   uint32     `toml:"queue_length"`
}

type callDecl struct {
	Method     string `toml:"method"`
	PathPrefix string `toml:"path_prefix"`
}

type backendServerDecl struct {
	Name          string `toml:"name"`
	Pool          string `toml:"pool"`
	Service       string `toml:"service"`
	AgentAddress  string `toml:"agent_address"`
	DataCentre    string `toml:"data_centre"`
	Region        string `toml:"region"`
	Vendor        string `toml:"vendor"`
	ChecksFencing bool   `toml:"checks_fencing"`
	Draining      bool   `toml:"draining"`
}

type ruleDecl struct {
	Name           string    `toml:"name"`
	Priority       uint32    `toml:"priority"`
	Workspaces     []string  `toml:"workspaces"`
	Models         []string  `toml:"models"`
	Services       []string  `toml:"services"`
	ClassLabel     string    `toml:"class_label"`
	Deny           bool      `toml:"deny"`
	Class          className `toml:"class"`
	EnginePriority uint32    `toml:"engine_priority"`
	DataCentres    []string  `toml:"data_centres"`
	DeadlineMs     uint32    `toml:"deadline_ms"`
}

// hexBytes is a byte string in hexadecimal notation.
type hexBytes []byte

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *hexBytes) UnmarshalText(text []byte) error {
	value, err := hex.DecodeString(string(text))
	if err != nil {
		return eris.Errorf("%q is not an even number of hexadecimal digits", text)
	}
	*h = value
	return nil
}

// className is a traffic class, written as batch, standard or interactive.
type className jayv1.Class

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *className) UnmarshalText(text []byte) error {
	class, err := ParseClass(string(text))
	*c = className(class)
	return err
}

// ParseClass parses the name of a class: batch, standard or interactive.
func ParseClass(name string) (jayv1.Class, error) {
	value, ok := jayv1.Class_value["CLASS_"+strings.ToUpper(name)]
	if !ok || value == 0 || strings.ToLower(name) != name {
		return 0, eris.Errorf("class %q is none of batch, standard, interactive", name)
	}
	return jayv1.Class(value), nil
}

// decl is one declared object.
type decl interface{ resource() *jayv1.Resource }

// newDecl returns an empty declaration of a kind, or nil if the kind is unknown.
func newDecl(kind string) decl {
	switch kind {
	case KindWorkspace:
		return &workspaceDecl{}
	case KindPool:
		return &poolDecl{}
	case KindService:
		return &serviceDecl{}
	case KindBackendServer:
		return &backendServerDecl{}
	case KindRule:
		return &ruleDecl{}
	}
	return nil
}

func (d *workspaceDecl) resource() *jayv1.Resource {
	workspace := &jayv1.Workspace{Name: d.Name, Weight: d.Weight, DefaultClass: jayv1.Class(d.DefaultClass)}
	if d.Limits != (limitsDecl{}) {
		workspace.Limits = &jayv1.Limits{
			RequestsPerSecond: d.Limits.RequestsPerSecond, TokensPerSecond: d.Limits.TokensPerSecond,
			ConcurrentStreams: d.Limits.ConcurrentStreams,
		}
	}
	for _, key := range d.Keys {
		workspace.Keys = append(workspace.Keys, &jayv1.ApiKey{Id: key.ID, Salt: key.Salt, Hash: key.Hash})
	}
	return &jayv1.Resource{Kind: &jayv1.Resource_Workspace{Workspace: workspace}}
}

func (d *poolDecl) resource() *jayv1.Resource {
	pool := &jayv1.Pool{
		Name: d.Name, Model: d.Model, ActiveVersion: d.ActiveVersion, RecomputeWeight: d.RecomputeWeight,
		MinReady: d.MinReady, BytesPerToken: d.BytesPerToken, SharedLevel: d.SharedLevel,
		PrefillTokensPerSecond: d.PrefillTokensPerSecond, KvService: d.KvService,
		Concurrency: d.Concurrency, QueueLength: d.QueueLength,
	}
	for _, version := range d.Versions {
		pool.Versions = append(pool.Versions, &jayv1.ModelVersion{Name: version.Name, Digest: version.Digest})
	}
	for _, adapter := range d.Adapters {
		pool.Adapters = append(pool.Adapters, &jayv1.Adapter{Name: adapter.Name, Digest: adapter.Digest})
	}
	return &jayv1.Resource{Kind: &jayv1.Resource_Pool{Pool: pool}}
}

func (d *serviceDecl) resource() *jayv1.Resource {
	service := &jayv1.Service{Name: d.Name, KvStore: d.KvStore, Concurrency: d.Concurrency, QueueLength: d.QueueLength}
	for _, call := range d.NonRepeatable {
		service.NonRepeatable = append(service.NonRepeatable, &jayv1.NonRepeatableCall{Method: call.Method, PathPrefix: call.PathPrefix})
	}
	return &jayv1.Resource{Kind: &jayv1.Resource_Service{Service: service}}
}

func (d *backendServerDecl) resource() *jayv1.Resource {
	return &jayv1.Resource{Kind: &jayv1.Resource_BackendServer{BackendServer: &jayv1.BackendServer{
		Name: d.Name, Pool: d.Pool, Service: d.Service, AgentAddress: d.AgentAddress,
		DataCentre: d.DataCentre, Region: d.Region, Vendor: d.Vendor,
		ChecksFencing: d.ChecksFencing, Draining: d.Draining,
	}}}
}

func (d *ruleDecl) resource() *jayv1.Resource {
	return &jayv1.Resource{Kind: &jayv1.Resource_Rule{Rule: &jayv1.Rule{
		Name: d.Name, Priority: d.Priority, Workspaces: d.Workspaces, Models: d.Models, Services: d.Services,
		ClassLabel: d.ClassLabel, Deny: d.Deny, Class: jayv1.Class(d.Class),
		EnginePriority: d.EnginePriority, DataCentres: d.DataCentres, DeadlineMs: d.DeadlineMs,
	}}}
}
