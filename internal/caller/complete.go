package caller

import (
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

// Request is a request for a chat completion.
type Request struct {
	// Service is the service that the request belongs to. It may be empty.
	Service string
	Model   string
	Prompt  string
}

// Response is a complete response.
type Response struct {
	// Entry is the instance that responded.
	Entry Entry
	Text  string
	// Attempts is the number of times the request was sent.
	Attempts int
}

const maxAttempts = 4

// serviceHeader names the service that a request belongs to.
const serviceHeader = "Lovagelift-Service"

// Complete sends a chat completion request and calls onChunk with each chunk of text as it
// arrives. A completion has no side effects, so Complete retries on the next instance if an
// attempt fails before the first chunk, unless the response has a 4xx status. Once all
// entries have failed, it first waits for the retry delay of the last response. If Complete
// receives no complete response, it returns an *Error.
func (c *Caller) Complete(ctx context.Context, request Request, onChunk func(string)) (Response, error) {
	var lastErr error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		entries, err := c.Entries(ctx)
		if err != nil {
			return Response{}, &Error{Outcome: outcome.NotRun, Message: err.Error()}
		}
		entry := c.pick(entries)
		started := false
		text, err := c.stream(ctx, entry, request, func(chunk string) {
			started = true
			onChunk(chunk)
		})
		if err == nil {
			return Response{Entry: entry, Text: text, Attempts: attempt}, nil
		}
		lastErr = err
		if started || isFinal(err) || ctx.Err() != nil {
			break
		}
		c.expireEntries()
		if attempt%len(entries) == 0 && !pause.For(ctx, retryDelay(err)) {
			break
		}
	}
	return Response{}, lastErr
}

// Limits of the delay before a failed instance is tried again.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

func retryDelay(err error) time.Duration {
	var callErr *Error
	if !errors.As(err, &callErr) {
		return minRetryDelay
	}
	return max(minRetryDelay, min(callErr.RetryAfter, maxRetryDelay))
}

// isFinal reports whether every instance would respond with the same error.
func isFinal(err error) bool {
	var callErr *Error
	if !errors.As(err, &callErr) {
		return false
	}
	return callErr.Status >= http.StatusBadRequest && callErr.Status < http.StatusInternalServerError
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
	ctx context.Context, entry Entry, request Request, onChunk func(string),
) (string, error) {
	body, err := json.Marshal(chatRequest{
		Model:    request.Model,
		Messages: []chatMessage{{Role: "user", Content: request.Prompt}},
		Stream:   true,
	})
	if err != nil {
		return "", errors.Wrap(err, "caller: question")
	}
	url := c.url(entry.Address, "/v1/chat/completions")
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return "", errors.Wrap(err, "caller: question")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	if request.Service != "" {
		httpRequest.Header.Set(serviceHeader, request.Service)
	}
	response, err := c.options.Client.Do(httpRequest)
	if err != nil {
		return "", &Error{Outcome: outcome.Unknown, Message: err.Error()}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", errorFromResponse(response)
	}
	return readEvents(response.Body, onChunk)
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

// readEvents reads server-sent events up to the final one, "[DONE]". If the stream
// ends earlier, or has more than maxAnswerBytes, readEvents returns an *Error.
func readEvents(body io.Reader, onChunk func(string)) (string, error) {
	var text strings.Builder
	events := newEventStream(body)
	for data, ok := events.next(); ok; data, ok = events.next() {
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
			onChunk(choice.Delta.Content)
		}
	}
	message := "the answer ended before it was whole"
	if err := events.err(); err != nil {
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

// maxErrorBytes limits how much of the body of an error response is read.
const maxErrorBytes = 64 << 10

// errorFromResponse returns the Error that describes an error response.
func errorFromResponse(response *http.Response) *Error {
	callErr := &Error{
		Status:  response.StatusCode,
		Message: "status " + strconv.Itoa(response.StatusCode),
	}
	if parsed, err := outcome.Parse(response.Header.Get(outcome.Header)); err == nil {
		callErr.Outcome = parsed
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		callErr.RetryAfter = time.Duration(seconds) * time.Second
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return callErr
	}
	var parsed errorBody
	if json.Unmarshal(body, &parsed) == nil && parsed.Error.Message != "" {
		callErr.Message = parsed.Error.Message
		callErr.Code = parsed.Error.Code
	}
	return callErr
}
