package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/daemon"
)

const (
	adminTimeout       = 2 * time.Second
	maxAdminReplyBytes = 64 << 20
)

// adminClient calls the admin interface of one daemon.
type adminClient struct {
	address string
}

func (adm adminClient) status(ctx context.Context) (*daemon.Status, error) {
	var sta daemon.Status
	err := adm.exchange(ctx, http.MethodGet, "/admin/status", nil, &sta)
	return &sta, trace.Wrap(err)
}

func (adm adminClient) configuration(ctx context.Context) (*daemon.ConfigurationReply, error) {
	var reply daemon.ConfigurationReply
	err := adm.exchange(ctx, http.MethodGet, "/admin/configuration", nil, &reply)
	return &reply, trace.Wrap(err)
}

func (adm adminClient) exchange(ctx context.Context, method, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+adm.address+path, body)
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "daemon %s does not answer", adm.address)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAdminReplyBytes))
	if err != nil {
		return trace.ConnectionProblem(err, "daemon %s does not answer", adm.address)
	}
	if res.StatusCode/100 != 2 {
		return trace.BadParameter("daemon %s: %s: %s", adm.address, res.Status, bytes.TrimSpace(data))
	}
	if reply == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, reply))
}
