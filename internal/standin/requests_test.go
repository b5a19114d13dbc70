package standin_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const longStream = `{"model":"letters","stream":true,"messages":[{"role":"user","content":"a b c d e f"}]}`

func sendRequest(server *httptest.Server, method, path, body string, header map[string]string) *http.Response {
	r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := server.Client().Do(r)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return response
}

// readEvents returns the next n events of a stream verbatim.
func readEvents(reader *bufio.Reader, n int) string {
	var read strings.Builder
	for n > 0 {
		line, err := reader.ReadString('\n')
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		read.WriteString(line)
		if line == "\n" {
			n--
		}
	}
	return read.String()
}

func requestState(handler http.Handler, id string) upstreamapi.RequestStatus {
	var status upstreamapi.RequestStatus
	get(handler, upstreamapi.RequestsPath+"/"+id, &status)
	return status
}

func cancel(handler http.Handler, id string) upstreamapi.RequestState {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, upstreamapi.RequestsPath+"/"+id, nil))
	var status upstreamapi.RequestStatus
	ExpectWithOffset(1, json.Unmarshal(w.Body.Bytes(), &status)).To(Succeed())
	return status.State
}

var _ = Describe("Requests", func() {
	var (
		clock   *standin.ManualClock
		options standin.EngineOptions
		engine  *standin.Engine
		server  *httptest.Server
	)

	BeforeEach(func() {
		clock = standin.NewManualClock(start)
		options = standin.EngineOptions{
			Name: "engine-1", Resident: letters, Clock: clock,
			TokenDelay: time.Second, ResumeWindow: 10 * time.Second, CachedPrefixes: 2,
		}
	})

	JustBeforeEach(func() {
		engine = standin.NewEngine(options)
		server = httptest.NewServer(engine)
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
			_ = engine.Close(context.Background())
		})
	})

	startStream := func() (*http.Response, *bufio.Reader) {
		response := sendRequest(server, http.MethodPost, "/v1/chat/completions", longStream,
			map[string]string{upstreamapi.RequestIDHeader: "r1"})
		return response, bufio.NewReader(response.Body)
	}

	resume := func(after int) string {
		response := sendRequest(server, http.MethodGet, upstreamapi.RequestsPath+"/r1"+upstreamapi.StreamSuffix, "",
			map[string]string{upstreamapi.LastEventIDHeader: strconv.Itoa(after)})
		defer response.Body.Close()
		rest, err := io.ReadAll(response.Body)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		return string(rest)
	}

	// advanceTokens advances the clock by the delays of n tokens.
	advanceTokens := func(n int) {
		for range n {
			clock.AwaitTimers(1)
			clock.Advance(time.Second)
		}
	}

	// The connection goes silent and the client resumes the stream on a new
	// one. The engine kept generating the answer: the client receives the rest
	// with no event missing or duplicated, and the old connection is closed
	// before its end marker.
	It("resumes a stream on another connection", func() {
		first, reader := startStream()
		defer first.Body.Close()
		advanceTokens(1)
		before := readEvents(reader, 2)
		rest := make(chan string)
		go func() {
			defer GinkgoRecover()
			rest <- resume(2)
		}()
		_, err := io.ReadAll(reader)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		advanceTokens(4)
		text, count := deltas(before+<-rest, 0)
		Expect(text).To(Equal("a b c d e f"))
		Expect(count).To(Equal(7))
		Expect(requestState(engine, "r1")).To(Equal(
			upstreamapi.RequestStatus{ID: "r1", State: upstreamapi.RequestFinished, Events: 7}))
		Expect(engine.Runs("r1")).To(Equal(1))
		Expect(resume(6)).To(HavePrefix("id: 7\n"))
		Expect(resume(7)).To(Equal("data: [DONE]\n\n"))
	})

	It("rejects resuming without a stream or from an invalid event", func() {
		response := sendRequest(server, http.MethodGet, upstreamapi.RequestsPath+"/r9"+upstreamapi.StreamSuffix, "", nil)
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		post(engine, "/v1/completions", "r1", `{"model":"letters","prompt":"one"}`)
		for _, id := range []string{"-1", "3", "x"} {
			response := sendRequest(server, http.MethodGet, upstreamapi.RequestsPath+"/r1"+upstreamapi.StreamSuffix, "",
				map[string]string{upstreamapi.LastEventIDHeader: id})
			response.Body.Close()
			Expect(response.StatusCode).To(Equal(http.StatusUnprocessableEntity), id)
		}
	})

	// A client disconnects for good. The engine keeps generating for the resume
	// window and then frees the slot.
	It("cancels an answer that is not resumed in time", func() {
		first, reader := startStream()
		readEvents(reader, 1)
		first.Body.Close()
		clock.AwaitTimers(1)
		Eventually(func() upstreamapi.RequestState {
			clock.Advance(11 * time.Second)
			return requestState(engine, "r1").State
		}).Should(Equal(upstreamapi.RequestCancelled))
		Eventually(func() int { return engine.Announcement().Load.Running }).Should(BeZero())
	})

	Context("without a resume window", func() {
		BeforeEach(func() { options.ResumeWindow = 0 })

		It("cancels an answer when its connection closes", func() {
			first, reader := startStream()
			readEvents(reader, 1)
			first.Body.Close()
			Eventually(func() upstreamapi.RequestState {
				return requestState(engine, "r1").State
			}).Should(Equal(upstreamapi.RequestCancelled))
		})
	})

	It("cancels a stream and closes it before its end marker", func() {
		first, reader := startStream()
		defer first.Body.Close()
		readEvents(reader, 1)
		Expect(requestState(engine, "r1").State).To(Equal(upstreamapi.RequestRunning))
		Expect(cancel(engine, "r1")).To(Equal(upstreamapi.RequestCancelled))
		rest, err := io.ReadAll(reader)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(string(rest)).NotTo(ContainSubstring("[DONE]"))
		Eventually(func() int { return engine.Announcement().Load.Running }).Should(BeZero())
	})

	// An instance gets no response to a request and wants to run it elsewhere.
	// That the engine has not seen the request proves nothing, because it may
	// still arrive. After a cancel the engine rejects it, so the instance may
	// report it as not run.
	It("rejects a request that was cancelled before it arrived", func() {
		Expect(requestState(engine, "r1").State).To(Equal(upstreamapi.RequestNeverSeen))
		Expect(cancel(engine, "r1")).To(Equal(upstreamapi.RequestBarred))
		w := post(engine, "/v1/chat/completions", "r1", longStream)
		Expect(w.Code).To(Equal(http.StatusConflict))
		Expect(w.Header().Get(upstreamapi.RefusedHeader)).To(Equal(upstreamapi.RefusedNotRun))
		Expect(requestState(engine, "r1").State).To(Equal(upstreamapi.RequestBarred))
		Expect(engine.Runs("r1")).To(BeZero())
	})

	It("reports the status of a rejected request", func() {
		post(engine, "/v1/completions", "r1", `{"model":"other"}`)
		Expect(requestState(engine, "r1").State).To(Equal(upstreamapi.RequestRefused))
	})

	// One slot and three requests: "booking" waits behind the running request
	// and overtakes "letter", which arrived earlier with a lower priority.
	Context("with one slot and a queue", func() {
		BeforeEach(func() {
			options.MaxRunning, options.MaxWaiting = 1, 2
			options.FirstTokenDelay = time.Second
		})

		It("serves the queue by priority, and rejects requests when it is full", func() {
			completed := make(chan string, 3)
			enqueue := func(id, priority string, waiting int) {
				r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"letters","prompt":"one"}`))
				r.Header.Set(upstreamapi.RequestIDHeader, id)
				r.Header.Set(upstreamapi.PriorityHeader, priority)
				go func() {
					defer GinkgoRecover()
					w := httptest.NewRecorder()
					engine.ServeHTTP(w, r)
					completed <- id + " " + strconv.Itoa(w.Code)
				}()
				Eventually(func() int {
					load := engine.Announcement().Load
					return load.Running + load.Waiting
				}).Should(Equal(waiting))
			}
			enqueue("running", "5", 1)
			enqueue("letter", "5", 2)
			enqueue("booking", "0", 3)
			Expect(post(engine, "/v1/completions", "late", `{"model":"letters"}`).Code).To(Equal(http.StatusTooManyRequests))
			Expect(requestState(engine, "letter").State).To(Equal(upstreamapi.RequestWaiting))
			for _, expected := range []string{"running 200", "booking 200", "letter 200"} {
				advanceTokens(1)
				Expect(<-completed).To(Equal(expected))
			}
		})

		It("cancels a waiting request without running it", func() {
			done := make(chan int, 2)
			for i, id := range []string{"r1", "r2"} {
				go func() {
					defer GinkgoRecover()
					done <- post(engine, "/v1/completions", id, `{"model":"letters","prompt":"one"}`).Code
				}()
				Eventually(func() int {
					load := engine.Announcement().Load
					return load.Running + load.Waiting
				}).Should(Equal(i + 1))
			}
			Expect(cancel(engine, "r2")).To(Equal(upstreamapi.RequestRefused))
			Expect(<-done).To(Equal(http.StatusConflict))
			Expect(engine.Runs("r2")).To(BeZero())
			advanceTokens(1)
			Expect(<-done).To(Equal(http.StatusOK))
		})
	})

	// An engine fails in the middle of an answer, and another one continues it.
	It("continues an answer that another engine began", func() {
		other := standin.NewEngine(standin.EngineOptions{Resident: letters})
		body := strings.Replace(longStream, `"stream"`, `"lovagelift-continue":{"text":"a b","events":2},"stream"`, 1)
		w := post(other, "/v1/chat/completions", "r1-2", body)
		text, _ := deltas(w.Body.String(), 2)
		Expect(text).To(Equal(" c d e f"))
		w = post(other, "/v1/chat/completions", "r1-3", strings.Replace(body, "a b\"", "a x\"", 1))
		Expect(w.Code).To(Equal(http.StatusBadRequest))
		Expect(w.Header().Get(upstreamapi.RefusedHeader)).To(Equal(upstreamapi.RefusedNotRun))
	})

	Context("with a connection that closes early", func() {
		BeforeEach(func() {
			options.TokenDelay = 0
			options.Faults.CutStreamAfter = 2
		})

		It("does not send the end marker", func() {
			first, reader := startStream()
			defer first.Body.Close()
			read, err := io.ReadAll(reader)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(string(read)).NotTo(ContainSubstring("[DONE]"))
		})
	})

	Context("with a silent connection", func() {
		BeforeEach(func() {
			options.TokenDelay = 0
			options.Faults.SilentAfter = 2
		})

		It("stays open without events while the answer is generated", func() {
			first, reader := startStream()
			defer first.Body.Close()
			readEvents(reader, 2)
			Eventually(func() upstreamapi.RequestState {
				return requestState(engine, "r1").State
			}).Should(Equal(upstreamapi.RequestFinished))
			Expect(reader.Buffered()).To(BeZero())
		})
	})
})
