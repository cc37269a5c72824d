package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// maxVerdictBytes bounds the body of a refused order.
const maxVerdictBytes = 64 << 10

// sendOrder sends an order to the first daemon that can be reached and returns the
// name of that daemon. Errors are *verdict.Error. Once a connection is established,
// no other daemon is tried, because the first one may have the order.
func (d *daemonClient) sendOrder(
	ctx context.Context, instances []structs.Instance, engine string, order backend.Order,
) (string, error) {
	body, err := json.Marshal(map[string]string{"kind": string(order.Kind), "name": order.Name})
	if err != nil {
		return "", verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "order cannot be encoded")
	}
	for _, instance := range instances {
		target := "http://" + instance.HTTPAddr + "/v1/servers/" + url.PathEscape(engine) + "/orders"
		sent, err := d.post(ctx, target, body)
		if sent {
			return instance.Name, err
		}
	}
	return "", verdict.Refuse(verdict.PeerLost, "none of %d daemons can be reached", len(instances))
}

// post sends an order once. It reports whether a connection was established, in
// which case the daemon may have the order.
func (d *daemonClient) post(ctx context.Context, target string, body []byte) (bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	// Without GetBody, net/http does not retry the request on its own.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := d.orders.DoRequest(request)
	if err != nil {
		return sent.Load(), verdict.Wrap(err, verdict.MayHaveRun, verdict.PeerLost, "the daemon's answer was lost")
	}
	defer response.Body.Close()
	return true, decodeVerdict(response)
}

// decodeVerdict returns the error in the response to an order, or nil when the
// engine accepted it. A response without a verdict is treated as MayHaveRun.
func decodeVerdict(response *http.Response) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	var refusal verdict.Error
	err := json.NewDecoder(io.LimitReader(response.Body, maxVerdictBytes)).Decode(&refusal)
	if err != nil || refusal.Reason == "" {
		return verdict.New(verdict.MayHaveRun, verdict.Internal, "status %d without a verdict", response.StatusCode)
	}
	return &refusal
}
