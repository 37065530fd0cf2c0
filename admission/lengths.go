// Package admission decides when a request may be sent to an endpoint: it estimates output lengths, reserves memory for
// them and queues requests that don't fit.
package admission

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLength     = 1 << 20
	lengthDigits  = 2    // significant decimal digits of the histogram
	lengthHalving = 1024 // completions after which the weight of all earlier ones is halved
	// snapshotEvery is the number of completions between two rebuilds of the table that readers use.
	snapshotEvery = 16
	// minLengths is the number of completions below which defaultLength is assumed.
	minLengths = 8
	// defaultLength is the number of output tokens reserved for a class and model with too few completions.
	defaultLength = 256
)

// Kind is a class and model whose output lengths share one history.
type Kind struct {
	Class string
	Model string
}

// Lengths estimates output lengths from those of completed requests.
type Lengths struct {
	kinds sync.Map
}

// lengthHistory holds the output lengths of one kind; readers use only the table, without a lock.
type lengthHistory struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
	recorded  int
	table     atomic.Pointer[lengthTable]
}

// lengthTable holds the distinct lengths in ascending order and, for each, the number of requests that were not longer.
type lengthTable struct {
	values     []int
	cumulative []int64
}

// Observe adds the output length of a completed request to the history of its kind.
func (lng *Lengths) Observe(knd Kind, tokens int) {
	value, ok := lng.kinds.Load(knd)
	if !ok {
		value, _ = lng.kinds.LoadOrStore(knd, &lengthHistory{histogram: newHistogram()})
	}
	one := value.(*lengthHistory)
	one.mutex.Lock()
	defer one.mutex.Unlock()
	_ = one.histogram.RecordValue(int64(min(max(tokens, 1), maxLength)))
	one.recorded++
	if one.recorded%lengthHalving == 0 {
		one.halve()
	}
	if one.recorded >= minLengths && (one.recorded < snapshotEvery || one.recorded%snapshotEvery == 0) {
		one.table.Store(tableOf(one.histogram))
	}
}

// Known reports whether enough requests of a kind have completed to estimate its lengths.
func (lng *Lengths) Known(knd Kind) bool {
	value, ok := lng.kinds.Load(knd)
	return ok && value.(*lengthHistory).table.Load() != nil
}

// Remaining returns the given quantile of the number of tokens that a request will still generate, estimated from the
// requests of its kind that were longer than the generated tokens. The result never exceeds maxTokens-generated, except
// that it is at least 1.
func (lng *Lengths) Remaining(knd Kind, generated, maxTokens int, quantile float64) int {
	limit := max(1, maxTokens-generated)
	value, ok := lng.kinds.Load(knd)
	if !ok {
		return min(limit, defaultLength)
	}
	tbl := value.(*lengthHistory).table.Load()
	if tbl == nil {
		return min(limit, defaultLength)
	}
	return min(limit, tbl.remaining(generated, quantile))
}

// remaining returns the quantile of the remaining tokens among the lengths above generated.
func (tbl *lengthTable) remaining(generated int, quantile float64) int {
	last := len(tbl.values) - 1
	first := sort.SearchInts(tbl.values, generated+1)
	if first > last {
		// The request is longer than all completed ones. Lengths are heavy-tailed, so a long request is expected to
		// go on for a time in proportion to its length.
		return max(1, generated/2)
	}
	var before int64
	if first > 0 {
		before = tbl.cumulative[first-1]
	}
	wanted := float64(before) + quantile*float64(tbl.cumulative[last]-before)
	pos := first + sort.Search(last-first, func(i int) bool { return float64(tbl.cumulative[first+i]) >= wanted })
	return max(1, tbl.values[pos]-generated)
}

// halve halves the weight of all lengths in the histogram.
func (one *lengthHistory) halve() {
	fresh := newHistogram()
	for _, bar := range one.histogram.Distribution() {
		if bar.Count > 0 {
			_ = fresh.RecordValues(bar.To, (bar.Count+1)/2)
		}
	}
	one.histogram = fresh
}

// tableOf returns the table of a histogram.
func tableOf(his *hdrhistogram.Histogram) *lengthTable {
	tbl := &lengthTable{}
	var sum int64
	for _, bar := range his.Distribution() {
		if bar.Count > 0 {
			sum += bar.Count
			tbl.values = append(tbl.values, int(bar.To))
			tbl.cumulative = append(tbl.cumulative, sum)
		}
	}
	return tbl
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLength, lengthDigits)
}
