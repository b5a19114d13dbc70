package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	// retryPause is the pause after no known instance took an announcement.
	retryPause = 250 * time.Millisecond
	// defaultRenewal stands in for a renewal interval that a Welcome lacks.
	defaultRenewal = time.Second
	// callTimeout bounds one call to an instance by the default client.
	callTimeout = 2 * time.Second
	// maxWelcomeBytes bounds the answer that is read from an instance.
	maxWelcomeBytes = 1 << 20
)

// AnnounceOptions say to whom and how an upstream announces itself.
type AnnounceOptions struct {
	// To are the upstream addresses of instances, as IP:port or as URL. If it is
	// empty, the upstream does not announce itself.
	To []string
	// Token is sent as the bearer token of each call, unless it is empty.
	Token string
	// Client makes the calls. It must bound each of them by a timeout. If it is
	// nil, a client with a timeout of 2 s is used.
	Client *http.Client
}

// announcer keeps one upstream announced to one instance at a time, and turns
// to the next known instance when that one fails.
type announcer struct {
	options AnnounceOptions
	clock   Clock
	// describe returns the present announcement but for its sequence.
	describe func() upstreamapi.Announcement

	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// known begins with the instance that took the last announcement.
	known []string
	// sequence is that of the last announcement that was sent.
	sequence uint64
	// accepted is the number of announcements that an instance has taken.
	accepted uint64
}

// newAnnouncer returns an announcer that has started to announce what describe
// returns.
func newAnnouncer(options AnnounceOptions, clock Clock, describe func() upstreamapi.Announcement) *announcer {
	if options.Client == nil {
		options.Client = &http.Client{Timeout: callTimeout}
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{
		options:  options,
		clock:    clock,
		describe: describe,
		wake:     make(chan struct{}, 1),
		cancel:   cancel,
		done:     make(chan struct{}),
		known:    slices.Clone(options.To),
	}
	go func() {
		defer close(a.done)
		a.run(ctx)
	}()
	return a
}

// Soon makes the announcer announce again without waiting for the renewal.
func (a *announcer) Soon() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Accepted returns the number of announcements that an instance has taken.
func (a *announcer) Accepted() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted
}

// Close stops announcing and tells the first instance that can be reached that
// the upstream leaves. If none can be, Close returns the last failure, and the
// announcement ends with its lease.
func (a *announcer) Close(ctx context.Context) error {
	a.cancel()
	<-a.done
	if len(a.options.To) == 0 {
		return nil
	}
	described := a.describe()
	leave := upstreamapi.Leave{Name: described.Name, Incarnation: described.Incarnation}
	var last error
	for _, instance := range a.instances() {
		last = a.post(ctx, instance+upstreamapi.LeavePath, leave, nil)
		if last == nil {
			return nil
		}
	}
	return errors.Wrap(last, "standin: leave")
}

func (a *announcer) run(ctx context.Context) {
	if len(a.options.To) == 0 {
		return
	}
	for ctx.Err() == nil {
		pause := a.announce(ctx)
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-a.clock.After(pause):
		}
	}
}

// announce tries the known instances in turn and returns the pause until the
// next announcement.
func (a *announcer) announce(ctx context.Context) time.Duration {
	for _, instance := range a.instances() {
		var welcome upstreamapi.Welcome
		if a.post(ctx, instance+upstreamapi.AnnouncePath, a.next(), &welcome) != nil {
			continue
		}
		a.welcomed(instance, welcome)
		if welcome.RenewEvery > 0 {
			return welcome.RenewEvery
		}
		return defaultRenewal
	}
	return retryPause
}

// next returns the present announcement under a new sequence.
func (a *announcer) next() upstreamapi.Announcement {
	announcement := a.describe()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	announcement.Sequence = a.sequence
	return announcement
}

// welcomed puts the instance that answered first, then those that it named,
// then those of the options. The last are kept for good: the named ones may all
// have been replaced when they are needed.
func (a *announcer) welcomed(instance string, welcome upstreamapi.Welcome) {
	known := []string{instance}
	for _, other := range slices.Concat(welcome.Instances, a.options.To) {
		if !slices.Contains(known, baseURL(other)) {
			known = append(known, baseURL(other))
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known = known
	a.accepted++
}

// instances returns the base URLs of the known instances.
func (a *announcer) instances() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	urls := make([]string, 0, len(a.known))
	for _, instance := range a.known {
		urls = append(urls, baseURL(instance))
	}
	return urls
}

// post sends in as JSON and reads the answer into out unless out is nil. If the
// instance answers anything but 2xx, post returns an error.
func (a *announcer) post(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "standin: encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "standin: request")
	}
	request.Header.Set("Content-Type", "application/json")
	if a.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+a.options.Token)
	}
	response, err := a.options.Client.Do(request)
	if err != nil {
		return errors.Wrap(err, "standin: call")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxWelcomeBytes))
	if err != nil {
		return errors.Wrap(err, "standin: answer")
	}
	if response.StatusCode/100 != 2 {
		return errors.Newf("standin: %s answered %d: %s", url, response.StatusCode, answer)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(answer, out), "standin: answer")
}

func baseURL(instance string) string {
	if strings.Contains(instance, "://") {
		return strings.TrimSuffix(instance, "/")
	}
	return "http://" + instance
}
