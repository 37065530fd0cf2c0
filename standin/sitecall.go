package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// NewSiteCall returns a request with the headers that callers on the users' machines send; id identifies the attempt.
func NewSiteCall(ctx context.Context, target, id, key string, deadline time.Duration) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("body of "+id))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Host = "site.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Token-Usage", "100,400")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+key)
	return req, nil
}

// SiteSignature returns the signature by which an endpoint proves that a response is its own, or an empty string if
// the response is not signed.
func SiteSignature(res *http.Response) string {
	return res.Header.Get("Response-Signature")
}
