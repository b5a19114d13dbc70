package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// bodyBytes is MaxBodyBytes of the manifest's Limits.
	bodyBytes = 4 << 20
	// uploadTime is how long a client takes to send a body of that size: 11 Mbit/s.
	uploadTime    = 3 * time.Second
	uploadTimeout = 15 * time.Second
	// uploadWork is the time that a server works on an upload.
	uploadWork = 600 * time.Millisecond
	// uploaders is the number of clients of each entry instance, and burstUploaders that in the
	// burst: 2.4 times as many.
	uploaders      = 20
	burstUploaders = 48
	burstTime      = 4500 * time.Millisecond
	// lostAllowed is how many requests a machine may lose by the rule.
	lostAllowed = 3
)

// upload is a request on a kept channel that ended without a whole answer.
type upload struct {
	id, entry string
	at        time.Time
	cause     string
}

// uploads is what became of the clients' uploads.
type uploads struct {
	record   *record
	mu       sync.Mutex
	answered map[int]int
	failed   []upload
}

// playBigBody lets more clients than usual send bodies of the size that the manifest allows.
func playBigBody(d *deployment, r *record, trouble bool) (bool, error) {
	d.entries = d.entries[:2]
	routeTimeout = uploadTimeout
	servers, err := startSystem(d, r, []string{"a", "b", "c"}, uploadWork)
	defer stopServers(servers)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	u := &uploads{record: r, answered: map[int]int{}}
	watch := watchMemory(ctx, d, r)
	var group sync.WaitGroup
	start := func(ctx context.Context, from, to int) {
		for _, entry := range d.entries {
			for number := from; number < to; number++ {
				group.Go(func() { u.client(ctx, entry, number) })
			}
		}
	}
	start(ctx, 0, uploaders)
	time.Sleep(8 * time.Second)
	if trouble {
		r.addf("burst     of %.1f times the clients for %v", float64(burstUploaders)/uploaders, burstTime)
		burstCtx, endBurst := context.WithTimeout(ctx, burstTime)
		defer endBurst()
		start(burstCtx, uploaders, burstUploaders)
	}
	time.Sleep(burstTime + 4*time.Second)
	cancel()
	group.Wait()
	watch.Wait()
	return u.judge(d, servers), nil
}

// watchMemory stands in for the platform, which kills a process that uses more than MemoryMb and
// starts it again after a short delay.
func watchMemory(ctx context.Context, d *deployment, r *record) *sync.WaitGroup {
	var group sync.WaitGroup
	for _, m := range d.entries {
		group.Go(func() {
			peak := 0
			for ctx.Err() == nil {
				used := m.memoryUsed()
				peak = max(peak, used)
				if used > d.bounds.memoryMegabytes<<10 {
					r.addf("killed    %s, which used %d MB of memory, more than MemoryMb", m.name, used>>10)
					m.kill()
					time.Sleep(300 * time.Millisecond)
					_ = m.start()
				}
				time.Sleep(20 * time.Millisecond)
			}
			r.summaryf("%s used up to %d MB of memory", m.name, peak>>10)
		})
	}
	return &group
}

// memoryUsed returns the resident memory of the process in kB.
func (m *machine) memoryUsed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			used, _ := strconv.Atoi(strings.Fields(rest)[0])
			return used
		}
	}
	return 0
}

// pacedBody is a body that is sent evenly over uploadTime.
type pacedBody struct {
	sent    int
	started time.Time
}

func (b *pacedBody) Read(buffer []byte) (int, error) {
	if b.sent == bodyBytes {
		return 0, io.EOF
	}
	if b.started.IsZero() {
		b.started = time.Now()
	}
	time.Sleep(time.Until(b.started.Add(time.Duration(float64(uploadTime) * float64(b.sent) / bodyBytes))))
	n := min(len(buffer), 32<<10, bodyBytes-b.sent)
	for i := range n {
		buffer[i] = 'x'
	}
	b.sent += n
	return n, nil
}

func (b *pacedBody) Close() error { return nil }

// client sends uploads over one kept channel, which it opens anew when it was closed.
func (u *uploads) client(ctx context.Context, entry *machine, number int) {
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	time.Sleep(rand.N(uploadTime))
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%02x%04x", entry.ip[strings.LastIndex(entry.ip, ".")+1:], number, n)
		// A short request opens the channel, so that the upload uses a kept one.
		if status, _ := u.send(transport, entry, id+"0", strings.NewReader("short"), 5); status == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		status, err := u.send(transport, entry, id+"1", &pacedBody{}, bodyBytes)
		u.mu.Lock()
		u.answered[status]++
		if status == 0 && isClosed(err) {
			u.failed = append(u.failed, upload{id: id + "1", entry: entry.name, at: time.Now(), cause: err.Error()})
		}
		u.mu.Unlock()
	}
}

// isClosed reports whether a channel ended, and not the client's time.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		strings.Contains(err.Error(), "EOF") || strings.Contains(err.Error(), "closed")
}

// send sends one request that isn't idempotent and returns its status, or 0 without a whole answer.
func (u *uploads) send(transport *http.Transport, entry *machine, id string, body io.Reader, length int64) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), uploadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address(frontPort)+submitPath+"2f", io.NopCloser(body))
	if err != nil {
		return 0, err
	}
	request.ContentLength = length
	request.Host = host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, fmt.Sprint(uploadTimeout.Milliseconds()))
	u.record.addf("sent      %s to %s, %d bytes", id, entry.name, length)
	response, err := transport.RoundTrip(request)
	if err != nil {
		u.record.addf("no answer %s: %v", id, err)
		return 0, err
	}
	defer response.Body.Close()
	if _, err := readAll(response.Body); err != nil {
		u.record.addf("no answer %s: %v", id, err)
		return 0, err
	}
	u.record.addf("answered  %s: %d", id, response.StatusCode)
	return response.StatusCode, nil
}

// judge reports whether a machine closed channels of more than lostAllowed requests without an answer
// that it had passed on to a server.
func (u *uploads) judge(d *deployment, servers []*server) bool {
	ran := map[string]bool{}
	for _, s := range servers {
		for _, one := range s.allRuns() {
			ran[one.id] = true
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	lost := map[string]int{}
	for _, f := range u.failed {
		if ran[f.id] {
			lost[f.entry]++
			u.record.addf("lost      %s: run by a server, and its channel to %s closed without an answer", f.id, f.entry)
		}
	}
	u.record.summaryf("uploads by status: %v; %d channels closed without an answer", u.answered, len(u.failed))
	broken := false
	for _, m := range d.entries {
		u.record.summaryf("%s passed on %d requests from kept channels and closed these without an answer", m.name, lost[m.name])
		broken = broken || lost[m.name] > lostAllowed
	}
	return broken
}
