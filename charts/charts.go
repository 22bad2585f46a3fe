// Package charts embeds the state charts of the router.
package charts

import (
	"embed"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/statechart"
)

//go:embed *.toml
var files embed.FS

// All loads and validates the embedded charts and returns them by name. Processes
// call it at startup, so that they do not start with an invalid chart.
var All = sync.OnceValues(loadAll)

func loadAll() (map[string]*statechart.Chart, error) {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil, eris.Wrap(err, "read embedded charts")
	}
	loaded := map[string]*statechart.Chart{}
	for _, entry := range entries {
		text, err := files.ReadFile(entry.Name())
		if err != nil {
			return nil, eris.Wrapf(err, "read chart %s", entry.Name())
		}
		chart, err := statechart.Load(entry.Name(), text)
		if err != nil {
			return nil, eris.Wrapf(err, "load chart %s", entry.Name())
		}
		loaded[chart.Name] = chart
	}
	return loaded, nil
}

// Must returns the chart with the name. It panics if the chart does not exist or any
// chart is invalid; charts are embedded, so this is a programming error.
func Must(name string) *statechart.Chart {
	loaded, err := All()
	if err != nil {
		panic(err)
	}
	chart, ok := loaded[name]
	if !ok {
		panic("no embedded chart named " + name)
	}
	return chart
}
