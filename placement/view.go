// Package placement decides which engine serves which model and sends the orders to the engines.
package placement

import (
	"slices"
	"time"
)

// The roles of engines.
const (
	RoleServing = "serving"
)

// Assignment is the state that an order asks an engine to reach.
type Assignment struct {
	Model   string `json:"model" yaml:"model"`
	Adapter string `json:"adapter,omitempty" yaml:"adapter"`
	Version string `json:"version,omitempty" yaml:"version"`
	Role    string `json:"role,omitempty" yaml:"role"`
}

// Engine is the state of an engine as the lease holder knows it.
type Engine struct {
	Name          string
	FailureDomain string
	// Models are the models that the engine reports as loaded.
	Models []string
	// Versions holds the version of each loaded model, if the engine reports it.
	Versions map[string]string
	Role     string
	// Lost is true if the engine is leaving, draining or unreachable.
	Lost bool
	// Reported is false until the first load report.
	Reported bool
	// Ordered is the state that the last order asked for; its model is empty if there was no order.
	Ordered   Assignment
	OrderedAt time.Time
}

// Model is a model that the pool should serve.
type Model struct {
	Name       string
	Adapter    string
	Version    string
	MinEngines int
	// Demand is the smoothed number of generations that run or wait.
	Demand float64
}

// View is the input of a plan: the engines of a pool and the models that it should serve.
type View struct {
	Engines []Engine
	Models  []Model
}

// Move is an order of a plan: it gives an engine a model or a version.
type Move struct {
	Engine string
	From   string
	To     Assignment
	Reason string
	// Gain is the demand per engine of the new model divided by that of the old one without the engine; it is 0 for moves
	// for another reason.
	Gain float64
	// Rejections holds the first few engines and models that were not chosen.
	Rejections []Rejection
}

// Rejection is a candidate of a move that was not chosen.
type Rejection struct {
	Candidate string `json:"candidate"`
	Reason    string `json:"reason"`
}

// assignment is the state of an engine that serves the model.
func (mdl Model) assignment() Assignment {
	return Assignment{Model: mdl.Name, Adapter: mdl.Adapter, Version: mdl.Version, Role: RoleServing}
}

// loading reports whether the engine was ordered to load a model within the last MoveInterval and does not report it yet.
func (eng Engine) loading(now time.Time) bool {
	return eng.Ordered.Model != "" && !eng.has(eng.Ordered) && now.Sub(eng.OrderedAt) < MoveInterval
}

// has reports whether the engine reports that it has reached a state. An engine that reports no version has any version.
func (eng Engine) has(asg Assignment) bool {
	if !slices.Contains(eng.Models, asg.Model) {
		return false
	}
	version, ok := eng.Versions[asg.Model]
	return !ok || version == VersionLabel(asg)
}

// model is the model that the engine serves or loads; it is empty for an engine without one.
func (eng Engine) model(now time.Time) string {
	if eng.loading(now) {
		return eng.Ordered.Model
	}
	if len(eng.Models) > 0 {
		return eng.Models[0]
	}
	return ""
}

// VersionLabel is the version as engines report it, with the adapter if there is one.
func VersionLabel(asg Assignment) string {
	if asg.Adapter == "" {
		return asg.Version
	}
	return asg.Version + "+" + asg.Adapter
}
