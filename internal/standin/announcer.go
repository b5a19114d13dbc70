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
	// retryDelay is the delay after no known instance accepted an announcement.
	retryDelay = 250 * time.Millisecond
	// defaultRenewInterval applies if an AnnounceResponse has no renewal interval.
	defaultRenewInterval = time.Second
	// callTimeout limits one call to an instance by the default client.
	callTimeout = 2 * time.Second
	// maxResponseBytes limits the response of an instance.
	maxResponseBytes = 1 << 20
)

// AnnounceOptions configure the announcements of an upstream.
type AnnounceOptions struct {
	// To are the upstream-facing addresses of instances, as IP:port or as URL.
	// If it is empty, the upstream does not announce itself.
	To []string
	// Token is the bearer token of each call. If it is empty, no token is sent.
	Token string
	// Client sends the calls and must have a timeout. If it is nil, a client
	// with a timeout of 2 s is used.
	Client *http.Client
}

// announcer keeps one upstream announced to one instance at a time, and
// switches to the next known instance when that one fails.
type announcer struct {
	options AnnounceOptions
	clock   Clock
	// currentAnnouncement returns an announcement without a sequence.
	currentAnnouncement func() upstreamapi.Announcement

	trigger chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}

	mu sync.Mutex
	// knownInstances starts with the instance that accepted the last
	// announcement.
	knownInstances []string
	// sequence is the sequence of the last announcement sent.
	sequence uint64
	// accepted counts the announcements that instances have accepted.
	accepted uint64
}

// newAnnouncer starts to announce what currentAnnouncement returns.
func newAnnouncer(options AnnounceOptions, clock Clock, currentAnnouncement func() upstreamapi.Announcement) *announcer {
	if options.Client == nil {
		options.Client = &http.Client{Timeout: callTimeout}
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{
		options:             options,
		clock:               clock,
		currentAnnouncement: currentAnnouncement,
		trigger:             make(chan struct{}, 1),
		cancel:              cancel,
		done:                make(chan struct{}),
		knownInstances:      slices.Clone(options.To),
	}
	go func() {
		defer close(a.done)
		a.run(ctx)
	}()
	return a
}

// Trigger makes the announcer announce again without waiting for the renewal
// interval.
func (a *announcer) Trigger() {
	select {
	case a.trigger <- struct{}{}:
	default:
	}
}

// Accepted returns the number of announcements that instances have accepted.
func (a *announcer) Accepted() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted
}

// Close stops announcing and sends a Leave to the first reachable instance. If
// none is reachable, Close returns the last error, and the announcement expires
// with its lease.
func (a *announcer) Close(ctx context.Context) error {
	a.cancel()
	<-a.done
	if len(a.options.To) == 0 {
		return nil
	}
	announcement := a.currentAnnouncement()
	leave := upstreamapi.Leave{Name: announcement.Name, Incarnation: announcement.Incarnation}
	var lastErr error
	for _, instance := range a.instances() {
		lastErr = a.post(ctx, instance+upstreamapi.LeavePath, leave, nil)
		if lastErr == nil {
			return nil
		}
	}
	return errors.Wrap(lastErr, "standin: leave")
}

func (a *announcer) run(ctx context.Context) {
	if len(a.options.To) == 0 {
		return
	}
	for ctx.Err() == nil {
		pause := a.announce(ctx)
		select {
		case <-ctx.Done():
		case <-a.trigger:
		case <-a.clock.After(pause):
		}
	}
}

// announce tries the known instances in order and returns the delay until the
// next announcement.
func (a *announcer) announce(ctx context.Context) time.Duration {
	for _, instance := range a.instances() {
		var response upstreamapi.AnnounceResponse
		if a.post(ctx, instance+upstreamapi.AnnouncePath, a.nextAnnouncement(), &response) != nil {
			continue
		}
		a.recordAccepted(instance, response)
		if response.RenewEvery > 0 {
			return response.RenewEvery
		}
		return defaultRenewInterval
	}
	return retryDelay
}

// nextAnnouncement returns the current announcement with the next sequence.
func (a *announcer) nextAnnouncement() upstreamapi.Announcement {
	announcement := a.currentAnnouncement()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	announcement.Sequence = a.sequence
	return announcement
}

// recordAccepted counts an accepted announcement and orders the known instances:
// first the one that responded, then
// those in its response, then the configured ones. The configured ones are never
// removed, because all instances in the response may have been replaced when
// they are needed.
func (a *announcer) recordAccepted(instance string, response upstreamapi.AnnounceResponse) {
	instances := []string{instance}
	for _, other := range slices.Concat(response.Instances, a.options.To) {
		if !slices.Contains(instances, baseURL(other)) {
			instances = append(instances, baseURL(other))
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.knownInstances = instances
	a.accepted++
}

// instances returns the base URLs of the known instances.
func (a *announcer) instances() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	urls := make([]string, 0, len(a.knownInstances))
	for _, instance := range a.knownInstances {
		urls = append(urls, baseURL(instance))
	}
	return urls
}

// post sends in as JSON and decodes the response into out unless out is nil. If
// the status is not 2xx, post returns an error.
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
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "standin: answer")
	}
	if response.StatusCode/100 != 2 {
		return errors.Newf("standin: %s answered %d: %s", url, response.StatusCode, responseBody)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(responseBody, out), "standin: answer")
}

func baseURL(instance string) string {
	if strings.Contains(instance, "://") {
		return strings.TrimSuffix(instance, "/")
	}
	return "http://" + instance
}
