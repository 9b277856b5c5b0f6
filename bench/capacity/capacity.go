// Package capacity measures what one node, endpoint, call, write or note costs each role
// in processor time, bytes and memory, and fits a line through at least three sizes.
// docs/CAPACITY.md extrapolates these lines to the size that decides the design.
package capacity

import (
	"fmt"
	"io"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line fitted to measured points. R2 is the coefficient of
// determination of the fit.
type Line struct{ Offset, Slope, R2 float64 }

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Offset + l.Slope*x }

// Fit fits a line by least squares. It returns an error for fewer than three different
// sizes: a line fits any two exactly, so R2 would say nothing about the fit.
func Fit(x, y []float64) (Line, error) {
	sizes := slices.Compact(slices.Sorted(slices.Values(x)))
	if len(x) != len(y) || len(sizes) < 3 {
		return Line{}, fmt.Errorf("a fit needs at least three sizes, got %d with %d values", len(sizes), len(y))
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	return Line{Offset: a, Slope: b, R2: stat.RSquared(x, y, nil, a, b)}, nil
}

// Series collects the measured points of one quantity as a function of a size.
type Series struct {
	Name, Size, Unit string
	x, y             []float64
}

// Add adds the value y measured at size x.
func (s *Series) Add(x, y float64) {
	s.x = append(s.x, x)
	s.y = append(s.y, y)
}

// Write prints the points, the fitted line and its value at the target size.
func (s *Series) Write(w io.Writer, target float64) error {
	for i := range s.x {
		printf(w, "  %-34s %s=%-8g %.4g %s\n", s.Name, s.Size, s.x[i], s.y[i], s.Unit)
	}
	l, err := Fit(s.x, s.y)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	_, err = fmt.Fprintf(w, "fit %-32s %.4g + %.4g %s per %s, R2 %.3f; at %g: %.4g %s\n",
		s.Name, l.Offset, l.Slope, s.Unit, s.Size, l.R2, target, l.At(target), s.Unit)
	return err
}

// seriesSet holds the series of one measurement, ordered by their first point.
type seriesSet struct {
	size   string
	order  []string
	series map[string]*Series
}

func newSeriesSet(size string) *seriesSet {
	return &seriesSet{size: size, series: map[string]*Series{}}
}

func (p *seriesSet) add(name, unit string, x, y float64) {
	s := p.series[name]
	if s == nil {
		s = &Series{Name: name, Size: p.size, Unit: unit}
		p.series[name] = s
		p.order = append(p.order, name)
	}
	s.Add(x, y)
}

func (p *seriesSet) write(w io.Writer, target float64) error {
	for _, name := range p.order {
		if err := p.series[name].Write(w, target); err != nil {
			return err
		}
	}
	return nil
}

// micros returns the share of d for each of n operations, in microseconds.
func micros(d time.Duration, n int) float64 { return float64(d.Nanoseconds()) / 1e3 / float64(n) }

// printf writes a part of the report. Write errors are ignored, since an incomplete
// report is noticed when it is read.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
