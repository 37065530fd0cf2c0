package admission

import (
	"math"
	"sync"
)

const (
	// ratioScale is the number by which ratios of lengths to hints are multiplied in their history, which holds integers.
	ratioScale = 100
	// errorWeight is the weight of the newest error in the mean errors of hints and of learnt lengths.
	errorWeight = 0.05
	// medianLevel is the quantile whose error is measured.
	medianLevel = 0.5
)

// Predictor estimates output lengths from those of completed requests and from callers' hints, weighted by how well each of
// the two has predicted so far.
type Predictor struct {
	Lengths Lengths

	// ratios has the lengths of completed requests as multiples of their hints.
	ratios Lengths
	mutex  sync.Mutex
	errors map[Kind]*predictionErrors
}

// predictionErrors are the mean errors of both estimates of one kind: absolute differences of logarithms.
type predictionErrors struct {
	length, hint float64
}

// NewPredictor returns a predictor without history.
func NewPredictor() *Predictor {
	return &Predictor{errors: map[Kind]*predictionErrors{}}
}

// Observe adds the output length of a completed request and its hint, 0 without one.
func (prd *Predictor) Observe(knd Kind, hint, tokens int) {
	actual := float64(max(tokens, 1))
	if hint > 0 {
		if prd.Lengths.Known(knd) && prd.ratios.Known(knd) {
			prd.observeErrors(knd, actual, float64(prd.Lengths.Remaining(knd, 0, maxLength, medianLevel)), prd.fromHint(knd, hint, medianLevel))
		}
		prd.ratios.Observe(knd, int(ratioScale*actual/float64(hint)))
	}
	prd.Lengths.Observe(knd, tokens)
}

func (prd *Predictor) observeErrors(knd Kind, actual, length, hint float64) {
	prd.mutex.Lock()
	defer prd.mutex.Unlock()
	byLength, byHint := math.Abs(math.Log(actual/length)), math.Abs(math.Log(actual/hint))
	err, ok := prd.errors[knd]
	if !ok {
		prd.errors[knd] = &predictionErrors{length: byLength, hint: byHint}
		return
	}
	err.length += errorWeight * (byLength - err.length)
	err.hint += errorWeight * (byHint - err.hint)
}

// fromHint returns the quantile of the lengths of requests with this hint.
func (prd *Predictor) fromHint(knd Kind, hint int, quantile float64) float64 {
	return max(1, float64(hint)*float64(prd.ratios.Remaining(knd, 0, maxLength, quantile))/ratioScale)
}

// Expect returns the quantile of the output length of a request, at most maxTokens; hint is 0 without one. It returns false
// if too few requests of the kind have completed.
func (prd *Predictor) Expect(knd Kind, hint, maxTokens int, quantile float64) (int, bool) {
	if !prd.Lengths.Known(knd) {
		return 0, false
	}
	length := float64(prd.Lengths.Remaining(knd, 0, max(1, maxTokens), quantile))
	wgt := prd.hintWeight(knd)
	if hint <= 0 || wgt == 0 {
		return int(length), true
	}
	mean := math.Exp(wgt*math.Log(prd.fromHint(knd, hint, quantile)) + (1-wgt)*math.Log(length))
	return min(max(1, maxTokens), int(math.Ceil(mean))), true
}

// hintWeight returns the weight of hints, between 0 and 1. The errors are squared, as the better estimate alone is nearly as good
// as any mixture once their errors differ by a factor of 3.
func (prd *Predictor) hintWeight(knd Kind) float64 {
	prd.mutex.Lock()
	defer prd.mutex.Unlock()
	err, ok := prd.errors[knd]
	if !ok || err.length+err.hint == 0 {
		return 0
	}
	return err.length * err.length / (err.length*err.length + err.hint*err.hint)
}
