// Package endpoint is the HTTP client of model engines and plain services.
package endpoint

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// LoadHeader is the header in which every response of an engine carries its load report.
const LoadHeader = "Papayacroft-Load"

// Load is an engine's load report.
type Load struct {
	At             time.Time `json:"at"`
	UsedTokens     int       `json:"usedTokens"`
	CapacityTokens int       `json:"capacityTokens"`
	Running        int       `json:"running"`
	Waiting        int       `json:"waiting"`
	Preemptions    int64     `json:"preemptions"`
	Models         []string  `json:"models"`
	// Versions holds the versions of the loaded models, by model; models whose version the engine doesn't know are absent.
	Versions map[string]string `json:"versions,omitempty"`
	Role     string            `json:"role,omitempty"`
	Leaving  bool              `json:"leaving,omitempty"`
}

// ParseLoad reads a load report from response headers; it returns false if there is none or it is not valid.
func ParseLoad(hdr http.Header) (Load, bool) {
	value := hdr.Get(LoadHeader)
	if value == "" {
		return Load{}, false
	}
	var lod Load
	if err := json.Unmarshal([]byte(value), &lod); err != nil {
		return Load{}, false
	}
	return lod, true
}

// Serialize formats the report as a value of LoadHeader.
func (lod Load) Serialize() (string, error) {
	data, err := json.Marshal(lod)
	return string(data), trace.Wrap(err)
}
