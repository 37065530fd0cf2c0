package answer

import (
	"context"
	"net"
	"net/http"
)

// Transport is a http.RoundTripper whose answers all have a valid head, and whose connections are of type Conn. It is for
// requests that do not ask for another protocol. Interim answers and the transfer coding of HTTP/1.0 are not checked, as
// http.Transport drops both.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport with the settings of another one.
func NewTransport(settings *http.Transport) *Transport {
	base := settings.Clone()
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: con}, nil
	}
	return &Transport{base: base}
}

// RoundTrip sends a request. It returns an error that wraps ErrHead if the head of the answer is not valid, and closes the
// connection then.
func (trn *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := trn.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkFinal(res); err != nil {
		_ = res.Body.Close()
		// A connection with an answer that has no body may be idle already, and must not carry another request.
		trn.CloseIdleConnections()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the connections that are not in use; http.Client calls it.
func (trn *Transport) CloseIdleConnections() {
	trn.base.CloseIdleConnections()
}
