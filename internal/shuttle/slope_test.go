package shuttle_test

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// The shape of the streams of these measurements.
const (
	streamTokens = 64
	// tokenGap is long enough for each token to be relayed by itself.
	tokenGap = 300 * time.Microsecond
)

// tokens is an upstream that streams tokens, each with the time of its sending.
func tokens(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for range streamTokens {
		var sent [8]byte
		binary.BigEndian.PutUint64(sent[:], uint64(time.Now().UnixNano()))
		fmt.Fprintf(w, "data: %s\n\n", hex.EncodeToString(sent[:]))
		_ = control.Flush()
		time.Sleep(tokenGap)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// paths returns the ways to reach the upstream at address: straight, through
// the standard library's reverse proxy, and through a Shuttle.
func paths(address string) map[string]http.Handler {
	target := &url.URL{Scheme: "http", Host: address}
	baseline := httputil.NewSingleHostReverseProxy(target)
	baseline.FlushInterval = -1
	baseline.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	carrier := shuttle.New(shuttle.Options{})
	return map[string]http.Handler{
		"reverse-proxy": baseline,
		"shuttle": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			answer, err := carrier.Send(r.Context(), address, shuttle.Request{
				ID: "r", Method: r.Method, Target: r.URL.RequestURI(), Header: r.Header, Body: body,
				Idempotent: true, Remaining: time.Minute,
			})
			if err != nil {
				return
			}
			shuttle.Head(w, answer)
			_ = shuttle.Stream(w, answer, true)
		}),
	}
}

// BenchmarkRelay measures how long after it was sent a token reaches a caller,
// and how long a request takes to its first token, straight and by both ways of
// relaying. One operation is one stream of 64 tokens.
func BenchmarkRelay(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(tokens))
	defer upstream.Close()
	b.Run("path=straight", func(b *testing.B) { benchmarkStreams(b, upstream.URL) })
	for _, name := range []string{"reverse-proxy", "shuttle"} {
		front := httptest.NewServer(paths(upstream.Listener.Addr().String())[name])
		b.Run("path="+name, func(b *testing.B) { benchmarkStreams(b, front.URL) })
		front.Close()
	}
}

func benchmarkStreams(b *testing.B, at string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	var first, each []time.Duration
	broken := 0
	for b.Loop() {
		begin := time.Now()
		response, err := client.Post(at+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m"}`))
		if err != nil {
			b.Fatal(err)
		}
		scanner := bufio.NewScanner(response.Body)
		n := 0
		for scanner.Scan() {
			data, ok := strings.CutPrefix(scanner.Text(), "data: ")
			if !ok || data == "[DONE]" {
				continue
			}
			now := time.Now()
			if n == 0 {
				first = append(first, now.Sub(begin))
			}
			sent, err := hex.DecodeString(data)
			if err != nil {
				b.Fatal(err)
			}
			each = append(each, now.Sub(time.Unix(0, int64(binary.BigEndian.Uint64(sent)))))
			n++
		}
		response.Body.Close()
		if n != streamTokens {
			broken++
		}
	}
	b.ReportMetric(float64(broken), "broken")
	b.ReportMetric(median(first), "first-token-ns")
	b.ReportMetric(median(each), "token-ns")
}

func median(durations []time.Duration) float64 {
	slices.Sort(durations)
	return float64(durations[len(durations)/2])
}

// BenchmarkSlopeStreams measures what open streams take of the memory of the
// process beyond streams that go straight. Both ends of each stream are in the
// same process, and the straight ones are taken off.
func BenchmarkSlopeStreams(b *testing.B) {
	release := make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, "data: {}\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	front := httptest.NewServer(paths(upstream.Listener.Addr().String())["shuttle"])
	defer upstream.Close()
	defer front.Close()
	defer close(release)
	for _, streams := range []int{100, 200, 400} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				straight := memoryOf(b, upstream.URL, streams)
				relayed := memoryOf(b, front.URL, streams)
				b.ReportMetric(float64(relayed-straight)/float64(streams), "B/stream")
			}
		})
	}
}

// memoryOf returns what opening streams adds to the process.
func memoryOf(b *testing.B, at string, streams int) int64 {
	before := inUse()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	var opening sync.WaitGroup
	bodies := make([]io.ReadCloser, streams)
	for n := range streams {
		opening.Go(func() {
			response, err := client.Post(at, "application/json", strings.NewReader("{}"))
			if err != nil {
				b.Error(err)
				return
			}
			bodies[n] = response.Body
			_, _ = io.ReadFull(response.Body, make([]byte, len("data: {}\n\n")))
		})
	}
	opening.Wait()
	taken := inUse() - before
	for _, body := range bodies {
		if body != nil {
			body.Close()
		}
	}
	return taken
}

func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
