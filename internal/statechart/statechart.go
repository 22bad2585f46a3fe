// Package statechart interprets the state charts that are declared in TOML files
// under charts/. A chart is validated when it is loaded. Callers fire events and
// read states; the transitions are defined only in the charts.
package statechart

import (
	"context"
	"sort"
	"sync"

	"github.com/pelletier/go-toml/v2"
	"github.com/qmuntal/stateless"
	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/findings"
	"github.com/jayproxy/jayproxy/internal/settings"
)

// Chart is a validated state chart. It is safe for concurrent use.
type Chart struct {
	Name    string
	initial string
	states  map[string]stateDecl
	machine *stateless.StateMachine
	mu      sync.Mutex
	current string
}

type chartDecl struct {
	Name    string               `toml:"name"`
	Doc     string               `toml:"doc"`
	Initial string               `toml:"initial"`
	Events  []string             `toml:"events"`
	States  map[string]stateDecl `toml:"states"`
}

type stateDecl struct {
	Doc   string            `toml:"doc"`
	Final bool              `toml:"final"`
	On    map[string]string `toml:"on"`
	// Ignore lists events that do not change the state.
	Ignore []string `toml:"ignore"`
}

// Load parses and validates a chart. The error is a *findings.Error if a state or
// event is not declared, a state is unreachable, a state that is not final does not
// handle or ignore each event, or a final state handles events. file is used in
// error messages only.
func Load(file string, text []byte) (*Chart, error) {
	var decl chartDecl
	if err := toml.Unmarshal(text, &decl); err != nil {
		return nil, eris.Wrapf(err, "parse chart %s", file)
	}
	if err := check(file, settings.Lines(text), decl).Err(); err != nil {
		return nil, err
	}
	chart := &Chart{Name: decl.Name, initial: decl.Initial, states: decl.States}
	chart.build(decl)
	return chart, nil
}

// build configures the state machine. One machine with external state serves all
// instances of the chart.
func (c *Chart) build(decl chartDecl) {
	read := func(context.Context) (stateless.State, error) { return c.current, nil }
	write := func(_ context.Context, s stateless.State) error {
		c.current = s.(string)
		return nil
	}
	c.machine = stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	for name, state := range decl.States {
		config := c.machine.Configure(name)
		for event, to := range state.On {
			if to == name {
				config.PermitReentry(event)
				continue
			}
			config.Permit(event, to)
		}
		for _, event := range state.Ignore {
			config.Ignore(event)
		}
	}
}

// Initial returns the initial state.
func (c *Chart) Initial() string { return c.initial }

// Final reports whether the state is final.
func (c *Chart) Final(state string) bool { return c.states[state].Final }

// States returns the names of all states, sorted.
func (c *Chart) States() []string {
	names := make([]string, 0, len(c.states))
	for name := range c.states {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Next returns the state that follows when the event occurs in the state, or an
// error if the chart neither handles nor ignores the event there.
func (c *Chart) Next(state, event string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = state
	if err := c.machine.Fire(event); err != nil {
		return state, eris.Wrapf(err, "chart %s: event %q in state %q", c.Name, event, state)
	}
	return c.current, nil
}

func check(file string, lines map[string]int, decl chartDecl) findings.List {
	var found findings.List
	if _, ok := decl.States[decl.Initial]; !ok {
		found.AddAt(file, lines["initial"], "initial", "state %q is not declared", decl.Initial)
	}
	events := map[string]bool{}
	for _, event := range decl.Events {
		events[event] = true
	}
	for name, state := range decl.States {
		checkState(&found, file, lines, decl, events, name, state)
	}
	for name := range decl.States {
		if !reachable(decl, name) {
			found.AddAt(file, lines["states."+name], "states."+name, "no event leads to this state from the initial state")
		}
	}
	found.Sort()
	return found
}

func checkState(found *findings.List, file string, lines map[string]int, decl chartDecl, events map[string]bool, name string, state stateDecl) {
	path := "states." + name
	line := lines[path]
	handled := map[string]bool{}
	for event, to := range state.On {
		handled[event] = true
		if !events[event] {
			found.AddAt(file, line, path, "event %q is not declared", event)
		}
		if _, ok := decl.States[to]; !ok {
			found.AddAt(file, line, path, "event %q leads to state %q, which is not declared", event, to)
		}
	}
	for _, event := range state.Ignore {
		if handled[event] {
			found.AddAt(file, line, path, "event %q is both handled and ignored", event)
		}
		handled[event] = true
	}
	if state.Final && len(state.On) > 0 {
		found.AddAt(file, line, path, "a final state must not handle events")
	}
	if state.Final {
		return
	}
	for _, event := range decl.Events {
		if !handled[event] {
			found.AddAt(file, line, path, "event %q is neither handled nor ignored", event)
		}
	}
}

func reachable(decl chartDecl, target string) bool {
	seen := map[string]bool{decl.Initial: true}
	queue := []string{decl.Initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		if state == target {
			return true
		}
		for _, to := range decl.States[state].On {
			if !seen[to] {
				seen[to] = true
				queue = append(queue, to)
			}
		}
	}
	return false
}
