package arrivals_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/arrivals"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const lease = 3 * time.Second

var now = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

const validAnnouncement = `{"name":"engine-1","incarnation":7,"sequence":1,"address":"127.0.0.1:7701",
"kind":"engine","failure-domain":"kgn-a","load":{"running":1,"waiting":0}}`

// rosterInstance is an instance with a roster and no other state.
type rosterInstance struct {
	*roster.Roster
	cacheEvents *[]upstreamapi.CacheEvents
}

func (i rosterInstance) ApplyCacheEvents(_ time.Time, events upstreamapi.CacheEvents) {
	*i.cacheEvents = append(*i.cacheEvents, events)
}

func (i rosterInstance) Announce(now time.Time, announcement upstreamapi.Announcement) (upstreamapi.AnnounceResponse, error) {
	if err := i.Roster.Announce(now, announcement); err != nil {
		return upstreamapi.AnnounceResponse{}, err
	}
	return upstreamapi.AnnounceResponse{RenewEvery: time.Second, Lease: lease}, nil
}

var _ = Describe("Arrivals", func() {
	var (
		instance rosterInstance
		handler  *arrivals.Handler
	)

	BeforeEach(func() {
		instance = rosterInstance{
			Roster:      roster.New(roster.Options{Self: "one", Incarnation: 1, Lease: lease}),
			cacheEvents: &[]upstreamapi.CacheEvents{},
		}
		handler = arrivals.New(arrivals.Options{
			Instance:        instance,
			UpstreamByToken: func(token string) (string, bool) { return "engine", token == "secret" },
			Now:             func() time.Time { return now },
			Log:             zerolog.Nop(),
		})
	})

	send := func(r *http.Request, token string) (int, []string) {
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		var problem upstreamapi.Problem
		if w.Code >= http.StatusBadRequest {
			ExpectWithOffset(2, json.Unmarshal(w.Body.Bytes(), &problem)).To(Succeed())
		}
		return w.Code, problem.Findings
	}

	post := func(path, body string) (int, []string) {
		return send(httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)), "secret")
	}

	It("accepts an announcement, a load report and a leave message", func() {
		code, _ := post(upstreamapi.AnnouncePath, validAnnouncement)
		Expect(code).To(Equal(http.StatusOK))
		Expect(instance.Upstreams(now)).To(HaveLen(1))
		code, _ = post(upstreamapi.LoadPath, `{"name":"engine-1","incarnation":7,"sequence":2,"load":{"running":9,"waiting":0}}`)
		Expect(code).To(Equal(http.StatusNoContent))
		Expect(instance.Upstreams(now)[0].Announcement.Load.Running).To(Equal(9))
		code, _ = post(upstreamapi.LoadPath, `{"name":"engine-1","incarnation":7,"sequence":1,"load":{"running":3,"waiting":0}}`)
		Expect(code).To(Equal(http.StatusNoContent))
		Expect(instance.Upstreams(now)[0].Announcement.Load.Running).To(Equal(9), "an outdated load report is ignored")
		code, _ = post(upstreamapi.LeavePath, `{"name":"engine-1","incarnation":7}`)
		Expect(code).To(Equal(http.StatusNoContent))
		Expect(instance.Upstreams(now)).To(BeEmpty())
	})

	DescribeTable("rejects invalid input with one response that lists all findings, and changes nothing",
		func(body string, expected ...string) {
			code, findings := post(upstreamapi.AnnouncePath, body)
			Expect(code).To(Equal(http.StatusBadRequest))
			Expect(findings).To(HaveLen(len(expected)))
			for i, finding := range findings {
				Expect(finding).To(HavePrefix(expected[i]))
			}
			Expect(instance.Upstreams(now)).To(BeEmpty())
		},
		Entry("broken JSON", "{\n\"name\" 1", "body:2:8: broken JSON"),
		Entry("a truncated body", validAnnouncement[:40], "body:1:40: broken JSON"),
		Entry("invalid UTF-8", strings.Replace(validAnnouncement, "engine-1", "engine-\xff", 1), "$.name: the name"),
		Entry("several errors", `{"name":"engine-1","sequence":1,"address":"x","kind":"engine"}`,
			"$.address", "$.failure-domain", "$.incarnation"),
		Entry("an oversized body", validAnnouncement+strings.Repeat(" ", 1<<20), "arrivals: reading the body: http: request body too large"),
	)

	It("refuses a body whose connection breaks", func() {
		r := httptest.NewRequest(http.MethodPost, upstreamapi.AnnouncePath, iotest.ErrReader(errors.New("connection reset")))
		code, findings := send(r, "secret")
		Expect(code).To(Equal(http.StatusBadRequest))
		Expect(findings).To(ConsistOf(ContainSubstring("connection reset")))
	})

	It("accepts cache events, and rejects invalid ones", func() {
		code, _ := post(upstreamapi.CacheEventsPath,
			`{"name":"engine-1","incarnation":7,"first":1,"events":[{"kind":"stored","model":"m","prefix":"p","tokens":128}]}`)
		Expect(code).To(Equal(http.StatusNoContent))
		Expect(*instance.cacheEvents).To(HaveLen(1))
		code, findings := post(upstreamapi.CacheEventsPath, `{"name":"engine-1","incarnation":7,"events":[{"kind":"lost"}]}`)
		Expect(code).To(Equal(http.StatusBadRequest))
		Expect(len(findings)).To(BeNumerically(">=", 2))
		Expect(*instance.cacheEvents).To(HaveLen(1))
	})

	It("rejects invalid load reports and leave messages", func() {
		code, findings := post(upstreamapi.LoadPath, `{"name":"engine-1","load":{"waiting":-1}}`)
		Expect(code).To(Equal(http.StatusBadRequest))
		Expect(findings).To(HaveLen(3))
		code, findings = post(upstreamapi.LeavePath, `{"incarnation":7}`)
		Expect(code).To(Equal(http.StatusBadRequest))
		Expect(findings).To(HaveLen(1))
	})

	// A second upstream announces the name of a live one. If it were accepted, requests for the
	// first one would be sent to it.
	It("refuses a reused name with a different address, and keeps the first", func() {
		post(upstreamapi.AnnouncePath, validAnnouncement)
		other := strings.Replace(strings.Replace(validAnnouncement, "7701", "7702", 1), `"incarnation":7`, `"incarnation":8`, 1)
		code, findings := post(upstreamapi.AnnouncePath, other)
		Expect(code).To(Equal(http.StatusConflict))
		Expect(findings).To(ConsistOf(HavePrefix("$.name: ")))
		Expect(instance.Upstreams(now)[0].Announcement.Address).To(Equal("127.0.0.1:7701"))
	})

	It("rejects an invalid token", func() {
		r := httptest.NewRequest(http.MethodPost, upstreamapi.AnnouncePath, strings.NewReader(validAnnouncement))
		code, findings := send(r, "guess")
		Expect(code).To(Equal(http.StatusUnauthorized))
		Expect(findings).To(HaveLen(1))
		Expect(instance.Upstreams(now)).To(BeEmpty())
	})
})
