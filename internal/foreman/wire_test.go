package foreman_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

func encodeOrder(order upstreamapi.Order) []byte {
	data, err := json.Marshal(order)
	if err != nil {
		panic(err)
	}
	return data
}

func orderRequest(body []byte) *http.Request {
	request := httptest.NewRequest(http.MethodPost, upstreamapi.OrdersPath, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	return request
}

// dialError is the error of a client when no process listens at the address.
func dialError() error {
	return &net.OpError{Op: "dial", Err: errors.New("connection refused")}
}

// loadFailedResponse is the response of an engine to an order that failed.
func loadFailedResponse(order upstreamapi.Order, a upstreamapi.Announcement) *http.Response {
	recorder := httptest.NewRecorder()
	recorder.WriteHeader(http.StatusInternalServerError)
	_ = json.NewEncoder(recorder).Encode(upstreamapi.OrderResponse{
		ID: order.ID, State: upstreamapi.OrderFailed, Reason: "weights are damaged", Clock: a.Load.Clock,
		Incarnation: a.Incarnation, Revision: a.Revision, Accelerators: a.Accelerators, Resident: a.Resident,
		HighestFencing: a.HighestFencing, UnderWay: a.UnderWay,
	})
	return recorder.Result()
}
