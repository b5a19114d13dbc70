package standin

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Object types of the OpenAI-compatible API.
const (
	objectChat           = "chat.completion"
	objectChatChunk      = "chat.completion.chunk"
	objectTextCompletion = "text_completion"
)

// finishStop and finishLength are the reasons for the end of an answer: it is
// complete, or it reached the request's token limit.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// completionRequest is the body of a chat completion or text completion
// request.
type completionRequest struct {
	Model string `json:"model"`
	// Messages is set in a chat completion request.
	Messages []chatMessage `json:"messages"`
	// Prompt is set in a text completion request.
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	// Continue makes the engine continue an answer that another engine began.
	Continue *upstreamapi.ContinueFrom `json:"lovagelift-continue"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message, encoded as a string or as a list of
// parts.
type chatContent string

// UnmarshalJSON accepts both forms. It returns an error if a part is not text.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.Wrap(err, "standin: content")
	}
	var all strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.Newf("standin: content part %q is no text", part.Type)
		}
		all.WriteString(part.Text)
	}
	*c = chatContent(all.String())
	return nil
}

// promptWords returns all words of the prompt or of the messages.
func (r completionRequest) promptWords() []string {
	words := strings.Fields(r.Prompt)
	for _, message := range r.Messages {
		words = append(words, strings.Fields(string(message.Content))...)
	}
	return words
}

func (r completionRequest) lastMessageText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	return string(r.Messages[len(r.Messages)-1].Content)
}

func (r completionRequest) maxTokens() int {
	return max(r.MaxTokens, r.MaxCompletionTokens)
}

// AnswerTokens returns the tokens with which an Engine answers a request whose
// last message, or prompt, is text: the words of text, each except the first
// with a leading space. The answer to an empty text is one token.
func AnswerTokens(text string) []string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return []string{"(nothing)"}
	}
	for i := range words[1:] {
		words[i+1] = " " + words[i+1]
	}
	return words
}

// completion is a whole response or a chunk of one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index int `json:"index"`
	// Message is set in a whole chat response, Delta in a chunk of one, and
	// Text in a text response or a chunk of one.
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code,omitempty"`
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
