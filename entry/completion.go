package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayacroft/inventory"
	"papayacroft/retry"
	"papayacroft/routing"
)

const (
	resumeHeader = "Last-Event-ID"
	// wholePath, followed by a position, is the path at which another daemon serves a non-streamed answer that a
	// stopping daemon handed over.
	wholePath = "/v1/completions/"
	// positionValue is the name of the path parameter that holds the position.
	positionValue = "position"
	// positionLifetime is how long a caller may resume a generation.
	positionLifetime = time.Hour
	// bytesPerToken is the assumed length of a token, from which a prompt's tokens are estimated.
	bytesPerToken = 4
	// prefixBytes is the number of leading bytes of a prompt whose digest selects an engine that may have them
	// cached.
	prefixBytes = 256
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Stream    bool   `json:"stream"`
	Class     string `json:"class"`
	// Restart allows a stream to start over with another generation after its engine failed; the tokens sent before
	// are then void.
	Restart bool `json:"restart"`
}

// CompletionResponse is the answer to a request that does not ask for a stream.
type CompletionResponse struct {
	ID     string `json:"id"`
	Model  string `json:"model"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// ParseCompletionRequest decodes and validates a caller's body.
func ParseCompletionRequest(body io.Reader, idx *inventory.Index) (*CompletionRequest, *Refusal) {
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	var req CompletionRequest
	if err := dec.Decode(&req); err != nil {
		return nil, bodyRefusal(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, notRun(routing.CodeBadRequest, "request body has more than one JSON value")
	}
	mdl, ok := idx.Configuration.Models[req.Model]
	if !ok {
		return nil, notRun(routing.CodeUnknownModel, "model %q does not exist", req.Model)
	}
	if req.Prompt == "" {
		return nil, notRun(routing.CodeBadRequest, "prompt is missing")
	}
	if req.MaxTokens < 0 || req.MaxTokens > mdl.MaxTokens {
		return nil, notRun(routing.CodeBadRequest, "maxTokens %d is not allowed; at most %d for model %q", req.MaxTokens, mdl.MaxTokens, req.Model)
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = mdl.MaxTokens
	}
	if !slices.Contains(modelClasses(idx, req.Model), req.Class) {
		return nil, notRun(routing.CodeBadRequest, "class %q is not served with model %q; one of %v is expected", req.Class, req.Model, modelClasses(idx, req.Model))
	}
	return &req, nil
}

// modelClasses returns the classes of the pools that serve a model, sorted and without duplicates.
func modelClasses(idx *inventory.Index, model string) []string {
	var classes []string
	for _, pool := range idx.ModelPools(model) {
		classes = append(classes, idx.Configuration.Pools[pool].Classes...)
	}
	slices.Sort(classes)
	return slices.Compact(classes)
}

// complete starts a generation and relays its answer.
func (srv *Server) complete(wri http.ResponseWriter, req *http.Request, cal *call) *Refusal {
	var body *CompletionRequest
	data, ref := srv.readBody(wri, req)
	if ref == nil {
		body, ref = ParseCompletionRequest(bytes.NewReader(data), cal.snapshot.Index)
	}
	if ref != nil {
		return ref
	}
	cal.class = body.Class
	if srv.OnModelRequested != nil {
		srv.OnModelRequested(cal.snapshot.Index, cal.team, body.Model)
	}
	gen := newGeneration(srv.Now(), cal, body)
	if ref := srv.checkQuarantine(gen); ref != nil {
		return ref
	}
	for _, pool := range cal.snapshot.Index.ModelPools(body.Model) {
		srv.Retries.Request(srv.Now(), retry.Key{Team: cal.team, Pool: pool})
	}
	var snk sink = newWholeSink(wri, srv, gen)
	if body.Stream {
		snk = newStreamSink(wri, srv, cal, body.Restart)
	}
	return srv.relay(req.Context(), cal, gen, snk)
}

// resume attaches to the generation that a position identifies and streams the remaining tokens.
func (srv *Server) resume(wri http.ResponseWriter, req *http.Request, cal *call) *Refusal {
	gen, ref := srv.generationFromPosition(cal, req.Header.Get(resumeHeader))
	if ref != nil {
		return ref
	}
	return srv.relay(req.Context(), cal, gen, newStreamSink(wri, srv, cal, false))
}

// resumeWhole attaches to a generation that another daemon handed over and sends the whole answer, from the first
// token, as one response.
func (srv *Server) resumeWhole(wri http.ResponseWriter, req *http.Request, cal *call) *Refusal {
	gen, ref := srv.generationFromPosition(cal, req.PathValue(positionValue))
	if ref != nil {
		return ref
	}
	gen.next = 0
	return srv.relay(req.Context(), cal, gen, newWholeSink(wri, srv, gen))
}

// generationFromPosition verifies a position and returns its generation. It refuses positions of other teams.
func (srv *Server) generationFromPosition(cal *call, serialized string) (*generation, *Refusal) {
	pos, err := srv.Signer.Parse(srv.Now(), serialized)
	if err != nil {
		return nil, unknown(routing.CodeBadPosition, "the position can't be resumed: %v", err)
	}
	if pos.Team != cal.team {
		return nil, unknown(routing.CodeBadPosition, "the position belongs to another team")
	}
	edp, ok := cal.snapshot.Index.Configuration.Endpoints[pos.Endpoint]
	if !ok {
		return nil, unknown(routing.CodeGenerationLost, "endpoint %q of the generation does not exist any more", pos.Endpoint)
	}
	cal.class = pos.Class
	return resumedGeneration(pos, &edp), nil
}

func routingRequest(cal *call, body *CompletionRequest) routing.Request {
	prefix := body.Prompt[:min(len(body.Prompt), prefixBytes)]
	return routing.Request{
		ID:           cal.id,
		Team:         cal.team,
		Model:        body.Model,
		Class:        body.Class,
		PromptTokens: len(body.Prompt)/bytesPerToken + 1,
		PrefixDigest: prefixDigest(prefix),
		Excluded:     map[string]bool{},
	}
}

func prefixDigest(prefix string) string {
	return strconv.FormatUint(xxhash.Sum64String(prefix), 16)
}
