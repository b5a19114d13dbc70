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

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// maxAnswerBytes bounds what an engine answers to an order.
const maxAnswerBytes = 4 << 20

// line calls engines.
type line struct {
	client *http.Client
	// timeout bounds each call. No order is under way for longer.
	timeout time.Duration
}

// errUnsent means that no byte of an order left.
var errUnsent = errors.New("foreman: the engine could not be reached, and no byte was sent")

// order sends an order. If it certainly was not sent, order returns an error
// that is errUnsent; any other leaves open whether it takes effect.
func (l line) order(ctx context.Context, address string, order upstreamapi.Order) (upstreamapi.OrderAnswer, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return upstreamapi.OrderAnswer{}, errors.Wrap(err, "foreman: encode order")
	}
	return l.call(ctx, http.MethodPost, "http://"+address+upstreamapi.OrdersPath, body)
}

// ask asks what became of an order.
func (l line) ask(ctx context.Context, address, id string) (upstreamapi.OrderAnswer, error) {
	return l.call(ctx, http.MethodGet, "http://"+address+upstreamapi.OrdersPath+"/"+url.PathEscape(id), nil)
}

func (l line) call(ctx context.Context, method, target string, body []byte) (upstreamapi.OrderAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return upstreamapi.OrderAnswer{}, errors.Wrap(err, "foreman: request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := l.client.Do(request)
	if err != nil {
		var failed *net.OpError
		if errors.As(err, &failed) && failed.Op == "dial" {
			return upstreamapi.OrderAnswer{}, errors.Mark(err, errUnsent)
		}
		return upstreamapi.OrderAnswer{}, errors.Wrap(err, "foreman: call")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return upstreamapi.OrderAnswer{}, errors.Wrap(err, "foreman: answer")
	}
	var answer upstreamapi.OrderAnswer
	if err := json.Unmarshal(data, &answer); err != nil || answer.ID == "" || answer.State == "" {
		return upstreamapi.OrderAnswer{}, errors.Newf("foreman: status %d without an answer to an order", response.StatusCode)
	}
	return answer, nil
}
