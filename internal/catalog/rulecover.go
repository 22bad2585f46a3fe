package catalog

import (
	"math/bits"
	"strings"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/findings"
)

// maxTrafficParts bounds the work for one rule. Above it, the rule is taken for one that
// can match.
const maxTrafficParts = 4096

// bitSet is a set of numbers from 0 on. All sets of one dimension have the same length.
type bitSet []uint64

func newBitSet(size int) bitSet { return make(bitSet, (size+63)/64) }

func (s bitSet) add(n int) { s[n/64] |= 1 << (n % 64) }

func (s bitSet) empty() bool {
	for _, word := range s {
		if bits.OnesCount64(word) > 0 {
			return false
		}
	}
	return true
}

func (s bitSet) and(other bitSet) bitSet {
	result := make(bitSet, len(s))
	for i := range s {
		result[i] = s[i] & other[i]
	}
	return result
}

func (s bitSet) minus(other bitSet) bitSet {
	result := make(bitSet, len(s))
	for i := range s {
		result[i] = s[i] &^ other[i]
	}
	return result
}

// The dimensions of traffic that rules match on.
const (
	byWorkspace = iota
	byTarget
	byLabel
	dimensions
)

// trafficPart is all traffic with a value of each of the sets.
type trafficPart [dimensions]bitSet

// minus returns the traffic of p that is not in other, as disjoint parts. overlap is false
// when the two have no traffic in common.
func (p trafficPart) minus(other trafficPart) (rest []trafficPart, overlap bool) {
	common := trafficPart{}
	for d := range p {
		if common[d] = p[d].and(other[d]); common[d].empty() {
			return []trafficPart{p}, false
		}
	}
	// What is left of each dimension, within what both have in common of those before it.
	within := p
	for d := range p {
		outside := within
		if outside[d] = p[d].minus(other[d]); !outside[d].empty() {
			rest = append(rest, outside)
		}
		within[d] = common[d]
	}
	return rest, true
}

// trafficValues numbers the values that requests can have: declared workspaces, declared
// models and services, and the class labels that rules name, with one number for all others.
type trafficValues struct {
	numbers [dimensions]map[string]int
}

const (
	targetModel   = "model/"
	targetService = "service/"
	// otherLabels stands for all labels that no rule names.
	otherLabels = ""
)

func valuesOf(table *Table) *trafficValues {
	v := &trafficValues{}
	for d := range v.numbers {
		v.numbers[d] = map[string]int{}
	}
	for _, name := range table.names() {
		switch kind := table.resources[name].GetKind().(type) {
		case *jayv1.Resource_Workspace:
			v.add(byWorkspace, kind.Workspace.GetName())
		case *jayv1.Resource_Pool:
			v.add(byTarget, targetModel+kind.Pool.GetModel())
		case *jayv1.Resource_Service:
			v.add(byTarget, targetService+kind.Service.GetName())
		}
	}
	v.add(byLabel, otherLabels)
	for _, rule := range table.rules {
		v.add(byLabel, rule.GetClassLabel())
	}
	return v
}

func (v *trafficValues) add(dimension int, value string) {
	if _, known := v.numbers[dimension][value]; !known {
		v.numbers[dimension][value] = len(v.numbers[dimension])
	}
}

// set returns the set of the values that are known; of all if there are none.
func (v *trafficValues) set(dimension int, values []string) bitSet {
	set := newBitSet(len(v.numbers[dimension]))
	for _, value := range values {
		if n, known := v.numbers[dimension][value]; known {
			set.add(n)
		}
	}
	if len(values) == 0 {
		for _, n := range v.numbers[dimension] {
			set.add(n)
		}
	}
	return set
}

// trafficOf returns the traffic that a rule matches.
func (v *trafficValues) trafficOf(rule *jayv1.Rule) trafficPart {
	var targets, labels []string
	for _, model := range rule.GetModels() {
		targets = append(targets, targetModel+model)
	}
	for _, service := range rule.GetServices() {
		targets = append(targets, targetService+service)
	}
	if rule.GetClassLabel() != "" {
		labels = []string{rule.GetClassLabel()}
	}
	return trafficPart{byWorkspace: v.set(byWorkspace, rule.GetWorkspaces()), byTarget: v.set(byTarget, targets), byLabel: v.set(byLabel, labels)}
}

// jointlyShadowedRules finds rules that can never match because several earlier rules
// together match all of their traffic, or one of them does because it names all declared
// values. Those that one earlier rule shadows whatever is declared are errors (shadowedRules).
func jointlyShadowedRules(table *Table, found *findings.List) {
	values := valuesOf(table)
	var parts []trafficPart
	for i, rule := range table.rules {
		part := values.trafficOf(rule)
		if names, covered := coveredBy(part, parts, table.rules); covered && !isShadowed(rule, table.rules[:i]) {
			found.Warn(KindRule+"/"+rule.GetName(), "can never match: before it, %s match all of its traffic of the declared workspaces, models and services", strings.Join(names, ", "))
		}
		parts = append(parts, part)
	}
}

// coveredBy reports whether the first parts together include all of a part, and the rules
// of those that have traffic in common with it. A part without traffic is not covered.
func coveredBy(part trafficPart, earlier []trafficPart, rules []*jayv1.Rule) (names []string, covered bool) {
	for _, set := range part {
		if set.empty() {
			return nil, false
		}
	}
	rest := []trafficPart{part}
	for i, other := range earlier {
		var next []trafficPart
		common := false
		for _, p := range rest {
			left, overlap := p.minus(other)
			next = append(next, left...)
			common = common || overlap
		}
		if common {
			names = append(names, KindRule+"/"+rules[i].GetName())
		}
		if rest = next; len(rest) == 0 || len(rest) > maxTrafficParts {
			break
		}
	}
	return names, len(rest) == 0
}

func isShadowed(rule *jayv1.Rule, earlier []*jayv1.Rule) bool {
	for _, other := range earlier {
		if covers(other, rule) {
			return true
		}
	}
	return false
}
