package catalog

import "testing"

// A share without a positive weight must never get a request, neither as the last one nor as the only one.
func TestPickLeavesOutWeightZero(t *testing.T) {
	for _, cse := range []struct {
		name    string
		weights []float64
		want    []string // by draw: 0, a half, and almost 1
	}{
		{"last", []float64{90, 0}, []string{"a", "a", "a"}},
		{"first", []float64{0, 10}, []string{"b", "b", "b"}},
		{"negative", []float64{-3, 1}, []string{"b", "b", "b"}},
		{"both", []float64{0.1, 0.2}, []string{"a", "b", "b"}},
		{"none", []float64{0, -1}, []string{"", "", ""}},
	} {
		rou := &Route{Shares: []Share{{Service: "a", Weight: cse.weights[0]}, {Service: "b", Weight: cse.weights[1]}}}
		for i, draw := range []float64{0, 0.5, 1 - 1e-16} {
			if got := rou.Pick(draw); got != cse.want[i] {
				t.Errorf("%s: got service %q at draw %v, want %q", cse.name, got, draw, cse.want[i])
			}
		}
	}
}
