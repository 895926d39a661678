// Package srcapacity measures the costs of an instance in bytes and time at several
// sizes, and fits the lines that docs/CAPACITY.md extrapolates.
//
// # Usage
//
//	for _, c := range srcapacity.All() {
//		fmt.Println(c.Measure().Row())
//	}
//
// Message sizes are exact and reproducible. Times and memory depend on the machine
// and are not checked in CI.
package srcapacity

import (
	"fmt"
	"strings"
)

// Point is one measurement: the cost at one size.
type Point struct {
	Size  float64
	Value float64
}

// Series is a cost measured at several sizes.
type Series struct {
	Name string
	// Per is the unit of the sizes, Unit that of the costs.
	Per    string
	Unit   string
	Points []Point
}

// Fit is the regression line of a series.
type Fit struct {
	Slope     float64
	Intercept float64
	// R2 is the coefficient of determination: the share of the variance that the line
	// explains.
	R2 float64
}

// Fit returns the least-squares line of the series.
func (s Series) Fit() Fit {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy, syy float64
	for _, p := range s.Points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		syy += p.Value * p.Value
	}
	dx := n*sxx - sx*sx
	dy := n*syy - sy*sy
	cov := n*sxy - sx*sy
	if dx == 0 {
		return Fit{Intercept: sy / n, R2: 1}
	}
	f := Fit{Slope: cov / dx}
	f.Intercept = (sy - f.Slope*sx) / n
	f.R2 = 1
	if dy > 0 {
		f.R2 = cov * cov / (dx * dy)
	}
	return f
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Row returns the series and its line as a row of a Markdown table.
func (s Series) Row() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%g: %.4g", p.Size, p.Value))
	}
	f := s.Fit()
	return fmt.Sprintf("| %s | %s | %s | %.4g %s per %s | %.4g | %.3f |",
		s.Name, s.Unit, strings.Join(points, ", "), f.Slope, s.Unit, s.Per, f.Intercept, f.R2)
}

// Header is the header of a Markdown table of rows.
const Header = `| cost | unit | size: measured | slope | at size 0 | R² |
|---|---|---|---|---|---|`
