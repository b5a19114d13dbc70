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
)

// ErrUnauthorized is returned when the token is missing or wrong.
var ErrUnauthorized = errors.New("registrar: the operators' token is missing or wrong")

// UnknownError is returned when a change may or may not have been accepted, or a
// drain started. Asking for the same again is safe and tells.
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
	// Addresses are operator addresses of instances. They are asked in turn
	// until one answers. It is not empty.
	Addresses []netip.AddrPort
	Token     string
	// TLS is used if it is not nil.
	TLS *tls.Config
	// AllowPlain lets the token go beyond loopback without TLS.
	AllowPlain bool
	// Timeout bounds the call of one instance.
	Timeout time.Duration
}

// Client asks instances on an operator's behalf. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	http    *http.Client
}

// NewClient returns a Client. If the token would go beyond loopback without TLS
// and that is not allowed, NewClient returns an error.
func NewClient(options ClientOptions) (*Client, error) {
	for _, address := range options.Addresses {
		if options.TLS == nil && !options.AllowPlain && !address.Addr().IsLoopback() {
			return nil, errors.Newf("registrar: without TLS the token would go to %s for all on the way to read", address)
		}
	}
	return &Client{options: options, http: &http.Client{
		Timeout:   options.Timeout,
		Transport: &http.Transport{TLSClientConfig: options.TLS, DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}, nil
}

// InForce returns what is in force, as far as the first instance that answers
// knows.
func (c *Client) InForce(ctx context.Context) (InForce, error) {
	var reply inForceReply
	if err := c.get(ctx, inForcePath, &reply); err != nil {
		return InForce{}, err
	}
	inForce := InForce{Revision: reply.Revision, Preset: reply.Preset, Fresh: reply.Fresh}
	if len(reply.Declarations) == 0 {
		return inForce, nil
	}
	set, err := declaration.Decode(reply.Declarations)
	if err != nil {
		return InForce{}, errors.Wrap(err, "registrar: the instance's declarations; is this program as new as the instance?")
	}
	inForce.Declarations = set
	return inForce, nil
}

// Status returns the state of the first instance that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.get(ctx, statusPath, &status)
	return status, err
}

// Drain starts the planned stop of the instance at the first address, and of no
// other. It returns the number of requests in progress there.
func (c *Client) Drain(ctx context.Context) (int, error) {
	var reply drainReply
	response, err := c.send(ctx, c.options.Addresses[0], http.MethodPost, drainPath, nil)
	if err == nil {
		err = response.decode(http.StatusAccepted, &reply)
	}
	if err == nil || errors.HasType(err, (*UnavailableError)(nil)) || errors.Is(err, ErrUnauthorized) {
		return reply.Streams, err
	}
	return 0, &UnknownError{Cause: err}
}

// ChangeID returns the idempotent identity of a change: a hash of its expected
// revision and its content. A change that is resent after its answer was lost
// gets the same ID, with nothing to be remembered in between.
func ChangeID(expected uint64, declarations []byte, preset string) string {
	hash := sha256.New()
	// Lengths keep different contents from giving the same bytes. Writing to a
	// hash cannot fail.
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], expected)
	binary.BigEndian.PutUint64(numbers[8:], uint64(len(declarations)))
	hash.Write(numbers[:])
	hash.Write(declarations)
	hash.Write([]byte(preset))
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// Change proposes a change at one instance after the other until one tells
// whether it is accepted. Only ID, Expected, Declarations and Preset are sent.
//
// If the change is certainly not accepted, Change returns a *ConflictError, a
// *RefusedError, an *UnavailableError or an error that is ErrUnauthorized. If it
// may be, Change returns an *UnknownError.
func (c *Client) Change(ctx context.Context, change Change) (Answer, error) {
	body, err := json.Marshal(changeRequest{
		ChangeID: change.ID, ExpectedRevision: &change.Expected,
		Declarations: change.Declarations, Preset: change.Preset,
	})
	if err != nil {
		return Answer{}, errors.Wrap(err, "registrar: encoding the change")
	}
	var unknown, unavailable error
	for _, address := range c.options.Addresses {
		answer, err := c.changeAt(ctx, address, body)
		if err == nil || isFinal(err, unknown != nil) {
			return answer, err
		}
		if errors.HasType(err, (*UnavailableError)(nil)) {
			unavailable = err
			continue
		}
		unknown = err
	}
	// An instance that did not accept the change says nothing about another
	// whose answer was lost.
	if unknown != nil {
		return Answer{}, &UnknownError{Cause: unknown}
	}
	return Answer{}, unavailable
}

// isFinal tells whether no other instance would answer differently.
//
// A conflict was decided by the replicated state and holds everywhere. Any other
// refusal is one instance's own: if the answer of another was lost, that one may
// have accepted the change all the same, for example because it was upgraded
// first.
func isFinal(err error, lostAnswer bool) bool {
	if errors.HasType(err, (*ConflictError)(nil)) {
		return true
	}
	return !lostAnswer && (errors.HasType(err, (*RefusedError)(nil)) || errors.Is(err, ErrUnauthorized))
}

func (c *Client) changeAt(ctx context.Context, address netip.AddrPort, body []byte) (Answer, error) {
	response, err := c.send(ctx, address, http.MethodPost, changesPath, body)
	if err != nil {
		return Answer{}, err
	}
	var reply changeReply
	if err := response.decode(http.StatusOK, &reply); err != nil {
		return Answer{}, err
	}
	return Answer(reply), nil
}

// get asks one instance after the other until one answers.
func (c *Client) get(ctx context.Context, path string, into any) error {
	var failed error
	for _, address := range c.options.Addresses {
		response, err := c.send(ctx, address, http.MethodGet, path, nil)
		if err == nil {
			err = response.decode(http.StatusOK, into)
		}
		if err == nil || errors.Is(err, ErrUnauthorized) {
			return err
		}
		failed = errors.CombineErrors(failed, err)
	}
	return failed
}

// answer is a whole answer of an instance.
type answer struct {
	address netip.AddrPort
	status  int
	header  http.Header
	body    []byte
}

// send sends one request and reads the whole answer. If no connection was made,
// it returns an *UnavailableError.
func (c *Client) send(ctx context.Context, address netip.AddrPort, method, path string, body []byte) (answer, error) {
	scheme := "http"
	if c.options.TLS != nil {
		scheme = "https"
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, errors.Wrap(err, "registrar: request")
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, sendError(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, errors.Wrapf(err, "registrar: the answer of %s was cut off", address)
	}
	return answer{address: address, status: response.StatusCode, header: response.Header, body: data}, nil
}

// decode decodes a good answer into reply, and returns what a failure stands
// for.
func (a answer) decode(good int, reply any) error {
	if a.status == good {
		return errors.Wrapf(json.Unmarshal(a.body, reply), "registrar: the answer of %s", a.address)
	}
	var failed failureReply
	if err := json.Unmarshal(a.body, &failed); err != nil || failed.Error.Code == "" {
		return errors.Newf("registrar: %s answered status %d", a.address, a.status)
	}
	return a.failure(failed.Error)
}

func (a answer) failure(f failure) error {
	notRun := a.header.Get(outcome.Header) == outcome.NotRun.String()
	switch {
	case f.Code == codeUnauthorized:
		return ErrUnauthorized
	case f.Code == codeConflict && f.Conflict != nil:
		other := ConflictError(*f.Conflict)
		return &other
	case notRun && (f.Code == codeRefused || f.Code == codeBadRequest):
		return &RefusedError{Reason: f.Message, Findings: findingsOf(f.Findings)}
	case notRun:
		seconds, err := strconv.Atoi(a.header.Get("Retry-After"))
		if err != nil {
			seconds = 0
		}
		return &UnavailableError{Reason: f.Message, RetryAfter: time.Duration(seconds) * time.Second}
	default:
		return errors.Newf("registrar: %s: %s", a.address, f.Message)
	}
}
