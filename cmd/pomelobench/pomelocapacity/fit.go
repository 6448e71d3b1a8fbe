package pomelocapacity

import "math"

// Point is one measured value at one size.
type Point struct {
	Size  float64
	Value float64
}

// Slope is the least-squares line through measured points.
type Slope struct {
	Intercept float64
	PerUnit   float64
	// Residual is the root of the mean squared distance of the points from the line.
	Residual float64
	Points   []Point
}

// Fit returns the least-squares line through points of at least two sizes; through one point it is level.
func Fit(points []Point) Slope {
	n := float64(len(points))
	s := Slope{Points: points}
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		s.PerUnit = (n*sumXY - sumX*sumY) / spread
	}
	s.Intercept = (sumY - s.PerUnit*sumX) / n
	var squares float64
	for _, p := range points {
		d := p.Value - s.At(p.Size)
		squares += d * d
	}
	s.Residual = math.Sqrt(squares / n)
	return s
}

// At returns the line's value at a size.
func (s Slope) At(size float64) float64 { return s.Intercept + s.PerUnit*size }
