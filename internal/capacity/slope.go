// Package capacity extrapolates the resources that each role needs at the size
// forecast for two years, from the slopes that tools/slopes determines.
package capacity

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
)

// Point is one data point: Y at a count of X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a straight line fitted through at least MinPoints points, whose counts
// double from one to the next.
type Slope struct {
	Name string `json:"name"`
	// XUnit and YUnit are the units of the points, e.g. "blocks" and "bytes".
	XUnit string `json:"x_unit"`
	YUnit string `json:"y_unit"`
	// Command reproduces the points.
	Command string  `json:"command"`
	Points  []Point `json:"points"`
	// PerUnit is the slope, Fixed the value at X = 0, R2 the coefficient of determination.
	PerUnit float64 `json:"per_unit"`
	Fixed   float64 `json:"fixed"`
	R2      float64 `json:"r2"`
}

// MinPoints is the number of points that a slope needs.
const MinPoints = 3

// Fit fits a straight line through the points by linear regression. It fails with
// fewer than MinPoints points.
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

// Set contains slopes by name.
type Set map[string]Slope

// Load reads a file written by Save.
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

// Save writes slopes to a file as JSON.
func Save(file string, slopes []Slope) error {
	text, err := json.MarshalIndent(slopes, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode slopes")
	}
	return eris.Wrap(os.WriteFile(file, append(text, '\n'), 0o644), "write slopes")
}
