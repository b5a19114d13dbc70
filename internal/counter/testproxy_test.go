package counter_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// testProxy is a Proxy behind a listener.
type testProxy struct {
	upstreams []*upstream
	control   *fakeControl
	proxy     *counter.Proxy
	server    *httptest.Server
	// clockOffset is the offset of the instance's clock in nanoseconds.
	clockOffset atomic.Int64
}

func (p *testProxy) now() time.Time {
	return time.Now().Add(time.Duration(p.clockOffset.Load()))
}

func newTestProxy(upstreams ...*upstream) *testProxy {
	return newTestProxyWith(func(*counter.Options) {}, upstreams...)
}

// newTestProxyWithMemory is newTestProxy with counter.Options.MemoryBytes.
func newTestProxyWithMemory(memoryBytes int64, upstreams ...*upstream) *testProxy {
	return newTestProxyWith(func(options *counter.Options) { options.MemoryBytes = memoryBytes }, upstreams...)
}

// newTestProxyWith is newTestProxy with changed options.
func newTestProxyWith(change func(*counter.Options), upstreams ...*upstream) *testProxy {
	p := &testProxy{control: newFakeControl(), upstreams: upstreams}
	for i, u := range upstreams {
		p.control.announce(fmt.Sprint("u", i), u.address())
	}
	options := counter.Options{
		Name: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", FailureDomain: "here", Seeds: []string{p.control.address},
		Dial: courier.DialTCP, UpstreamLease: time.Minute,
		Retries:        counter.RetryLimits{Ratio: 0.1, Burst: 20, Window: 10 * time.Second},
		QuotaTolerance: quota.Tolerance{Window: time.Second, Slack: 2},
		ParseRoutes:    parseRoutes, Dialect: dialect{}, Now: p.now, Log: zerolog.Nop(),
	}
	change(&options)
	p.proxy = counter.New(options)
	p.server = startCallerServer(func(w http.ResponseWriter, r *http.Request) {
		p.proxy.ServeRequest(w, r, callOf(r))
	})
	DeferCleanup(func() {
		p.server.CloseClientConnections()
		p.server.Close()
		p.proxy.Close()
	})
	Eventually(p.proxy.Ready, specTimeout).Should(BeTrue())
	return p
}

// callOf returns the parameters of a request.
func callOf(r *http.Request) counter.Call {
	// A request without the header states no maximum.
	maxOutputTokens, _ := strconv.Atoi(r.Header.Get(maxOutputHeader))
	return counter.Call{
		ID: r.Header.Get(idHeader), Resumes: r.Header.Get(resumesHeader), Key: r.Header.Get(keyHeader), Timeout: 5 * time.Second,
		PromptParts: r.Header[partHeader], MaxOutputTokens: maxOutputTokens,
	}
}

// startCallerServer starts the server of an instance for callers.
func startCallerServer(serve http.HandlerFunc) *httptest.Server {
	server := httptest.NewUnstartedServer(serve)
	server.Config.ConnContext = shuttle.WithConn
	server.Start()
	return server
}

// firstSynced reports whether the proxy has the list of entry instances.
func (p *testProxy) firstSynced() bool {
	return p.proxy.OpenEntries(time.Now().Add(time.Hour)) != nil
}

// arrivals returns the number of requests that have reached any upstream.
func (p *testProxy) arrivals() int {
	total := 0
	for _, u := range p.upstreams {
		total += u.count()
	}
	return total
}

// firstReached reports whether a request has reached the first upstream.
func (p *testProxy) firstReached() bool {
	return p.upstreams[0].count() > 0
}

// sendPrompt sends a request with the given parts in its prompt.
func (p *testProxy) sendPrompt(ctx context.Context, body string, parts ...string) (*http.Response, string, error) {
	GinkgoHelper()
	return p.sendWithHeader(ctx, http.Header{partHeader: parts}, http.MethodPost, "/write/x", body)
}

// send sends a request and returns the response, its body and any error.
func (p *testProxy) send(ctx context.Context, method, path, body string) (*http.Response, string, error) {
	GinkgoHelper()
	return p.sendWithKey(ctx, "", method, path, body)
}

// sendWithKey is send with the key of a workspace.
func (p *testProxy) sendWithKey(ctx context.Context, key, method, path, body string) (*http.Response, string, error) {
	GinkgoHelper()
	return p.sendWithHeader(ctx, http.Header{keyHeader: {key}}, method, path, body)
}

// sendWithHeader is send with further headers.
func (p *testProxy) sendWithHeader(ctx context.Context, header http.Header, method, path, body string) (*http.Response, string, error) {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, method, p.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "spec.test"
	request.Header = header
	request.Header.Set(idHeader, "r1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// postToInstance sends a request to the server of an instance for callers and returns the status and the
// body.
func postToInstance(ctx context.Context, url string, header http.Header, body string) (status int, text string, err error) {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host, request.Header = "spec.test", header
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}
