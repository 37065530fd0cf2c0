package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

// Action says which change an order requests.
type Action string

// The actions of orders. All are idempotent: each describes the state to reach.
const (
	// ActionAssign makes the engine serve the order's model, adapter, version and role, and nothing else.
	ActionAssign Action = "assign"
	// ActionLoad loads a model in addition to the loaded ones.
	ActionLoad Action = "load"
	// ActionUnload unloads a model.
	ActionUnload Action = "unload"
)

// Order requests a change of the models that an engine has loaded.
type Order struct {
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Action  Action `json:"action"`
}

// Order sends an order to an engine. The response carries a load report, which OnLoad receives.
func (clt *Client) Order(ctx context.Context, tgt Target, ord Order) error {
	body, err := json.Marshal(ord)
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := clt.do(ctx, unpooledClient, tgt, http.MethodPost, "/orders", body)
	if err != nil {
		return trace.Wrap(err)
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxErrorBytes))
	return trace.Wrap(err)
}
