package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/pause"
)

// Question is a request for a chat completion.
type Question struct {
	// Service is the service that the question belongs to. It may be empty.
	Service string
	Model   string
	Text    string
}

// Answer is a whole answer.
type Answer struct {
	// Entry is the instance that gave the answer.
	Entry Entry
	Text  string
	// Attempts is the number of instances that were asked.
	Attempts int
}

// askAttempts is how many instances one question is sent to at the most.
const askAttempts = 4

// serviceHeader names the service that a request belongs to.
const serviceHeader = "Lovagelift-Service"

// Ask sends a question and calls token with each piece of the answer as it
// comes. A completion changes nothing, so Ask tries another instance after any
// failure before the first piece. Once all have failed, it waits as long as it
// was told to before it goes on. If no whole answer comes, Ask returns an
// *Error.
func (c *Caller) Ask(ctx context.Context, question Question, token func(string)) (Answer, error) {
	var last error
	for attempt := 1; attempt <= askAttempts; attempt++ {
		entries, err := c.Entries(ctx)
		if err != nil {
			return Answer{}, &Error{Outcome: outcome.NotRun, Message: err.Error()}
		}
		entry := c.pick(entries)
		started := false
		text, err := c.stream(ctx, entry, question, func(piece string) {
			started = true
			token(piece)
		})
		if err == nil {
			return Answer{Entry: entry, Text: text, Attempts: attempt}, nil
		}
		last = err
		if started || isFinal(err) || ctx.Err() != nil {
			break
		}
		c.forget()
		if attempt%len(entries) == 0 && !pause.For(ctx, retryAfterOf(err)) {
			break
		}
	}
	return Answer{}, last
}

// The bounds of the wait before an instance is asked again.
const (
	minWait = 100 * time.Millisecond
	maxWait = 5 * time.Second
)

func retryAfterOf(err error) time.Duration {
	var failure *Error
	if !errors.As(err, &failure) {
		return minWait
	}
	return max(minWait, min(failure.RetryAfter, maxWait))
}

// isFinal reports whether another instance would answer the same.
func isFinal(err error) bool {
	var failure *Error
	if !errors.As(err, &failure) {
		return false
	}
	return failure.Status >= http.StatusBadRequest && failure.Status < http.StatusInternalServerError
}

type chatRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *Caller) stream(
	ctx context.Context, entry Entry, question Question, token func(string),
) (string, error) {
	body, err := json.Marshal(chatRequest{
		Model:    question.Model,
		Messages: []chatMessage{{Role: "user", Content: question.Text}},
		Stream:   true,
	})
	if err != nil {
		return "", errors.Wrap(err, "caller: question")
	}
	url := c.url(entry.Address, "/v1/chat/completions")
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return "", errors.Wrap(err, "caller: question")
	}
	request.Header.Set("Content-Type", "application/json")
	if question.Service != "" {
		request.Header.Set(serviceHeader, question.Service)
	}
	response, err := c.options.Client.Do(request)
	if err != nil {
		return "", &Error{Outcome: outcome.Unknown, Message: err.Error()}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", refused(response)
	}
	return readEvents(response.Body, token)
}

type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

// maxEventBytes bounds one line of a stream of events.
const maxEventBytes = 1 << 20

// readEvents reads a stream of events up to its last one. If the stream ends
// before, readEvents returns an *Error.
func readEvents(body io.Reader, token func(string)) (string, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var event chatEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return "", &Error{Outcome: outcome.Ran, Message: "an event is no JSON: " + err.Error()}
		}
		if event.Error != nil {
			return "", &Error{Outcome: outcome.Ran, Code: event.Error.Code, Message: event.Error.Message}
		}
		for _, choice := range event.Choices {
			if choice.Delta.Content == "" {
				continue
			}
			text.WriteString(choice.Delta.Content)
			token(choice.Delta.Content)
		}
	}
	message := "the answer ended before it was whole"
	if err := scanner.Err(); err != nil {
		message += ": " + err.Error()
	}
	return "", &Error{Outcome: outcome.Ran, Message: message}
}

type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

// maxErrorBytes bounds the body of an error that is read.
const maxErrorBytes = 64 << 10

func refused(response *http.Response) *Error {
	failure := &Error{
		Status:  response.StatusCode,
		Message: "status " + strconv.Itoa(response.StatusCode),
	}
	if parsed, err := outcome.Parse(response.Header.Get(outcome.Header)); err == nil {
		failure.Outcome = parsed
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return failure
	}
	var parsed errorBody
	if json.Unmarshal(body, &parsed) == nil && parsed.Error.Message != "" {
		failure.Message = parsed.Error.Message
		failure.Code = parsed.Error.Code
	}
	return failure
}
