package configcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

// Op is what happens to an element between two configurations.
type Op string

// The operations.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// Change is one difference between two configurations. Old and New are values of the
// field as text. Keys are given by their short hashes.
type Change struct {
	Op      Op
	Section Section
	// Name of the element; empty for the sections without elements.
	Name string
	// Field that is changed; empty when the element is added or removed.
	Field    Field
	Old, New string
}

// Values of FieldKind and FieldUnit in changes, which formats have other names for.
const (
	ValueOnce       = "once"
	ValueIdempotent = "idempotent"
	ValueStream     = "stream"
	ValueRequests   = "requests"
	ValueTokens     = "tokens"
)

// attribute is a field of an element with its value as text.
type attribute struct {
	field Field
	value string
}

// element is what is compared: all fields of a route, service or workspace.
type element struct {
	name       string
	attributes []attribute
}

// Compare returns the differences from one configuration to another: by section, in the
// order in which the new one declares elements, then the removed ones.
func Compare(before, after *routetable.Table) []Change {
	var changes []Change
	changes = append(changes, compareAttributes(SectionConfig, "", versionOf(before), versionOf(after))...)
	changes = append(changes, compareAttributes(SectionLimits, "", limitsOf(before.Limits), limitsOf(after.Limits))...)
	changes = append(changes, compareElements(SectionRoute, routeElements(before), routeElements(after))...)
	changes = append(changes, compareElements(SectionService, serviceElements(before), serviceElements(after))...)
	return append(changes, compareElements(SectionWorkspace, workspaceElements(before), workspaceElements(after))...)
}

// CheckVersion finds a version that is not above that of the configuration in force,
// though there are other changes: no process would put it in force.
func CheckVersion(inForce, next *routetable.Table, changes []Change) []Finding {
	changed := slices.ContainsFunc(changes, func(c Change) bool { return c.Field != FieldVersion })
	var found list
	if next.Version < inForce.Version || changed && next.Version == inForce.Version {
		found.err(Place{Section: SectionConfig, Field: FieldVersion}, "%d is not above %d, the version compared with: no process would put the configuration in force", next.Version, inForce.Version)
	}
	return found
}

func compareElements(section Section, before, after []element) []Change {
	var changes []Change
	old := map[string]element{}
	for _, e := range before {
		old[e.name] = e
	}
	kept := map[string]bool{}
	for _, e := range after {
		previous, ok := old[e.name]
		if !ok {
			changes = append(changes, Change{Op: OpAdded, Section: section, Name: e.name})
			continue
		}
		kept[e.name] = true
		changes = append(changes, compareAttributes(section, e.name, previous.attributes, e.attributes)...)
	}
	for _, e := range before {
		if !kept[e.name] {
			changes = append(changes, Change{Op: OpRemoved, Section: section, Name: e.name})
		}
	}
	return changes
}

// compareAttributes compares two lists of attributes with the same fields.
func compareAttributes(section Section, name string, before, after []attribute) []Change {
	var changes []Change
	for i, a := range after {
		if before[i].value != a.value {
			changes = append(changes, Change{Op: OpChanged, Section: section, Name: name, Field: a.field, Old: before[i].value, New: a.value})
		}
	}
	return changes
}

// uniqueNames numbers the elements that have the same name, so that each is compared.
func uniqueNames(elements []element) []element {
	count := map[string]int{}
	for i := range elements {
		name := elements[i].name
		count[name]++
		if count[name] > 1 {
			elements[i].name = fmt.Sprintf("%s (%d)", name, count[name])
		}
	}
	return elements
}

func routeElements(t *routetable.Table) []element {
	var elements []element
	for _, r := range t.DeclaredRoutes() {
		name := r.Name
		if name == "" {
			name = r.Host + r.Prefix
		}
		var targets []string
		for _, target := range r.Targets {
			targets = append(targets, target.Service+":"+number(target.Weight))
		}
		elements = append(elements, element{name: name, attributes: []attribute{
			{FieldHost, r.Host}, {FieldPrefix, r.Prefix}, {FieldKind, kindName(r.Kind)},
			{FieldTimeout, r.Timeout.String()}, {FieldLatencyTarget, r.LatencyTarget.String()}, {FieldGapTarget, r.GapTarget.String()},
			{FieldPriority, strconv.Itoa(r.Priority)}, {FieldTargets, strings.Join(targets, ", ")}, {FieldMaxAttempts, strconv.Itoa(r.MaxAttempts)},
			{FieldPublic, strconv.FormatBool(r.Public)}, {FieldSticky, strconv.FormatBool(r.Sticky)}, {FieldResumable, strconv.FormatBool(r.Resumable)},
		}})
	}
	return uniqueNames(elements)
}

func kindName(kind routetable.Kind) string {
	switch kind {
	case routetable.Idempotent:
		return ValueIdempotent
	case routetable.Stream:
		return ValueStream
	}
	return ValueOnce
}

func serviceElements(t *routetable.Table) []element {
	var elements []element
	for _, s := range t.DeclaredServices() {
		engine, store := s.Engine, s.KVStore
		if engine == nil {
			engine = &routetable.Engine{}
		}
		if store == nil {
			store = &routetable.KVStore{Address: "none"}
		}
		elements = append(elements, element{name: s.Name, attributes: []attribute{
			{FieldHealthPath, s.HealthPath}, {FieldMaxConns, strconv.Itoa(s.MaxConns)}, {FieldEngine, strconv.FormatBool(s.Engine != nil)},
			{FieldSlots, strconv.Itoa(engine.Slots)}, {FieldEngineTokens, strconv.Itoa(engine.KVCapacityTokens)},
			{FieldTokenBytes, strconv.Itoa(engine.TokenBytes)}, {FieldMaxEventCalls, strconv.Itoa(engine.MaxEventCalls)},
			{FieldModels, strings.Join(sorted(engine.Models), ", ")},
			{FieldStoreAddress, store.Address}, {FieldDataCentre, store.DataCentre}, {FieldStoreTokens, strconv.Itoa(store.CapacityTokens)},
			{FieldLinkRate, number(store.LinkBytes) + " bytes/s"},
		}})
	}
	return uniqueNames(elements)
}

func workspaceElements(t *routetable.Table) []element {
	var elements []element
	for _, w := range t.Workspaces {
		var keys []string
		for _, key := range w.Keys {
			keys = append(keys, HashKey(key))
		}
		priority := "of the route"
		if w.HasPriority {
			priority = strconv.Itoa(w.Priority)
		}
		unit := ValueRequests
		if w.Usage.CountsTokens {
			unit = ValueTokens
		}
		elements = append(elements, element{name: w.Name, attributes: []attribute{
			{FieldKeys, strings.Join(sorted(keys), ", ")}, {FieldPriority, priority}, {FieldIsolated, strconv.FormatBool(w.Isolated)},
			{FieldRate, number(w.Usage.Cap.Rate)}, {FieldBurst, number(w.Usage.Cap.Burst)}, {FieldUnit, unit}, {FieldDefaultTokens, number(w.Usage.DefaultTokens)},
		}})
	}
	return uniqueNames(elements)
}

func versionOf(t *routetable.Table) []attribute {
	return []attribute{{FieldVersion, strconv.FormatUint(t.Version, 10)}}
}

func limitsOf(l routetable.Limits) []attribute {
	return []attribute{
		{FieldHeaderBytes, strconv.Itoa(l.HeaderBytes)}, {FieldBodyBytes, strconv.FormatInt(l.BodyBytes, 10)},
		{FieldHeaderTimeout, l.HeaderTimeout.String()}, {FieldIdleTimeout, l.IdleTimeout.String()},
	}
}

func number(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

func sorted(values []string) []string {
	values = slices.Clone(values)
	slices.Sort(values)
	return values
}
