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

// The streams of the benchmarks.
const (
	streamTokens = 64
	// tokenGap is long enough for each token to be relayed separately.
	tokenGap = 300 * time.Microsecond
)

// serveTokens streams tokens that contain the time at which they were sent.
func serveTokens(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for range streamTokens {
		var sent [8]byte
		binary.BigEndian.PutUint64(sent[:], uint64(time.Now().UnixNano()))
		fmt.Fprintf(w, "data: %s\n\n", hex.EncodeToString(sent[:]))
		_ = controller.Flush()
		time.Sleep(tokenGap)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// proxyHandlers returns the proxies to the upstream at address, by name: the reverse proxy of the
// standard library, and a Proxy.
func proxyHandlers(address string) map[string]http.Handler {
	target := &url.URL{Scheme: "http", Host: address}
	baseline := httputil.NewSingleHostReverseProxy(target)
	baseline.FlushInterval = -1
	baseline.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	proxy := shuttle.New(shuttle.Options{})
	return map[string]http.Handler{
		"reverse-proxy": baseline,
		"shuttle": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			response, err := proxy.Send(r.Context(), address, shuttle.Request{
				ID: "r", Method: r.Method, Target: r.URL.RequestURI(), Header: r.Header, Body: body,
				Idempotent: true, Remaining: time.Minute,
			})
			if err != nil {
				return
			}
			shuttle.WriteHeader(w, response)
			_ = shuttle.StreamBody(w, response, true)
		}),
	}
}

// BenchmarkRelay measures the latency of each token from upstream to caller, and the time to the
// first token, directly and through each proxy. One operation is one stream of 64 tokens.
func BenchmarkRelay(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(serveTokens))
	defer upstream.Close()
	b.Run("path=straight", func(b *testing.B) { benchmarkStreams(b, upstream.URL) })
	for _, name := range []string{"reverse-proxy", "shuttle"} {
		front := httptest.NewServer(proxyHandlers(upstream.Listener.Addr().String())[name])
		b.Run("path="+name, func(b *testing.B) { benchmarkStreams(b, front.URL) })
		front.Close()
	}
}

func benchmarkStreams(b *testing.B, baseURL string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	var firstTokenTimes, tokenDelays []time.Duration
	incomplete := 0
	for b.Loop() {
		start := time.Now()
		response, err := client.Post(baseURL+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m"}`))
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
				firstTokenTimes = append(firstTokenTimes, now.Sub(start))
			}
			sent, err := hex.DecodeString(data)
			if err != nil {
				b.Fatal(err)
			}
			tokenDelays = append(tokenDelays, now.Sub(time.Unix(0, int64(binary.BigEndian.Uint64(sent)))))
			n++
		}
		response.Body.Close()
		if n != streamTokens {
			incomplete++
		}
	}
	b.ReportMetric(float64(incomplete), "broken")
	b.ReportMetric(median(firstTokenTimes), "first-token-ns")
	b.ReportMetric(median(tokenDelays), "token-ns")
}

func median(durations []time.Duration) float64 {
	slices.Sort(durations)
	return float64(durations[len(durations)/2])
}

// BenchmarkSlopeStreams measures the memory per open relayed stream, beyond that of a direct
// stream. Both ends of each stream are in the same process, so the memory of direct streams is
// subtracted.
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
	front := httptest.NewServer(proxyHandlers(upstream.Listener.Addr().String())["shuttle"])
	defer upstream.Close()
	defer front.Close()
	defer close(release)
	for _, streams := range []int{100, 200, 400} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				direct := memoryOfStreams(b, upstream.URL, streams)
				relayed := memoryOfStreams(b, front.URL, streams)
				b.ReportMetric(float64(relayed-direct)/float64(streams), "B/stream")
			}
		})
	}
}

// memoryOfStreams returns the memory that open streams add to the process.
func memoryOfStreams(b *testing.B, url string, streams int) int64 {
	before := memoryInUse()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	var opening sync.WaitGroup
	bodies := make([]io.ReadCloser, streams)
	for n := range streams {
		opening.Go(func() {
			response, err := client.Post(url, "application/json", strings.NewReader("{}"))
			if err != nil {
				b.Error(err)
				return
			}
			bodies[n] = response.Body
			_, _ = io.ReadFull(response.Body, make([]byte, len("data: {}\n\n")))
		})
	}
	opening.Wait()
	used := memoryInUse() - before
	for _, body := range bodies {
		if body != nil {
			body.Close()
		}
	}
	return used
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
