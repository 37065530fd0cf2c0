package standin

import (
	"net/http"
	"slices"
	"time"
)

// engineOrder orders an engine to change the models that it serves.
type engineOrder struct {
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Action  string `json:"action"`
}

// acceptedOrder is an order that the engine has accepted, with the time of its receipt.
type acceptedOrder struct {
	At time.Time `json:"at"`
	engineOrder
}

// handleOrders lists the accepted orders in the sequence of their receipt.
func (eng *Engine) handleOrders(wri http.ResponseWriter, _ *http.Request) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	writeJSON(wri, http.StatusOK, append([]acceptedOrder{}, eng.orders...))
}

// applyOrder applies an order; applying it again changes nothing.
func (eng *Engine) applyOrder(ord engineOrder) {
	switch ord.Action {
	case "assign":
		eng.Models = []string{ord.Model}
		eng.versions = map[string]string{}
		eng.role = ord.Role
		eng.setVersion(ord)
	case "load":
		if !slices.Contains(eng.Models, ord.Model) {
			eng.Models = append(eng.Models, ord.Model)
		}
		eng.setVersion(ord)
	case "unload":
		eng.Models = slices.DeleteFunc(eng.Models, func(name string) bool { return name == ord.Model })
		delete(eng.versions, ord.Model)
	}
}

func (eng *Engine) setVersion(ord engineOrder) {
	label := ord.Version
	if ord.Adapter != "" {
		label += "+" + ord.Adapter
	}
	eng.versions[ord.Model] = label
}
