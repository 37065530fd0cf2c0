package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// NewSiteCall returns a request as a caller of the users' machines sends it.
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

// SiteSignature returns what proves that an answer is an endpoint's; it is empty if there is none.
func SiteSignature(res *http.Response) string {
	return res.Header.Get("Response-Signature")
}
