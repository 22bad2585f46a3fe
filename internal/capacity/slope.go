// Package capacity works out what each role needs at the size of two years
// from slopes that were measured here. It measures nothing itself.
package capacity

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: Y at a count of X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a straight line through at least three measurements, the count
// doubled at each.
type Slope struct {
	Name string `json:"name"`
	// XUnit and YUnit, e.g. "blocks" and "bytes".
	XUnit   string  `json:"x_unit"`
	YUnit   string  `json:"y_unit"`
	Command string  `json:"command"`
	Points  []Point `json:"points"`
	// PerUnit is the slope, Fixed the value at X = 0, R2 the fit.
	PerUnit float64 `json:"per_unit"`
	Fixed   float64 `json:"fixed"`
	R2      float64 `json:"r2"`
}

// MinPoints that a slope needs.
const MinPoints = 3

// Fit puts a straight line through the points.
func Fit(slope Slope) (Slope, error) {
	if len(slope.Points) < MinPoints {
		return slope, eris.Errorf("slope %s has %d points, needs %d", slope.Name, len(slope.Points), MinPoints)
	}
	xs := make([]float64, len(slope.Points))
	ys := make([]float64, len(slope.Points))
	for i, p := range slope.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	slope.Fixed, slope.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	slope.R2 = stat.RSquared(xs, ys, nil, slope.Fixed, slope.PerUnit)
	return slope, nil
}

// Set is all slopes of one run of `make slopes`, by name.
type Set map[string]Slope

// Load reads what Save wrote.
func Load(file string) (Set, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read slopes")
	}
	var list []Slope
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, eris.Wrapf(err, "parse %s", file)
	}
	set := Set{}
	for _, slope := range list {
		set[slope.Name] = slope
	}
	return set, nil
}

// Save writes slopes as JSON.
func Save(file string, slopes []Slope) error {
	text, err := json.MarshalIndent(slopes, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode slopes")
	}
	return eris.Wrap(os.WriteFile(file, append(text, '\n'), 0o644), "write slopes")
}
