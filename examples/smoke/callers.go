package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/caller"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/pause"
)

const (
	chatClientCount   = 12
	submitClientCount = 6
	// maxSubmitAttempts is the maximum number of times that one submission is
	// sent, with the same idempotency key.
	maxSubmitAttempts = 6
	// One of every concurrentSubmitInterval submissions is sent to two
	// instances at the same time.
	concurrentSubmitInterval = 4
	// requestTimeout limits a question or a submission with all its retries.
	requestTimeout = 15 * time.Second
)

// startCallers starts clients that send requests until stop is called. stop
// waits for their last responses.
func startCallers(ctx context.Context, d *deployment, up *testUpstreams, t *tally) (stop func()) {
	stopping := make(chan struct{})
	var clients sync.WaitGroup
	loop := func(do func(number int)) {
		clients.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stopping:
					return
				default:
					do(number)
				}
			}
		})
	}
	for n := range chatClientCount {
		client := newChatClient(d, t)
		// Different lengths prevent the clients from cycling through the
		// instances in lockstep.
		suffix := questionSuffix + strings.Repeat(" and more", n)
		loop(func(number int) { client.ask(ctx, fmt.Sprintf("asker %d asks number %d%s", n, number, suffix)) })
	}
	for n := range submitClientCount {
		client := &submitClient{caller: caller.New(caller.Options{Seeds: d.addresses(callerPort)}), tally: t, upstreams: up}
		loop(func(number int) {
			client.submit(ctx, fmt.Sprintf("submission-%d-%d", n, number), number%concurrentSubmitInterval == 0)
		})
	}
	return func() {
		close(stopping)
		clients.Wait()
	}
}

// chatClient asks one question at a time and checks the streamed answers.
type chatClient struct {
	deployment *deployment
	tally      *tally
	caller     *caller.Caller
	recorder   *lastHostTransport
}

// lastHostTransport records the host of the last request.
type lastHostTransport struct {
	http.Transport
	lastHost string
}

func (r *lastHostTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	r.lastHost = request.URL.Host
	return r.Transport.RoundTrip(request)
}

func newChatClient(d *deployment, t *tally) *chatClient {
	recorder := &lastHostTransport{}
	recorder.DisableCompression = true
	client := &http.Client{Transport: recorder}
	return &chatClient{
		deployment: d, tally: t, recorder: recorder,
		caller: caller.New(caller.Options{Seeds: d.addresses(callerPort), Client: client}),
	}
}

// questionSuffix makes each answer long enough that a stream is open most of
// the time.
const questionSuffix = " and goes on with words that come back one after the other so that there is always a stream open"

func (c *chatClient) ask(ctx context.Context, text string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	receivedToken, startedAt := false, time.Now()
	answer, err := c.caller.Complete(ctx, caller.Request{Model: model, Prompt: text}, func(string) {
		if !receivedToken {
			c.tally.recordFirstToken(time.Since(startedAt))
		}
		receivedToken = true
	})
	switch {
	case err == nil && answer.Text == text:
		c.tally.add(&c.tally.answers, "")
		c.tally.recordAnswer(answer.Entry.Name)
	case err == nil:
		c.tally.add(&c.tally.wrongAnswers, fmt.Sprintf("%q was answered by %q", text, answer.Text))
	case !receivedToken:
		c.tally.add(&c.tally.rejected, fmt.Sprintf("%.30s: %v", text, err))
	case c.deployment.interruptedByKill(c.recorder.lastHost):
		c.tally.add(&c.tally.streamsEndedByKill, "")
	default:
		c.tally.add(&c.tally.interruptedStreams, fmt.Sprintf("%.30s at %s: %v", text, c.recorder.lastHost, err))
	}
}

// submitClient sends requests that must not run twice.
type submitClient struct {
	caller    *caller.Caller
	tally     *tally
	upstreams *testUpstreams
}

// submitResult is the outcome of one attempt as the client sees it.
type submitResult struct {
	complete bool
	mismatch bool
	// notRun is set if the request was certainly not run.
	notRun bool
	reason string
}

// submit sends a submission until it is answered or the attempts are exhausted.
func (s *submitClient) submit(ctx context.Context, key string, concurrent bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	lastResult, notRun := submitResult{}, true
	for attempt := range maxSubmitAttempts {
		entries, err := s.caller.Entries(ctx)
		if err != nil {
			lastResult.reason = err.Error()
			continue
		}
		results := make(chan submitResult, 2)
		send := func(n int) { results <- s.post(ctx, entries[n%len(entries)].Address, key) }
		pending := 1
		if concurrent && attempt == 0 {
			pending = 2
			go send(attempt + 1)
		}
		send(attempt)
		for range pending {
			result := <-results
			notRun = notRun && result.notRun
			if !lastResult.complete {
				lastResult = result
			}
		}
		if lastResult.complete || lastResult.mismatch || !pause.For(ctx, 10*retryInterval) {
			break
		}
	}
	s.recordOutcome(key, lastResult, notRun)
}

func (s *submitClient) recordOutcome(key string, lastResult submitResult, notRun bool) {
	runs := s.upstreams.runCount(key)
	switch {
	case lastResult.mismatch:
		s.tally.add(&s.tally.wrongAnswers, key+": "+lastResult.reason)
	case lastResult.complete:
		s.tally.add(&s.tally.submissions, "")
		if runs == 0 {
			s.tally.add(&s.tally.answeredNotRun, key)
		}
	case notRun:
		s.tally.add(&s.tally.rejected, key+": "+lastResult.reason)
		if runs > 0 {
			s.tally.add(&s.tally.ranDespiteNotRun, key)
		}
	default:
		s.tally.add(&s.tally.unknownOutcomes, key+": "+lastResult.reason)
	}
}

func (s *submitClient) post(ctx context.Context, address, key string) submitResult {
	body := "the whole text of " + key
	url := "http://" + address + "/services/" + service + "/submissions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return submitResult{reason: err.Error()}
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// A request whose connection was refused was not sent.
		return submitResult{notRun: isConnectionRefused(err), reason: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return submitResult{reason: err.Error()}
	}
	if response.StatusCode != http.StatusOK {
		notRun := response.Header.Get(outcome.Header) == outcome.NotRun.String()
		return submitResult{notRun: notRun, reason: fmt.Sprintf("%s: %d %s", address, response.StatusCode, text)}
	}
	if string(text) != body {
		return submitResult{mismatch: true, reason: fmt.Sprintf("%s answered %q", address, text)}
	}
	return submitResult{complete: true}
}

func isConnectionRefused(err error) bool {
	var netErr interface{ Timeout() bool }
	return errors.As(err, &netErr) && bytes.Contains([]byte(err.Error()), []byte("connection refused"))
}
