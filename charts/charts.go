// Package charts embeds the state charts of the system's lifecycles.
package charts

import (
	"embed"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/statechart"
)

//go:embed *.toml
var files embed.FS

// All loads and checks every chart, by file name without ending. A process
// calls it at start, so that a faulty chart stops it before it serves.
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
			return nil, eris.Wrapf(err, "chart %s", entry.Name())
		}
		loaded[chart.Name] = chart
	}
	return loaded, nil
}

// Must returns the chart with the name and panics when there is none: charts
// are embedded, so a missing one is a fault of the build, seen by every test.
func Must(name string) *statechart.Chart {
	loaded, err := All()
	if err != nil {
		panic(err)
	}
	chart, ok := loaded[name]
	if !ok {
		panic("no chart " + name)
	}
	return chart
}
