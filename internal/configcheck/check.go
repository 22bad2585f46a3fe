package configcheck

import (
	"slices"
	"strings"
	"time"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

// RetryBudget bounds the retries of all entries together.
type RetryBudget struct {
	// Ratio is a share of the requests, Slack a number of retries.
	Ratio, Slack float64
}

// Options say what is known beside the configuration.
type Options struct {
	// Retry is the retry budget; nil: unknown.
	Retry *RetryBudget
	// Incomplete: a part of the configuration could not be decoded. Findings that would
	// follow from a missing part are left out.
	Incomplete bool
}

// Check returns the findings of a configuration in the order of its sections.
func Check(table *routetable.Table, options Options) []Finding {
	c := &checker{table: table, options: options}
	c.limits()
	c.routes()
	c.services()
	c.workspaces()
	return c.found
}

type checker struct {
	table   *routetable.Table
	options Options
	found   list
}

func (c *checker) limits() {
	l := c.table.Limits
	c.limit(FieldHeaderBytes, int64(l.HeaderBytes))
	c.limit(FieldBodyBytes, l.BodyBytes)
	c.limit(FieldHeaderTimeout, int64(l.HeaderTimeout))
	c.limit(FieldIdleTimeout, int64(l.IdleTimeout))
	if l.BodyBytes > 0 && int64(l.HeaderBytes) > l.BodyBytes {
		c.found.warn(Place{Section: SectionLimits, Field: FieldHeaderBytes}, "headers may have %d bytes, bodies only %d", l.HeaderBytes, l.BodyBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.found.warn(Place{Section: SectionLimits, Field: FieldHeaderTimeout}, "the headers of a request may take %v, but a connection without a request is closed after %v", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (c *checker) limit(field Field, value int64) {
	place := Place{Section: SectionLimits, Field: field}
	switch {
	case value < 0:
		c.found.err(place, "is negative or too large; it sets no limit")
	case value == 0:
		c.found.warn(place, "is 0 or missing; the configuration sets no limit")
	}
}

func (c *checker) routes() {
	type match struct{ host, prefix string }
	first := map[match]int{}
	names := map[string]int{}
	routes := c.table.DeclaredRoutes()
	for i := range routes {
		route := &routes[i]
		c.name(SectionRoute, i, route.Name, names)
		c.reachable(i, route)
		key := match{strings.ToLower(route.Host), route.Prefix}
		if earlier, ok := first[key]; ok {
			c.found.err(Place{Section: SectionRoute, Index: i}, "can never match: route %q (number %d) before it has the same host and prefix", routes[earlier].Name, earlier)
		} else {
			first[key] = i
		}
		c.targets(i, route)
		c.routeTimes(i, route)
		c.attempts(i, route)
		c.priority(SectionRoute, i, route.Priority)
	}
	// Every path of a request begins with "/", so such a route takes all of the traffic of
	// one with an empty prefix, whatever their order.
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if slash, ok := first[match{host, "/"}]; ok && routes[i].Prefix == "" {
			c.found.err(Place{Section: SectionRoute, Index: i, Field: FieldPrefix}, "can never match: route %q (number %d) with prefix / matches all paths of the host", routes[slash].Name, slash)
		}
	}
}

// name finds missing and repeated names of elements.
func (c *checker) name(section Section, index int, name string, seen map[string]int) {
	place := Place{Section: section, Index: index, Field: FieldName}
	if name == "" {
		c.found.warn(place, "is empty or missing")
		return
	}
	if earlier, ok := seen[name]; ok {
		c.found.err(place, "%q is already the name of %s number %d", name, section, earlier)
		return
	}
	seen[name] = index
}

// reachable finds routes whose host or prefix no request has.
func (c *checker) reachable(index int, route *routetable.Route) {
	at := func(field Field) Place { return Place{Section: SectionRoute, Index: index, Field: field} }
	switch {
	case route.Host == "":
		c.found.warn(at(FieldHost), "is empty: only requests without a host match")
	case strings.Contains(route.Host, ":"):
		c.found.err(at(FieldHost), "%q can never match: hosts are compared without their port", route.Host)
	}
	switch {
	case route.Prefix != "" && !strings.HasPrefix(route.Prefix, "/"):
		c.found.err(at(FieldPrefix), "%q can never match: paths begin with /", route.Prefix)
	case strings.ContainsAny(route.Prefix, "? "):
		c.found.err(at(FieldPrefix), "%q can never match: a path has no question mark or space", route.Prefix)
	}
}

func (c *checker) targets(index int, route *routetable.Route) {
	at := func(field Field, item int) Place {
		return Place{Section: SectionRoute, Index: index, Field: field, Item: item}
	}
	if len(route.Targets) == 0 {
		if !c.options.Incomplete {
			c.found.err(at(FieldTargets, 0), "has no target: its requests can't be served")
		}
		return
	}
	total := 0.0
	seen := map[string]bool{}
	for i, target := range route.Targets {
		total += max(target.Weight, 0)
		c.target(at(FieldTarget, i), at(FieldTargetWeight, i), target)
		if seen[target.Service] {
			c.found.warn(at(FieldTarget, i), "service %q is listed twice", target.Service)
		}
		seen[target.Service] = true
	}
	if total == 0 && !c.options.Incomplete {
		c.found.err(at(FieldTargets, 0), "no target has a weight above 0: its requests can't be served")
	}
}

func (c *checker) target(name, weight Place, target routetable.Target) {
	service := c.table.Services[target.Service]
	switch {
	case service == nil && !c.options.Incomplete:
		c.found.err(name, "service %q is not declared", target.Service)
	case service != nil && service.KVStore != nil:
		c.found.warn(name, "service %q is a KV cache store, which serves no requests of callers", target.Service)
	}
	switch {
	case target.Weight < 0:
		c.found.err(weight, "weight %g of service %q is negative", target.Weight, target.Service)
	case target.Weight == 0:
		c.found.warn(weight, "weight of service %q is 0 or missing: it gets no requests", target.Service)
	}
}

func (c *checker) routeTimes(index int, route *routetable.Route) {
	at := func(field Field) Place { return Place{Section: SectionRoute, Index: index, Field: field} }
	type named struct {
		field Field
		time  time.Duration
	}
	for _, value := range []named{{FieldTimeout, route.Timeout}, {FieldLatencyTarget, route.LatencyTarget}, {FieldGapTarget, route.GapTarget}} {
		if value.time < 0 {
			c.found.err(at(value.field), "is negative or too large")
		}
	}
	if route.Timeout == 0 {
		c.found.warn(at(FieldTimeout), "is 0 or missing: the route sets no limit")
	}
	if route.Timeout <= 0 {
		return
	}
	if route.LatencyTarget > route.Timeout {
		c.found.warn(at(FieldLatencyTarget), "%v is above the timeout of %v", route.LatencyTarget, route.Timeout)
	}
	if route.GapTarget > route.Timeout {
		c.found.warn(at(FieldGapTarget), "%v is above the timeout of %v", route.GapTarget, route.Timeout)
	}
}

func (c *checker) attempts(index int, route *routetable.Route) {
	place := Place{Section: SectionRoute, Index: index, Field: FieldMaxAttempts}
	retry := c.options.Retry
	switch {
	case route.MaxAttempts <= 1:
	case !route.Repeatable():
		c.found.warn(place, "%d attempts, but a request of this route may run only once", route.MaxAttempts)
	case retry != nil && retry.Ratio <= 0 && retry.Slack <= 0:
		c.found.warn(place, "%d attempts, but the settings give no retry budget", route.MaxAttempts)
	}
	if route.Resumable && route.Kind != routetable.Stream {
		c.found.warn(Place{Section: SectionRoute, Index: index, Field: FieldResumable}, "only streams can be resumed")
	}
	if route.GapTarget > 0 && route.Kind != routetable.Stream {
		c.found.warn(Place{Section: SectionRoute, Index: index, Field: FieldGapTarget}, "only streams have gaps between events")
	}
}

func (c *checker) priority(section Section, index, priority int) {
	if priority < 0 || priority >= routetable.PriorityLevels {
		c.found.warn(Place{Section: section, Index: index, Field: FieldPriority}, "%d is not from 0 to %d", priority, routetable.PriorityLevels-1)
	}
}

// usedServices returns the services that a route sends requests to.
func (c *checker) usedServices() map[string]bool {
	used := map[string]bool{}
	for _, route := range c.table.DeclaredRoutes() {
		for _, target := range route.Targets {
			if target.Weight > 0 {
				used[target.Service] = true
			}
		}
	}
	return used
}

func hasEngine(s routetable.Service) bool { return s.Engine != nil }

// anyEngineUsed reports whether a route sends requests to model engines.
func (c *checker) anyEngineUsed(used map[string]bool) bool {
	return slices.ContainsFunc(c.table.DeclaredServices(), func(s routetable.Service) bool { return hasEngine(s) && used[s.Name] })
}
