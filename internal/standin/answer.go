package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// answer is one completion under way.
type answer struct {
	id      string
	chat    bool
	request completionRequest
	created int64
	tokens  []string
	finish  string
}

// completions answers POST /v1/chat/completions and /v1/completions.
func (e *Engine) completions(c echo.Context) error {
	var request completionRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return refuse(c, &refusal{http.StatusBadRequest, "invalid_body", "standin: body: " + err.Error()})
	}
	id := c.Request().Header.Get(upstreamapi.RequestIDHeader)
	if refused := e.begin(id, request.Model); refused != nil {
		return refuse(c, refused)
	}
	defer e.end()
	a := newAnswer(id, strings.HasPrefix(c.Path(), "/v1/chat/"), request, e.clock.Now().Unix())
	if request.Stream {
		return e.stream(c, a)
	}
	return e.whole(c, a)
}

func newAnswer(id string, chat bool, request completionRequest, created int64) answer {
	a := answer{id: id, chat: chat, request: request, created: created, finish: finishStop}
	a.tokens = Answer(request.lastMessage())
	if limit := request.limit(); limit > 0 && limit < len(a.tokens) {
		a.tokens = a.tokens[:limit]
		a.finish = finishLength
	}
	return a
}

func (e *Engine) whole(c echo.Context, a answer) error {
	for i := range a.tokens {
		if err := e.waitToken(c, i); err != nil {
			return err
		}
	}
	return c.JSON(http.StatusOK, a.complete())
}

func (e *Engine) stream(c echo.Context, a answer) error {
	header := c.Response().Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-store")
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	for i := range a.tokens {
		if err := e.waitToken(c, i); err != nil {
			return err
		}
		if err := writeEvent(c, a.chunk(i)); err != nil {
			return err
		}
	}
	if err := writeEvent(c, a.last()); err != nil {
		return err
	}
	if _, err := fmt.Fprint(c.Response(), "data: [DONE]\n\n"); err != nil {
		return errors.Wrap(err, "standin: write")
	}
	c.Response().Flush()
	return nil
}

func (e *Engine) waitToken(c echo.Context, index int) error {
	delay := e.options.TokenDelay
	if index == 0 {
		delay = e.options.FirstTokenDelay
	}
	return e.wait(c.Request().Context(), delay)
}

func writeEvent(c echo.Context, event completion) error {
	data, err := json.Marshal(event)
	if err != nil {
		return errors.Wrap(err, "standin: encode")
	}
	if _, err := fmt.Fprintf(c.Response(), "data: %s\n\n", data); err != nil {
		return errors.Wrap(err, "standin: write")
	}
	c.Response().Flush()
	return nil
}

// complete returns the whole answer.
func (a answer) complete() completion {
	text := strings.Join(a.tokens, "")
	whole := a.envelope(objectTextCompletion)
	whole.Choices = []choice{{Text: &text, FinishReason: &a.finish}}
	if a.chat {
		whole.Object = objectChat
		whole.Choices = []choice{{
			Message:      &answerMessage{Role: "assistant", Content: text},
			FinishReason: &a.finish,
		}}
	}
	whole.Usage = a.usage()
	return whole
}

// chunk returns the event that carries the token at index.
func (a answer) chunk(index int) completion {
	event := a.envelope(objectTextCompletion)
	event.Choices = []choice{{Text: &a.tokens[index]}}
	if a.chat {
		event.Object = objectChatChunk
		delta := answerMessage{Content: a.tokens[index]}
		if index == 0 {
			delta.Role = "assistant"
		}
		event.Choices = []choice{{Delta: &delta}}
	}
	return event
}

// last returns the event after the last token, which says why the answer ended
// and carries the usage if that was asked for.
func (a answer) last() completion {
	empty := ""
	event := a.envelope(objectTextCompletion)
	event.Choices = []choice{{Text: &empty, FinishReason: &a.finish}}
	if a.chat {
		event.Object = objectChatChunk
		event.Choices = []choice{{Delta: &answerMessage{}, FinishReason: &a.finish}}
	}
	if a.request.StreamOptions != nil && a.request.StreamOptions.IncludeUsage {
		event.Usage = a.usage()
	}
	return event
}

func (a answer) envelope(object string) completion {
	return completion{ID: "cmpl-" + a.id, Object: object, Created: a.created, Model: a.request.Model}
}

func (a answer) usage() *usage {
	prompt := len(a.request.prompt())
	return &usage{
		PromptTokens:     prompt,
		CompletionTokens: len(a.tokens),
		TotalTokens:      prompt + len(a.tokens),
	}
}
