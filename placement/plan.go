package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// MoveInterval is the least time between two moves of one engine.
	MoveInterval = 60 * time.Second
	// MinGain is the ratio of the demand per engine of two models that must be exceeded before an engine is moved.
	MinGain = 1.2
	// idleDemand is the smoothed demand below which a model is idle; one request raises the demand above it.
	idleDemand = 0.02
	// maxRejections bounds the rejected candidates that a move lists, so that its log line stays readable.
	maxRejections = 5
)

// planner holds the state of the computation of one plan.
type planner struct {
	now     time.Time
	models  []Model
	index   map[string]int
	engines []Engine
	// serving is the number of engines that serve or load each model.
	serving []int
	// domains counts the engines that serve or load each model, by failure domain.
	domains []map[string]int
	// loading is the number of engines that load each model now.
	loading []int
	// current is the index of each engine's model, or -1.
	current []int
	// moved is true for each engine that the plan has given another model.
	moved []bool
	// rejected collects the candidates that were not chosen for the next move.
	rejected []Rejection
	moves    []Move
}

// Plan returns the orders to send, the most urgent first: engines without a model, models below their minimum,
// moves for demand, and then version changes.
func Plan(now time.Time, vew View) []Move {
	pln := newPlanner(now, vew)
	pln.fillEmpty()
	pln.restoreMinimum()
	pln.balance()
	pln.rollVersions()
	return pln.moves
}

func newPlanner(now time.Time, vew View) *planner {
	count := len(vew.Models)
	pln := &planner{
		now: now, models: vew.Models, engines: vew.Engines, index: make(map[string]int, count),
		serving: make([]int, count), loading: make([]int, count),
		domains: make([]map[string]int, count), current: make([]int, len(vew.Engines)), moved: make([]bool, len(vew.Engines)),
	}
	for i, mdl := range vew.Models {
		pln.index[mdl.Name] = i
		pln.domains[i] = map[string]int{}
	}
	for i, eng := range vew.Engines {
		pln.current[i] = -1
		pos, ok := pln.index[eng.model(now)]
		if !ok || eng.Lost {
			continue
		}
		pln.current[i] = pos
		pln.count(pos, eng, 1)
		if eng.loading(now) {
			pln.loading[pos]++
		}
	}
	return pln
}

// count changes the number of engines that serve or load a model.
func (pln *planner) count(model int, eng Engine, change int) {
	pln.serving[model] += change
	pln.domains[model][eng.FailureDomain] += change
}

// fillEmpty gives each engine that has no model of the pool the model that needs an engine most.
func (pln *planner) fillEmpty() {
	for {
		pln.rejected = pln.rejected[:0]
		to := pln.recipient()
		from := pln.pickEngine(-1, to)
		if to < 0 || from < 0 {
			return
		}
		pln.move(from, to, "engine has no model", 0)
	}
}

// restoreMinimum moves engines from models above their minimum, or from idle ones, to models below their minimum.
func (pln *planner) restoreMinimum() {
	for range pln.engines {
		pln.rejected = pln.rejected[:0]
		to := pln.belowMinimum()
		if to < 0 {
			return
		}
		from := pln.donor(to, true)
		eng := pln.pickEngine(from, to)
		if from < 0 || eng < 0 {
			return
		}
		pln.move(eng, to, "model is below its minimum of engines", 0)
	}
}

// belowMinimum is the model with the most demand per engine of those below their minimum, or -1.
func (pln *planner) belowMinimum() int {
	best := -1
	for i, mdl := range pln.models {
		if pln.serving[i] < mdl.MinEngines && (best < 0 || pln.pressure(i, 0) > pln.pressure(best, 0)) {
			best = i
		}
	}
	return best
}

// donor is the model that has the least demand per engine after it gives up an engine, or -1.
// A model gives up engines of its minimum only if it is idle and the engine restores the minimum of a model in demand.
func (pln *planner) donor(to int, restoring bool) int {
	best := -1
	for i, mdl := range pln.models {
		aboveMinimum := pln.serving[i] > mdl.MinEngines
		preemptible := restoring && mdl.Demand < idleDemand && pln.models[to].Demand >= idleDemand
		if i == to || pln.serving[i] == 0 {
			continue
		}
		if !aboveMinimum && !preemptible {
			pln.reject(mdl.Name, "model has no engine above its minimum")
			continue
		}
		if best < 0 || pln.pressure(i, -1) < pln.pressure(best, -1) {
			best = i
		}
	}
	return best
}

// recipient is the model with the most demand per engine; models below their minimum take precedence.
func (pln *planner) recipient() int {
	best := pln.belowMinimum()
	if best >= 0 {
		return best
	}
	for i := range pln.models {
		if best < 0 || pln.pressure(i, 0) > pln.pressure(best, 0) {
			best = i
		}
	}
	return best
}

// pressure is the demand per engine of a model after a change of the number of its engines.
// It adds a small demand to each model, so that engines are spread evenly over models without demand.
func (pln *planner) pressure(model, change int) float64 {
	engines := pln.serving[model] + change
	demand := pln.models[model].Demand + idleDemand/2
	if engines <= 0 {
		return demand * float64(len(pln.engines)+1)
	}
	return demand / float64(engines)
}

// balance moves engines to models with more demand per engine while a move gains more than MinGain.
func (pln *planner) balance() {
	for range pln.engines {
		pln.rejected = pln.rejected[:0]
		to := pln.recipient()
		if to < 0 || pln.models[to].Demand < idleDemand {
			return
		}
		from := pln.donor(to, false)
		if from < 0 {
			return
		}
		gain := pln.pressure(to, 0) / pln.pressure(from, -1)
		if gain <= MinGain {
			return
		}
		eng := pln.pickEngine(from, to)
		if eng < 0 {
			return
		}
		pln.move(eng, to, "demand per engine is higher", gain)
	}
}

// pickEngine chooses an engine of the model from, or one without a model if from is -1, in the failure domain with the
// fewest engines of the model to. It returns -1 if no engine can be moved.
func (pln *planner) pickEngine(from, to int) int {
	if to < 0 {
		return -1
	}
	best := -1
	for i, eng := range pln.engines {
		if pln.current[i] != from || pln.moved[i] {
			continue
		}
		if reason := pln.immovable(eng); reason != "" {
			pln.reject(eng.Name, reason)
			continue
		}
		if best < 0 || pln.domains[to][eng.FailureDomain] < pln.domains[to][pln.engines[best].FailureDomain] {
			best = i
		}
	}
	return best
}

// immovable is the reason why an engine cannot be moved; it is empty for one that can.
func (pln *planner) immovable(eng Engine) string {
	switch {
	case eng.Lost:
		return "lost, leaving or draining"
	case !eng.Reported:
		return "no load report yet"
	case len(eng.Models) > 1:
		return "loaded with several models"
	case !eng.OrderedAt.IsZero() && pln.now.Sub(eng.OrderedAt) < MoveInterval:
		return "ordered less than 60 s ago"
	default:
		return ""
	}
}

// reject records a candidate that was not chosen and the reason.
func (pln *planner) reject(candidate, reason string) {
	if len(pln.rejected) < maxRejections {
		pln.rejected = append(pln.rejected, Rejection{Candidate: candidate, Reason: reason})
	}
}

// move adds the move of an engine to the plan and updates the counts.
func (pln *planner) move(eng, to int, reason string, gain float64) {
	mov := Move{Engine: pln.engines[eng].Name, To: pln.models[to].assignment(), Reason: reason, Gain: gain}
	mov.Rejections = slices.Clone(pln.rejected)
	if from := pln.current[eng]; from >= 0 {
		mov.From = pln.models[from].Name
		pln.count(from, pln.engines[eng], -1)
	}
	pln.count(to, pln.engines[eng], 1)
	pln.loading[to]++
	pln.current[eng] = to
	pln.moved[eng] = true
	pln.moves = append(pln.moves, mov)
}

// rollVersions adds a rolling update to the model's version: one engine of each model at a time, and none while
// another engine loads the model.
func (pln *planner) rollVersions() {
	for model, mdl := range pln.models {
		if pln.loading[model] > 0 {
			continue
		}
		pos := slices.IndexFunc(pln.engines, func(eng Engine) bool {
			return !eng.Lost && eng.Reported && strings.Join(eng.Models, "") == mdl.Name && !eng.has(mdl.assignment()) &&
				(eng.OrderedAt.IsZero() || eng.Ordered != mdl.assignment() || pln.now.Sub(eng.OrderedAt) >= MoveInterval)
		})
		if pos < 0 || pln.current[pos] != model {
			continue
		}
		eng := pln.engines[pos]
		pln.loading[model]++
		pln.moves = append(pln.moves, Move{
			Engine: eng.Name, From: mdl.Name, To: mdl.assignment(),
			Reason: fmt.Sprintf("version %s differs from %s", eng.Versions[mdl.Name], VersionLabel(mdl.assignment())),
		})
	}
}
