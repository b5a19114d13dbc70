package registrar

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/transport"
)

// ErrUnauthorized is returned when the token is missing or wrong.
var ErrUnauthorized = errors.New("registrar: the operators' token is missing or wrong")

// UnknownError is returned when the client cannot tell whether a request was
// carried out. Repeating the request is safe and reveals the outcome.
type UnknownError struct {
	Cause error
}

// Error returns the cause.
func (e *UnknownError) Error() string {
	return "registrar: it may or may not be done: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// ClientOptions configures a Client.
type ClientOptions struct {
	// Addresses are the admin API addresses of instances. At least one is required.
	// Queries and configuration changes try them in order. All other requests use
	// only the first.
	Addresses []netip.AddrPort
	Token     string
	// TLS is the TLS configuration. Nil means plain HTTP.
	TLS *tls.Config
	// AllowPlain permits sending the token over plain HTTP to addresses other than
	// loopback.
	AllowPlain bool
	// Timeout limits one request to one instance.
	Timeout time.Duration
}

// Client is the client of the admin API. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	http    *http.Client
}

// NewClient returns a Client. It returns an error if the token would leave
// loopback without TLS and AllowPlain is not set.
func NewClient(options ClientOptions) (*Client, error) {
	for _, address := range options.Addresses {
		if options.TLS == nil && !options.AllowPlain && !address.Addr().IsLoopback() {
			return nil, errors.Newf("registrar: without TLS the token would go to %s for all on the way to read", address)
		}
	}
	return &Client{options: options, http: &http.Client{
		Timeout: options.Timeout,
		Transport: transport.New(&http.Transport{
			TLSClientConfig: options.TLS, DisableKeepAlives: true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}, nil
}

// ActiveConfig returns the active configuration as known to the first instance that
// responds.
func (c *Client) ActiveConfig(ctx context.Context) (ActiveConfig, error) {
	var reply activeConfigReply
	if err := c.get(ctx, activeConfigPath, &reply); err != nil {
		return ActiveConfig{}, err
	}
	config := ActiveConfig{Revision: reply.Revision, Preset: reply.Preset, HasConfigLease: reply.HasConfigLease}
	if len(reply.Declarations) == 0 {
		return config, nil
	}
	set, err := declaration.Decode(reply.Declarations)
	if err != nil {
		return ActiveConfig{}, errors.Wrap(err, "registrar: the instance's declarations; is this program as new as the instance?")
	}
	config.Declarations = set
	return config, nil
}

// Status returns the state of the first instance that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.get(ctx, statusPath, &status)
	return status, err
}

// Drain starts a graceful shutdown of the instance at the first address, never of
// another one. It returns the number of requests that are still active there.
func (c *Client) Drain(ctx context.Context) (int, error) {
	var reply drainReply
	response, err := c.send(ctx, c.options.Addresses[0], http.MethodPost, drainPath, nil)
	if err == nil {
		err = response.decode(http.StatusAccepted, &reply)
	}
	if err == nil || errors.HasType(err, (*UnavailableError)(nil)) || errors.Is(err, ErrUnauthorized) {
		return reply.ActiveRequests, err
	}
	return 0, &UnknownError{Cause: err}
}

// ChangeID returns the idempotency key of a change: a hash of its expected
// revision and its content. A change that is resent after its response was lost
// gets the same ID without any state kept by the client.
func ChangeID(expected uint64, declarations []byte, preset string) string {
	hash := sha256.New()
	// The length in the prefix keeps different contents from hashing as equal bytes.
	// Writing to a hash cannot fail.
	var prefix [16]byte
	binary.BigEndian.PutUint64(prefix[:8], expected)
	binary.BigEndian.PutUint64(prefix[8:], uint64(len(declarations)))
	hash.Write(prefix[:])
	hash.Write(declarations)
	hash.Write([]byte(preset))
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// Change proposes a change to one instance after the other until one reports
// whether it was accepted. Only ID, ExpectedRevision, Declarations and Preset are sent.
//
// If the change was certainly not accepted, Change returns a *ConflictError, a
// *RefusedError, an *UnavailableError or ErrUnauthorized. If it may have been
// accepted, Change returns an *UnknownError.
func (c *Client) Change(ctx context.Context, change Change) (ChangeResult, error) {
	body, err := json.Marshal(changeRequest{
		ChangeID: change.ID, ExpectedRevision: &change.ExpectedRevision,
		Declarations: change.Declarations, Preset: change.Preset,
	})
	if err != nil {
		return ChangeResult{}, errors.Wrap(err, "registrar: encoding the change")
	}
	var unknown, unavailable error
	for _, address := range c.options.Addresses {
		result, err := c.changeAt(ctx, address, body)
		if err == nil || isFinal(err, unknown != nil) {
			return result, err
		}
		if errors.HasType(err, (*UnavailableError)(nil)) {
			unavailable = err
			continue
		}
		unknown = err
	}
	// If one instance's response was lost, that instance may have accepted the
	// change even though others did not.
	if unknown != nil {
		return ChangeResult{}, &UnknownError{Cause: unknown}
	}
	return ChangeResult{}, unavailable
}

// isFinal reports whether err settles the change, so that no other instance needs
// to be tried.
//
// A conflict is decided by the replicated state and holds for all instances. Any
// other rejection is a decision of one instance. If the response of another one
// was lost, that instance may have accepted the change nevertheless, for example
// because it runs a newer version.
func isFinal(err error, responseLost bool) bool {
	if errors.HasType(err, (*ConflictError)(nil)) {
		return true
	}
	return !responseLost && (errors.HasType(err, (*RefusedError)(nil)) || errors.Is(err, ErrUnauthorized))
}

func (c *Client) changeAt(ctx context.Context, address netip.AddrPort, body []byte) (ChangeResult, error) {
	response, err := c.send(ctx, address, http.MethodPost, changesPath, body)
	if err != nil {
		return ChangeResult{}, err
	}
	var reply changeReply
	if err := response.decode(http.StatusOK, &reply); err != nil {
		return ChangeResult{}, err
	}
	return ChangeResult(reply), nil
}

// get queries one instance after the other until one succeeds.
func (c *Client) get(ctx context.Context, path string, reply any) error {
	var combined error
	for _, address := range c.options.Addresses {
		response, err := c.send(ctx, address, http.MethodGet, path, nil)
		if err == nil {
			err = response.decode(http.StatusOK, reply)
		}
		if err == nil || errors.Is(err, ErrUnauthorized) {
			return err
		}
		combined = errors.CombineErrors(combined, err)
	}
	return combined
}

// instanceResponse is the complete HTTP response of an instance.
type instanceResponse struct {
	address netip.AddrPort
	status  int
	header  http.Header
	body    []byte
}

// maxAnswerBytes bounds the answer of an instance. The longest ones contain all declarations.
const maxAnswerBytes = 64 << 20

// send sends one request and reads the complete response. If no connection was
// established, it returns an *UnavailableError.
func (c *Client) send(ctx context.Context, address netip.AddrPort, method, path string, body []byte) (instanceResponse, error) {
	scheme := "http"
	if c.options.TLS != nil {
		scheme = "https"
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return instanceResponse{}, errors.Wrap(err, "registrar: request")
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return instanceResponse{}, classifySendError(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return instanceResponse{}, errors.Wrapf(err, "registrar: the answer of %s was cut off", address)
	}
	if len(data) > maxAnswerBytes {
		return instanceResponse{}, errors.Newf("registrar: the answer of %s is longer than %d bytes", address, maxAnswerBytes)
	}
	return instanceResponse{address: address, status: response.StatusCode, header: response.Header, body: data}, nil
}

// decode decodes a response with status wantStatus into reply. For any other
// status it returns the error that the response describes.
func (r instanceResponse) decode(wantStatus int, reply any) error {
	if r.status == wantStatus {
		return errors.Wrapf(json.Unmarshal(r.body, reply), "registrar: the answer of %s", r.address)
	}
	var failed failureReply
	if err := json.Unmarshal(r.body, &failed); err != nil || failed.Error.Code == "" {
		return errors.Newf("registrar: %s answered status %d", r.address, r.status)
	}
	return r.toError(failed.Error)
}

func (r instanceResponse) toError(f failure) error {
	notRun := r.header.Get(outcome.Header) == outcome.NotRun.String()
	switch {
	case f.Code == codeUnauthorized:
		return ErrUnauthorized
	case f.Code == codeConflict && f.Conflict != nil:
		conflict := ConflictError(*f.Conflict)
		return &conflict
	case notRun && (f.Code == codeRefused || f.Code == codeBadRequest):
		return &RefusedError{Reason: f.Message, Findings: parseFindings(f.Findings)}
	case notRun:
		seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
		if err != nil {
			seconds = 0
		}
		return &UnavailableError{Reason: f.Message, RetryAfter: time.Duration(seconds) * time.Second}
	default:
		return errors.Newf("registrar: %s: %s", r.address, f.Message)
	}
}
