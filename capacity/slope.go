package main

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Slope is a quantity that is measured at several sizes, for a linear regression over the size.
type Slope struct {
	Name string
	// Unit is the unit of the values, Size that of the sizes.
	Unit   string
	Size   string
	Sizes  []float64
	Values []float64
}

// add adds a measured point.
func (slp *Slope) add(size, value float64) {
	slp.Sizes = append(slp.Sizes, size)
	slp.Values = append(slp.Values, value)
}

// fit returns intercept and slope of the regression line, and the largest residual relative to the largest value.
func (slp *Slope) fit() (intercept, slope, residual float64) {
	intercept, slope = stat.LinearRegression(slp.Sizes, slp.Values, nil, false)
	largest := 0.0
	for i, size := range slp.Sizes {
		residual = math.Max(residual, math.Abs(slp.Values[i]-intercept-slope*size))
		largest = math.Max(largest, math.Abs(slp.Values[i]))
	}
	if largest > 0 {
		residual /= largest
	}
	return intercept, slope, residual
}

func (slp *Slope) print(wri io.Writer) {
	fmt.Fprintf(wri, "%s [%s by %s]\n", slp.Name, slp.Unit, slp.Size)
	for i, size := range slp.Sizes {
		fmt.Fprintf(wri, "  %10.0f  %14.4g\n", size, slp.Values[i])
	}
	intercept, slope, residual := slp.fit()
	fmt.Fprintf(wri, "  fit: %.4g + %.4g per %s, largest residual %.1f%%\n", intercept, slope, slp.Size, 100*residual)
}
