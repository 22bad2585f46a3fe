package catalog

import (
	"slices"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

func (c *checker) rule(path string, r *jayv1.Rule) {
	for _, workspace := range r.GetWorkspaces() {
		if c.byName[KindWorkspace+"/"+workspace] == nil {
			c.found.Add(path+".workspaces", "workspace %q is not declared", workspace)
		}
	}
	for _, service := range r.GetServices() {
		if c.byName[KindService+"/"+service] == nil {
			c.found.Add(path+".services", "service %q is not declared", service)
		}
	}
	pools := c.poolsOfModels(path, r)
	if r.GetEnginePriority() > maxEnginePriority {
		c.found.Add(path+".engine_priority", "engine_priority %d is above the maximum of %d", r.GetEnginePriority(), maxEnginePriority)
	}
	c.ruleEffects(path, r)
	c.ruleDataCentres(path, r, pools)
}

// poolsOfModels returns the pools, as pool/name, that serve the rule's models.
func (c *checker) poolsOfModels(path string, r *jayv1.Rule) []string {
	var pools []string
	for _, model := range r.GetModels() {
		pool, served := c.poolOf[model]
		if !served {
			c.found.Add(path+".models", "model %q is served by no pool", model)
			continue
		}
		pools = append(pools, pool)
	}
	return pools
}

func (c *checker) ruleEffects(path string, r *jayv1.Rule) {
	hasEffect := r.GetClass() != jayv1.Class_CLASS_UNSPECIFIED || r.GetEnginePriority() > 0 ||
		len(r.GetDataCentres()) > 0 || r.GetDeadlineMs() > 0
	if r.GetDeny() && hasEffect {
		c.found.Add(path+".deny", "a rule with deny can't set class, engine_priority, data_centres or deadline_ms")
	}
	if !r.GetDeny() && !hasEffect {
		c.found.Add(path, "the rule has no effect: set deny, class, engine_priority, data_centres or deadline_ms")
	}
}

// ruleDataCentres finds data centres without backend servers, and rules whose
// data centres have no backend server of one of their models or services.
func (c *checker) ruleDataCentres(path string, r *jayv1.Rule, pools []string) {
	if len(r.GetDataCentres()) == 0 {
		return
	}
	for _, centre := range r.GetDataCentres() {
		if _, known := c.regionOf[centre]; !known && !c.hasDataCentre(centre) {
			c.found.Add(path+".data_centres", "no backend server is in data centre %q", centre)
		}
	}
	targets := pools
	for _, service := range r.GetServices() {
		targets = append(targets, KindService+"/"+service)
	}
	for _, target := range targets {
		reachable := slices.ContainsFunc(r.GetDataCentres(), func(centre string) bool { return c.dataCentresOf[target][centre] })
		if !reachable && len(c.dataCentresOf[target]) > 0 {
			c.found.Add(path+".data_centres", "%s has no backend server in any of the data centres %v", target, r.GetDataCentres())
		}
	}
}

func (c *checker) hasDataCentre(centre string) bool {
	for _, centres := range c.dataCentresOf {
		if centres[centre] {
			return true
		}
	}
	return false
}

// shadowedRules finds rules that can never match because a single earlier rule
// matches all of their traffic. Those that only several earlier rules together
// shadow are warnings (jointlyShadowedRules): entries accept them.
func (c *checker) shadowedRules() {
	for i, later := range c.rules {
		for _, earlier := range c.rules[:i] {
			if covers(earlier, later) {
				c.found.Add(KindRule+"/"+later.GetName(), "can never match: rule %q comes before it and matches all of its traffic", earlier.GetName())
				break
			}
		}
	}
}

// covers reports whether all traffic that matches b also matches a.
func covers(a, b *jayv1.Rule) bool {
	if a.GetClassLabel() != "" && a.GetClassLabel() != b.GetClassLabel() {
		return false
	}
	if !listCovers(a.GetWorkspaces(), b.GetWorkspaces()) {
		return false
	}
	aNamesTargets := len(a.GetModels())+len(a.GetServices()) > 0
	bNamesTargets := len(b.GetModels())+len(b.GetServices()) > 0
	if !aNamesTargets {
		return true
	}
	return bNamesTargets && isSubset(b.GetModels(), a.GetModels()) && isSubset(b.GetServices(), a.GetServices())
}

// listCovers reports whether list a includes all of list b; an empty list means
// all values.
func listCovers(a, b []string) bool {
	if len(a) == 0 {
		return true
	}
	return len(b) > 0 && isSubset(b, a)
}

func isSubset(inner, outer []string) bool {
	for _, value := range inner {
		if !slices.Contains(outer, value) {
			return false
		}
	}
	return true
}
