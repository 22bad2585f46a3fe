package cluster

import (
	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

const operatorName = "developer"

// Key returns the API key of a workspace of the cluster.
func Key(workspace string) string { return "jay_" + workspace + "_" + secretOf(workspace) }

// secretOf is a fixed text: the cluster runs on loopback only, so the key need not
// be secret.
func secretOf(workspace string) string { return "development-" + workspace }

// Declaration returns the resources of the cluster: its workspaces, the pool of its
// engines, the service, the class rules and the backend servers.
func (c *Cluster) Declaration() []*jayv1.Resource {
	o := c.Options
	var all []*jayv1.Resource
	for _, name := range o.Workspaces {
		salt := []byte("salt-" + name)
		all = append(all, &jayv1.Resource{Kind: &jayv1.Resource_Workspace{Workspace: &jayv1.Workspace{
			Name: name, Keys: []*jayv1.ApiKey{{Id: name, Salt: salt, Hash: catalog.HashSecret(salt, secretOf(name))}}, Weight: 1,
			DefaultClass: jayv1.Class_CLASS_STANDARD,
		}}})
	}
	all = append(all, &jayv1.Resource{Kind: &jayv1.Resource_Pool{Pool: &jayv1.Pool{
		Name: Pool, Model: Model, ActiveVersion: version,
		Versions:        []*jayv1.ModelVersion{{Name: version, Digest: Digest}},
		RecomputeWeight: o.RecomputeWeight, BytesPerToken: 4, SharedLevel: 2,
		PrefillTokensPerSecond: o.Engine.PrefillTokensPerSecond,
		Concurrency:            uint32(o.Concurrency), QueueLength: uint32(o.QueueLength),
	}}})
	if o.Services > 0 {
		all = append(all, &jayv1.Resource{Kind: &jayv1.Resource_Service{Service: &jayv1.Service{
			Name: Service, NonRepeatable: []*jayv1.NonRepeatableCall{{Method: "POST", PathPrefix: "/confirm"}},
		}}})
	}
	all = append(all, c.classRules()...)
	return append(all, c.backendServers()...)
}

// classRules assign the class that callers name in the class header.
func (c *Cluster) classRules() []*jayv1.Resource {
	var all []*jayv1.Resource
	for label, class := range map[string]jayv1.Class{
		"interactive": jayv1.Class_CLASS_INTERACTIVE, "standard": jayv1.Class_CLASS_STANDARD, "batch": jayv1.Class_CLASS_BATCH,
	} {
		all = append(all, &jayv1.Resource{Kind: &jayv1.Resource_Rule{Rule: &jayv1.Rule{
			Name: label, Models: []string{Model}, ClassLabel: label, Class: class, EnginePriority: enginePriority[class],
		}}})
	}
	return all
}

var enginePriority = map[jayv1.Class]uint32{
	jayv1.Class_CLASS_INTERACTIVE: 80, jayv1.Class_CLASS_STANDARD: 50, jayv1.Class_CLASS_BATCH: 20,
}

func (c *Cluster) backendServers() []*jayv1.Resource {
	var all []*jayv1.Resource
	for i, one := range c.Agents {
		server := &jayv1.BackendServer{
			Name: EngineName(i), Pool: Pool, Vendor: c.vendor(i), AgentAddress: one.Address(),
			DataCentre: c.dataCentre(i), Region: c.Options.Region,
		}
		if app := i - len(c.Engines); app >= 0 {
			server.Name, server.Pool, server.Service, server.Vendor = ServiceName(app), "", Service, "plain"
			server.DataCentre = c.dataCentre(app)
		}
		all = append(all, &jayv1.Resource{Kind: &jayv1.Resource_BackendServer{BackendServer: server}})
	}
	return all
}
