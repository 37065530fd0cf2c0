// Package position encodes and checks stream positions, with which a caller can resume a stream through any daemon.
// A position is a text of three parts with dots in between: the encoded Stream, its signature and a token index.
package position

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/inventory"
)

// maxBytes is the longest position that is accepted from a caller.
const maxBytes = 2048

// maxIndex is the highest token index that is accepted; the index of the next token can't overflow.
const maxIndex = math.MaxInt32

// Stream holds the data that a daemon needs to attach to a generation that another daemon started.
type Stream struct {
	Generation string `json:"generation"`
	Endpoint   string `json:"endpoint"`
	Model      string `json:"model"`
	Class      string `json:"class"`
	// Digest is a digest of the request's content; it identifies the request.
	Digest   string            `json:"digest,omitempty"`
	Team     inventory.TeamRef `json:"team"`
	Deadline time.Time         `json:"deadline"`
	// MaxTokens is the token limit of a response that is not streamed; positions of streams leave it out.
	MaxTokens int `json:"maxTokens,omitempty"`
}

// Position is a stream with the number of its tokens that the caller has received.
type Position struct {
	Stream
	// Next is the index of the next token to deliver.
	Next int
}

// Signer signs and verifies positions with the deployment's key.
type Signer struct {
	Key []byte
}

// NewSigner returns a signer with the given key.
func NewSigner(key []byte) *Signer {
	return &Signer{Key: key}
}

// SerializeStream returns the encoded stream with its signature. This part of a position is the same for all tokens of
// the stream.
func (sgn *Signer) SerializeStream(stm Stream) (string, error) {
	payload, err := json.Marshal(stm)
	if err != nil {
		return "", trace.Wrap(err)
	}
	enc := base64.RawURLEncoding
	return enc.EncodeToString(payload) + "." + enc.EncodeToString(sgn.sum(payload)), nil
}

// Serialize returns a position: the signed part of SerializeStream with the index of the last delivered token, or -1
// before the first token.
func Serialize(signed string, index int) string {
	return signed + "." + strconv.Itoa(index)
}

// Parse decodes a position that a caller sent. It returns an error if the position is malformed, has an invalid
// signature or has expired.
func (sgn *Signer) Parse(now time.Time, text string) (Position, error) {
	if len(text) > maxBytes {
		return Position{}, trace.BadParameter("position is longer than %d bytes", maxBytes)
	}
	if strings.ContainsAny(text, "\r\n") {
		return Position{}, trace.BadParameter("position is not valid")
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return Position{}, trace.BadParameter("position does not have three parts")
	}
	// Without Strict, several texts would decode to the same signed bytes, and a caller could alter a position without
	// invalidating its signature.
	enc := base64.RawURLEncoding.Strict()
	payload, err := enc.DecodeString(parts[0])
	if err != nil {
		return Position{}, trace.BadParameter("position is not valid")
	}
	sum, err := enc.DecodeString(parts[1])
	if err != nil || !hmac.Equal(sum, sgn.sum(payload)) {
		return Position{}, trace.AccessDenied("position's signature is not valid")
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil || index < -1 || index > maxIndex {
		return Position{}, trace.BadParameter("position's index is not valid")
	}
	var stm Stream
	if err := json.Unmarshal(payload, &stm); err != nil {
		return Position{}, trace.BadParameter("position is not valid")
	}
	if now.After(stm.Deadline) {
		return Position{}, trace.LimitExceeded("position expired at %s", stm.Deadline.Format(time.RFC3339))
	}
	return Position{Stream: stm, Next: index + 1}, nil
}

func (sgn *Signer) sum(payload []byte) []byte {
	mac := hmac.New(sha256.New, sgn.Key)
	mac.Write(payload)
	return mac.Sum(nil)
}
