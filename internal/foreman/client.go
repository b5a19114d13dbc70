package foreman

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/transport"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// maxResponseBytes limits the body of an engine's response.
const maxResponseBytes = 4 << 20

// NewClient returns a client for calls to engines.
func NewClient() *http.Client {
	return &http.Client{
		// Orders are rare, so each uses a new connection: a kept-alive one may be
		// dead, whereas a failure to connect proves that no byte was sent.
		Transport: transport.New(&http.Transport{DisableKeepAlives: true}),
		// A redirect would send the order to an engine that it is not meant for.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// engineClient calls engines.
type engineClient struct {
	client *http.Client
	// timeout limits each call, and therefore the time that an order can be in flight.
	timeout time.Duration
}

// errNotSent marks failures before the first byte of an order was sent.
var errNotSent = errors.New("foreman: cannot connect to the engine; no byte was sent")

// sendOrder sends an order. An error marked as errNotSent proves that the order was not sent; after
// any other error the order may still take effect.
func (c engineClient) sendOrder(ctx context.Context, address string, order upstreamapi.Order) (upstreamapi.OrderResponse, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return upstreamapi.OrderResponse{}, errors.Wrap(err, "foreman: encode order")
	}
	return c.call(ctx, http.MethodPost, "http://"+address+upstreamapi.OrdersPath, body)
}

// queryStatus queries the state of an order.
func (c engineClient) queryStatus(ctx context.Context, address, id string) (upstreamapi.OrderResponse, error) {
	return c.call(ctx, http.MethodGet, "http://"+address+upstreamapi.OrdersPath+"/"+url.PathEscape(id), nil)
}

func (c engineClient) call(ctx context.Context, method, requestURL string, body []byte) (upstreamapi.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return upstreamapi.OrderResponse{}, errors.Wrap(err, "foreman: create request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		var failed *net.OpError
		if errors.As(err, &failed) && failed.Op == "dial" {
			return upstreamapi.OrderResponse{}, errors.Mark(err, errNotSent)
		}
		return upstreamapi.OrderResponse{}, errors.Wrap(err, "foreman: send request")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return upstreamapi.OrderResponse{}, errors.Wrap(err, "foreman: read response")
	}
	var answer upstreamapi.OrderResponse
	if err := json.Unmarshal(data, &answer); err != nil || answer.ID == "" || answer.State == "" {
		return upstreamapi.OrderResponse{}, errors.Newf("foreman: body of status %d is not an order response", response.StatusCode)
	}
	return answer, nil
}
