package entry

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"papayacroft/endpoint"
	"papayacroft/intake"
	"papayacroft/inventory"
	"papayacroft/routing"
)

const (
	idempotencyHeader = "Idempotency-Key"
	// maxAnswerBytes bounds the answer of a plain service.
	maxAnswerBytes = 1 << 20
	// repeatAttempts is the number of tries of a repeatable call.
	repeatAttempts = 3
)

// serviceCall is a call to a plain service.
type serviceCall struct {
	pool      string
	path      string
	operation inventory.Operation
	method    string
	query     string
	header    http.Header
	body      []byte
}

// callService forwards a call to a plain service and sends its answer to the caller.
func (srv *Server) callService(wri http.ResponseWriter, req *http.Request, cal *call) *Refusal {
	pool, path := req.PathValue("pool"), "/"+req.PathValue("path")
	if cal.snapshot.Index.Configuration.Pools[pool].Kind != inventory.PoolKindService {
		return notRun(routing.CodeUnknownService, "service %q does not exist", pool)
	}
	opr, ok := cal.snapshot.Index.Operation(pool, req.Method, path)
	if !ok {
		return notRun(routing.CodeUnknownService, "service %q has no operation %s %s", pool, req.Method, path)
	}
	cal.class = opr.Class
	body, ref := srv.readBody(wri, req)
	if ref != nil {
		ref.unread = ref.Code != routing.CodeTooLarge
		return ref
	}
	svc := &serviceCall{pool: pool, path: path, operation: opr, method: req.Method, query: req.URL.RawQuery, header: req.Header, body: body}
	ctx, cancel := srv.lifecycle.untilStop(req.Context())
	defer cancel()
	var ans *answer
	if opr.Repeatable {
		ans, ref = srv.callRepeatable(ctx, cal, svc)
		if ref != nil && isStopping(ctx) {
			// Nothing was written to the caller, and a repeatable operation may run again through another daemon.
			ref = ref.redirected(http.StatusTemporaryRedirect, req.URL.RequestURI())
		}
	} else {
		ans, ref = srv.callOnce(ctx, cal, svc, req.Header.Get(idempotencyHeader))
	}
	if ref != nil {
		return ref
	}
	ans.write(wri)
	return nil
}

// callRepeatable sends the call to one endpoint after another until one answers, for repeatAttempts tries at most.
func (srv *Server) callRepeatable(ctx context.Context, cal *call, svc *serviceCall) (*answer, *Refusal) {
	ctx, cancel, ret := srv.beginRetries(ctx, cal, svc)
	defer cancel()
	excluded := map[string]bool{}
	var last error
	for range repeatAttempts {
		dec := srv.admitCall(ctx, cal, svc.routingRequest(cal, excluded))
		if dec.Endpoint == nil {
			if last != nil {
				break
			}
			return nil, notRun(dec.Code, "%s", dec.Reason)
		}
		ans, err := srv.send(ctx, cal, svc, dec.Endpoint)
		if err == nil {
			return ans, nil
		}
		if isStopping(ctx) {
			return nil, unknown(routing.CodeDraining, "this entry daemon shut down before the call was answered; repeat it through another one")
		}
		last = err
		srv.noteFailure(dec.Endpoint.Name, err)
		excluded[dec.Endpoint.Name] = true
		cal.logger.WithError(err).Info("service call failed")
		if !ret.next(ctx) {
			break
		}
	}
	return nil, failure(last)
}

// send makes one call on a new connection, because the HTTP transport may repeat a request on a reused one.
func (srv *Server) send(ctx context.Context, cal *call, svc *serviceCall, edp *inventory.Endpoint) (*answer, error) {
	deadline := time.Duration(cal.snapshot.Index.Configuration.Classes[svc.operation.Class].Deadline)
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	srv.Tracker.Sent(edp.Name, 0)
	defer srv.Tracker.Finished(edp.Name)
	res, err := srv.Endpoints.Call(ctx, target(edp), endpoint.ServiceRequest{
		Method: svc.method, Path: svc.path, Query: svc.query, Header: svc.forwardHeader(cal), Body: svc.body,
	})
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	data, err := intake.ReadAnswer(ctx, res.Body, res.ContentLength, maxAnswerBytes)
	if err != nil {
		return nil, &endpoint.Error{Endpoint: edp.Name, Reason: endpoint.ReasonBroken, Begun: endpoint.MayHaveBegun, Err: err}
	}
	return &answer{status: res.StatusCode, contentType: res.Header.Get("Content-Type"), body: data}, nil
}

func (svc *serviceCall) routingRequest(cal *call, excluded map[string]bool) routing.Request {
	return routing.Request{ID: cal.id, Team: cal.team, Pool: svc.pool, Class: svc.operation.Class, Excluded: excluded}
}

// forwardHeader returns the headers for the service; the caller's credential and connection headers are left out.
func (svc *serviceCall) forwardHeader(cal *call) http.Header {
	hdr := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if values, ok := svc.header[name]; ok {
			hdr[name] = values
		}
	}
	maps.Copy(hdr, http.Header{"Papayacroft-Team": {cal.team.String()}, "Papayacroft-Request": {cal.id}})
	return hdr
}

func failure(err error) *Refusal {
	if edpErr, ok := endpoint.AsError(err); ok && edpErr.Begun == endpoint.NotBegun {
		return notRun(routing.CodeEndpointFailed, "%v", err)
	}
	return unknown(routing.CodeEndpointFailed, "%v", err)
}

// answer is a plain service's response.
type answer struct {
	status      int
	contentType string
	body        []byte
}

func (ans *answer) write(wri http.ResponseWriter) {
	if ans.contentType != "" {
		wri.Header().Set("Content-Type", ans.contentType)
	}
	wri.WriteHeader(ans.status)
	_, _ = io.Copy(wri, bytes.NewReader(ans.body))
}
