package standin_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

func post(handler http.Handler, path, id, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(upstreamapi.RequestIDHeader, id)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w
}

type completionBody struct {
	Object  string
	Model   string
	Choices []struct {
		Message, Delta struct{ Role, Content string }
		Text           string
		FinishReason   *string `json:"finish_reason"`
	}
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
}

func decode(text string) completionBody {
	var a completionBody
	ExpectWithOffset(1, json.Unmarshal([]byte(text), &a)).To(Succeed())
	return a
}

// events returns the data of each event in a stream whose ids start after the
// given one. The end marker has no id.
func events(stream string, after int) []string {
	var all []string
	for i, event := range strings.Split(strings.TrimSuffix(stream, "\n\n"), "\n\n") {
		data, found := strings.CutPrefix(event, fmt.Sprintf("id: %d\ndata: ", after+1+i))
		if !found {
			data, found = "[DONE]", event == "data: [DONE]"
		}
		ExpectWithOffset(1, found).To(BeTrue(), event)
		all = append(all, data)
	}
	return all
}

// deltas returns the concatenated text of a stream and the number of its events
// before the end marker.
func deltas(stream string, after int) (text string, count int) {
	for _, event := range events(stream, after) {
		if event == "[DONE]" {
			break
		}
		a := decode(event)
		text += a.Choices[0].Delta.Content
		count++
	}
	return text, count
}

var letters = []upstreamapi.Resident{{Model: "letters", Adapters: []string{"letters-clerk"}}}

var _ = Describe("Engine", func() {
	var engine *standin.Engine

	BeforeEach(func() {
		engine = standin.NewEngine(standin.EngineOptions{Name: "engine-1", Resident: letters})
	})

	It("answers a chat completion with the words of its last message", func() {
		w := post(engine, "/v1/chat/completions", "r1",
			`{"model":"letters","messages":[{"role":"system","content":"be brief"},{"role":"user","content":"excuse juror nine"}]}`)
		Expect(w.Code).To(Equal(http.StatusOK))
		a := decode(w.Body.String())
		Expect(a.Object).To(Equal("chat.completion"))
		Expect(a.Choices[0].Message.Content).To(Equal("excuse juror nine"))
		Expect(*a.Choices[0].FinishReason).To(Equal("stop"))
		Expect(a.Usage.PromptTokens).To(Equal(5))
		Expect(a.Usage.CompletionTokens).To(Equal(3))
		Expect(a.Usage.TotalTokens).To(Equal(8))
		Expect(engine.Runs("r1")).To(Equal(1))
	})

	It("streams one event per token, a final event with the usage, and the end marker", func() {
		w := post(engine, "/v1/chat/completions", "r1",
			`{"model":"letters-clerk","stream":true,"stream_options":{"include_usage":true},
			  "messages":[{"role":"user","content":[{"type":"text","text":"excuse juror nine"}]}]}`)
		Expect(w.Header().Get("Content-Type")).To(Equal("text/event-stream"))
		streamed := events(w.Body.String(), 0)
		Expect(streamed).To(HaveLen(5))
		text := ""
		for _, event := range streamed[:3] {
			a := decode(event)
			Expect(a.Choices[0].FinishReason).To(BeNil())
			text += a.Choices[0].Delta.Content
		}
		Expect(text).To(Equal("excuse juror nine"))
		last := decode(streamed[3])
		Expect(*last.Choices[0].FinishReason).To(Equal("stop"))
		Expect(last.Usage.CompletionTokens).To(Equal(3))
		Expect(streamed[4]).To(Equal("[DONE]"))
	})

	It("answers a text completion up to its token limit", func() {
		w := post(engine, "/v1/completions", "r1", `{"model":"letters","prompt":"one two three","max_tokens":2}`)
		a := decode(w.Body.String())
		Expect(a.Object).To(Equal("text_completion"))
		Expect(a.Choices[0].Text).To(Equal("one two"))
		Expect(*a.Choices[0].FinishReason).To(Equal("length"))
	})

	It("lists the loaded models and adapters", func() {
		w := httptest.NewRecorder()
		engine.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/models", nil))
		Expect(w.Body.String()).To(MatchJSON(`{"object":"list","data":[
			{"id":"letters","object":"model","owned_by":"engine-1"},
			{"id":"letters-clerk","object":"model","owned_by":"letters"}]}`))
	})

	DescribeTable("marks a rejected request as not run",
		func(body string, status int) {
			w := post(engine, "/v1/chat/completions", "r1", body)
			Expect(w.Code).To(Equal(status))
			Expect(w.Header().Get(upstreamapi.RefusedHeader)).To(Equal(upstreamapi.RefusedNotRun))
			Expect(engine.Runs("r1")).To(BeZero())
		},
		Entry("a model that is not loaded", `{"model":"other","messages":[]}`, http.StatusNotFound),
		Entry("a broken body", `{"model":`, http.StatusBadRequest),
		Entry("a part that is not text", `{"model":"letters","messages":[{"content":[{"type":"image"}]}]}`, http.StatusBadRequest),
	)

	// Two requests compete for the only slot of an engine. The second is
	// rejected at once as not run, while the first is still waiting for its
	// tokens.
	It("rejects requests beyond its limit and follows the injected clock", func() {
		clock := standin.NewManualClock(start)
		engine = standin.NewEngine(standin.EngineOptions{
			Name: "engine-1", Resident: letters, MaxRunning: 1, Clock: clock,
			FirstTokenDelay: time.Second, TokenDelay: 100 * time.Millisecond,
		})
		body := `{"model":"letters","prompt":"one two"}`
		first := make(chan *httptest.ResponseRecorder)
		go func() {
			defer GinkgoRecover()
			first <- post(engine, "/v1/completions", "r1", body)
		}()
		clock.AwaitTimers(1)
		second := post(engine, "/v1/completions", "r2", body)
		Expect(second.Code).To(Equal(http.StatusTooManyRequests))
		Expect(engine.Runs("r2")).To(BeZero())

		clock.Advance(time.Second)
		clock.AwaitTimers(1)
		Expect(first).NotTo(Receive())
		clock.Advance(100 * time.Millisecond)
		Expect(decode((<-first).Body.String()).Choices[0].Text).To(Equal("one two"))
	})
})
