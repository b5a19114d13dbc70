package standin

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// answer is the answer to one completion request. The engine knows it whole from
// the start, and makes its tokens one by one.
type answer struct {
	id      string
	chat    bool
	request completionRequest
	created int64
	tokens  []string
	// first is the number of tokens that another engine has made before.
	first  int
	finish string
}

// newAnswer returns the answer to a request. If the request goes on with an
// answer that does not begin like this one, newAnswer returns an error.
func newAnswer(id string, chat bool, request completionRequest, created int64) (answer, error) {
	a := answer{id: id, chat: chat, request: request, created: created, finish: finishStop}
	a.tokens = Answer(request.lastMessage())
	if limit := request.limit(); limit > 0 && limit < len(a.tokens) {
		a.tokens = a.tokens[:limit]
		a.finish = finishLength
	}
	if from := request.Continue; from != nil {
		if from.Events < 0 || from.Events > len(a.tokens) || strings.Join(a.tokens[:from.Events], "") != from.Text {
			return answer{}, errors.Newf("standin: the answer does not begin with the %d tokens that were given", from.Events)
		}
		a.first = from.Events
	}
	return a, nil
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
