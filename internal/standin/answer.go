package standin

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// answer is the answer to one completion request. The engine knows all its
// tokens from the start and emits them one by one.
type answer struct {
	id                 string
	chat               bool
	request            completionRequest
	createdUnixSeconds int64
	tokens             []string
	// continuedTokens is the number of leading tokens that another engine
	// generated before.
	continuedTokens int
	finishReason    string
}

// newAnswer returns an error if the request continues an answer that does not
// match the start of this one.
func newAnswer(id string, chat bool, request completionRequest, createdUnixSeconds int64) (answer, error) {
	a := answer{id: id, chat: chat, request: request, createdUnixSeconds: createdUnixSeconds, finishReason: finishStop}
	a.tokens = AnswerTokens(request.lastMessageText())
	if limit := request.maxTokens(); limit > 0 && limit < len(a.tokens) {
		a.tokens = a.tokens[:limit]
		a.finishReason = finishLength
	}
	if from := request.Continue; from != nil {
		if from.Events < 0 || from.Events > len(a.tokens) || strings.Join(a.tokens[:from.Events], "") != from.Text {
			return answer{}, errors.Newf("standin: the answer does not begin with the %d tokens that were given", from.Events)
		}
		a.continuedTokens = from.Events
	}
	return a, nil
}

// wholeCompletion returns the whole response.
func (a answer) wholeCompletion() completion {
	text := strings.Join(a.tokens, "")
	response := a.envelope(objectTextCompletion)
	response.Choices = []choice{{Text: &text, FinishReason: &a.finishReason}}
	if a.chat {
		response.Object = objectChat
		response.Choices = []choice{{
			Message:      &answerMessage{Role: "assistant", Content: text},
			FinishReason: &a.finishReason,
		}}
	}
	response.Usage = a.usage()
	return response
}

// chunk returns the event with the token at index.
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

// finalChunk returns the event after the last token, with the finish reason
// and, if requested, the usage.
func (a answer) finalChunk() completion {
	empty := ""
	event := a.envelope(objectTextCompletion)
	event.Choices = []choice{{Text: &empty, FinishReason: &a.finishReason}}
	if a.chat {
		event.Object = objectChatChunk
		event.Choices = []choice{{Delta: &answerMessage{}, FinishReason: &a.finishReason}}
	}
	if a.request.StreamOptions != nil && a.request.StreamOptions.IncludeUsage {
		event.Usage = a.usage()
	}
	return event
}

func (a answer) envelope(object string) completion {
	return completion{ID: "cmpl-" + a.id, Object: object, Created: a.createdUnixSeconds, Model: a.request.Model}
}

func (a answer) usage() *usage {
	prompt := len(a.request.promptWords())
	return &usage{
		PromptTokens:     prompt,
		CompletionTokens: len(a.tokens),
		TotalTokens:      prompt + len(a.tokens),
	}
}
