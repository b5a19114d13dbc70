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
	askers     = 12
	submitters = 6
	// submitAttempts is how often one submission is sent, with the same key.
	submitAttempts = 6
	// bothEvery is the number of submissions of which one is sent to two
	// instances at the same moment.
	bothEvery = 4
	// requestTimeout bounds one exchange.
	requestTimeout = 15 * time.Second
)

// startCallers starts callers that send until the returned function is called,
// which waits for their last answers.
func startCallers(ctx context.Context, d *deployment, up *upstreams, t *tally) (stop func()) {
	ending := make(chan struct{})
	var working sync.WaitGroup
	work := func(do func(number int)) {
		working.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-ending:
					return
				default:
					do(number)
				}
			}
		})
	}
	for n := range askers {
		a := newAsker(d, t)
		// Unlike lengths keep the askers from moving through the instances in step.
		text := tail + strings.Repeat(" and more", n)
		work(func(number int) { a.ask(ctx, fmt.Sprintf("asker %d asks number %d%s", n, number, text)) })
	}
	for n := range submitters {
		s := &submitter{caller: caller.New(caller.Options{Known: d.addresses(callerPort)}), tally: t, upstreams: up}
		work(func(number int) { s.submit(ctx, fmt.Sprintf("submission-%d-%d", n, number), number%bothEvery == 0) })
	}
	return func() {
		close(ending)
		working.Wait()
	}
}

// asker asks one question after the other.
type asker struct {
	deployment *deployment
	tally      *tally
	caller     *caller.Caller
	transport  *remembering
}

// remembering is a transport that remembers where the last request went.
type remembering struct {
	http.Transport
	last string
}

func (r *remembering) RoundTrip(request *http.Request) (*http.Response, error) {
	r.last = request.URL.Host
	return r.Transport.RoundTrip(request)
}

func newAsker(d *deployment, t *tally) *asker {
	transport := &remembering{}
	transport.DisableCompression = true
	client := &http.Client{Transport: transport}
	return &asker{
		deployment: d, tally: t, transport: transport,
		caller: caller.New(caller.Options{Known: d.addresses(callerPort), Client: client}),
	}
}

// tail makes each answer a stream of some time.
const tail = " and goes on with words that come back one after the other so that there is always a stream open"

func (a *asker) ask(ctx context.Context, text string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	begun, started := false, time.Now()
	answer, err := a.caller.Ask(ctx, caller.Question{Model: model, Text: text}, func(string) {
		if !begun {
			a.tally.firstTokenAfter(time.Since(started))
		}
		begun = true
	})
	switch {
	case err == nil && answer.Text == text:
		a.tally.add(&a.tally.answers, "")
		a.tally.answeredBy(answer.Entry.Name)
	case err == nil:
		a.tally.add(&a.tally.wrong, fmt.Sprintf("%q was answered by %q", text, answer.Text))
	case !begun:
		a.tally.add(&a.tally.refused, fmt.Sprintf("%.30s: %v", text, err))
	case a.deployment.endedByKill(a.transport.last):
		a.tally.add(&a.tally.killedStreams, "")
	default:
		a.tally.add(&a.tally.cutOff, fmt.Sprintf("%.30s at %s: %v", text, a.transport.last, err))
	}
}

// submitter sends requests that must not run twice.
type submitter struct {
	caller    *caller.Caller
	tally     *tally
	upstreams *upstreams
}

// fate is what a caller knows of its submission.
type fate struct {
	whole bool
	wrong bool
	// notRun says that it was told so.
	notRun bool
	reason string
}

// submit sends a submission until it is answered or there were too many tries.
func (s *submitter) submit(ctx context.Context, key string, both bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	last, notRun := fate{}, true
	for attempt := range submitAttempts {
		entries, err := s.caller.Entries(ctx)
		if err != nil {
			last.reason = err.Error()
			continue
		}
		fates := make(chan fate, 2)
		send := func(n int) { fates <- s.send(ctx, entries[n%len(entries)].Address, key) }
		sent := 1
		if both && attempt == 0 {
			sent = 2
			go send(attempt + 1)
		}
		send(attempt)
		for range sent {
			got := <-fates
			notRun = notRun && got.notRun
			if !last.whole {
				last = got
			}
		}
		if last.whole || last.wrong || !pause.For(ctx, 10*again) {
			break
		}
	}
	s.count(key, last, notRun)
}

func (s *submitter) count(key string, last fate, notRun bool) {
	runs := s.upstreams.runs(key)
	switch {
	case last.wrong:
		s.tally.add(&s.tally.wrong, key+": "+last.reason)
	case last.whole:
		s.tally.add(&s.tally.submissions, "")
		if runs == 0 {
			s.tally.add(&s.tally.lost, key)
		}
	case notRun:
		s.tally.add(&s.tally.refused, key+": "+last.reason)
		if runs > 0 {
			s.tally.add(&s.tally.ranThoughNotRun, key)
		}
	default:
		s.tally.add(&s.tally.open, key+": "+last.reason)
	}
}

func (s *submitter) send(ctx context.Context, address, key string) fate {
	body := "the whole text of " + key
	url := "http://" + address + "/services/" + service + "/submissions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return fate{reason: err.Error()}
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// A connection that was not made carried nothing.
		return fate{notRun: isDial(err), reason: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fate{reason: err.Error()}
	}
	if response.StatusCode != http.StatusOK {
		notRun := response.Header.Get(outcome.Header) == outcome.NotRun.String()
		return fate{notRun: notRun, reason: fmt.Sprintf("%s: %d %s", address, response.StatusCode, text)}
	}
	if string(text) != body {
		return fate{wrong: true, reason: fmt.Sprintf("%s answered %q", address, text)}
	}
	return fate{whole: true}
}

func isDial(err error) bool {
	var failed interface{ Timeout() bool }
	return errors.As(err, &failed) && bytes.Contains([]byte(err.Error()), []byte("connection refused"))
}
