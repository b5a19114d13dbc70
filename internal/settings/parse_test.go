package settings_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/settings"
)

const minimalSettings = `name = "a"
failure-domain = "kgn-a"
data-folder = "data"
voter = true
`

func findingsOf(text string) []string {
	_, err := settings.Parse("etc/a.toml", []byte(text))
	if err == nil {
		return nil
	}
	var found *finding.Error
	ExpectWithOffset(1, errors.As(err, &found)).To(BeTrue())
	lines := make([]string, 0)
	for _, f := range found.Findings {
		ExpectWithOffset(1, f.Place.File).To(Equal("etc/a.toml"))
		lines = append(lines, f.String())
	}
	return lines
}

var _ = Describe("Parse", func() {
	It("fills in the defaults", func() {
		s, err := settings.Parse("etc/a.toml", []byte(minimalSettings))
		Expect(err).NotTo(HaveOccurred())
		want := settings.Default()
		want.Name, want.FailureDomain = "a", "kgn-a"
		want.DataFolder, want.Voter = filepath.Join("etc", "data"), true
		want.Instances = []settings.Instance{}
		Expect(s).To(Equal(want))
	})

	It("advertises the listen address unless another is set", func() {
		s, err := settings.Parse("a.toml", []byte(minimalSettings+
			"caller-address = \"0.0.0.0:80\"\nadvertise-caller-address = \"10.0.0.7:80\"\nupstream-address = \"127.0.0.1:81\"\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Listen.Caller).To(Equal(netip.MustParseAddrPort("0.0.0.0:80")))
		Expect(s.Advertise.Caller).To(Equal(netip.MustParseAddrPort("10.0.0.7:80")))
		Expect(s.Advertise.Upstream).To(Equal(netip.MustParseAddrPort("127.0.0.1:81")))
	})

	It("reads other instances, timing, weight store and policy", func() {
		s, err := settings.Parse("a.toml", []byte(minimalSettings+`
[[instances]]
name = "b"
inner-address = "127.0.0.1:7613"
caller-address = "127.0.0.1:7610"
failure-domain = "kgn-b"
[timing]
heartbeat = "50ms"
[weight-store]
concurrent = 9
[policy]
weight-of-moves = 4
`))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Instances).To(HaveLen(1))
		Expect(s.Instances[0].Name).To(Equal("b"))
		Expect(s.Timing.Heartbeat).To(Equal(50 * time.Millisecond))
		Expect(s.WeightStore).To(Equal(settings.WeightStore{LoadsPerSecond: 1.6, Concurrent: 9}))
		Expect(s.Policy.WeightOfMoves).To(Equal(4.0))
	})

	It("reads the quarantine settings and checks their bounds", func() {
		set, err := settings.Parse("a.toml", []byte(minimalSettings+"[quarantine]\ncrashes = 2\nretention = \"2h\"\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Quarantine).To(Equal(settings.Quarantine{Crashes: 2, Retention: 2 * time.Hour}))
		_, err = settings.Parse("a.toml", []byte(minimalSettings+"[quarantine]\ncrashes = 1\nretention = \"1s\"\n"))
		Expect(err).To(MatchError(And(ContainSubstring("crashes"), ContainSubstring("retention"))))
	})

	It("reports all findings of a file in one error", func() {
		Expect(findingsOf(`naem = "a"
failure-domain = 3
voter = true
inner-address = "127.0.0.1:7600"
[timing]
upstream-lease = "1s"
[limits]
body-size = "4 Mib!"
`)).To(Equal([]string{
			`etc/a.toml: key "name" is missing; write name = "a"`,
			`etc/a.toml:1:1: unknown key "naem"; write "name"`,
			`etc/a.toml:2:18: "failure-domain" must be a text, not a whole number; write for example "..."`,
			`etc/a.toml:3:9: a voter must keep its vote, and there is no data-folder; write data-folder = "data", or voter = false`,
			`etc/a.toml:4:17: inner-address and caller-address are on one address, 127.0.0.1:7600; write another port for inner-address`,
			`etc/a.toml:6:18: upstream-lease 1s is not longer than upstream-renewal 1s: it would run out before it is renewed; write upstream-lease above 1s`,
			`etc/a.toml:8:13: "body-size" is no size: "4 Mib!"; write for example "24 GiB"`,
		}))
	})

	DescribeTable("refuses invalid combinations",
		func(addition, want string) {
			found := findingsOf(minimalSettings + addition)
			Expect(found).To(HaveLen(1), strings.Join(found, "\n"))
			Expect(found[0]).To(HavePrefix("etc/a.toml:" + want))
		},
		Entry("an election timeout of three heartbeats", "[timing]\nelection-timeout = \"300ms\"\n", "6:20: election-timeout 300ms is not longer than 3 times heartbeat 100ms"),
		Entry("a lease that expires before its renewal", "[timing]\nconfiguration-renewal = \"3s\"\n", "6:25: configuration-lease 3s is not longer than configuration-renewal 3s"),
		Entry("a drain time that does not exceed the entry time", "[timing]\nentry-time = \"60s\"\n", "6:14: drain-time 1m0s is not longer than entry-time 1m0s"),
		Entry("one port on the unspecified address and on a specific one", "caller-address = \"0.0.0.0:7601\"\nadvertise-caller-address = \"10.0.0.7:7601\"\n", "5:18: caller-address and upstream-address are on one address"),
		Entry("an unspecified address without an advertised one", "caller-address = \"0.0.0.0:7600\"\n", "5:18: caller-address listens on every address"),
		Entry("an operators' listener beyond loopback without tokens", "operator-address = \"10.0.0.7:7602\"\n[tls.operators]\ncert = \"c\"\nkey = \"k\"\n", "5:20: whoever reaches 10.0.0.7:7602 would be an operator"),
		Entry("an operators' listener beyond loopback without TLS", "operator-address = \"10.0.0.7:7602\"\ntokens.operators = \"t.toml\"\n", "5:20: operator-address 10.0.0.7:7602 is beyond loopback without TLS"),
		Entry("an inner listener beyond loopback without TLS", "inner-address = \"10.0.0.7:7603\"\n", "5:17: inner-address 10.0.0.7:7603 is beyond loopback without TLS"),
		Entry("a certificate without a key", "[tls.callers]\ncert = \"c.pem\"\n", "6:8: a certificate without its key"),
		Entry("a key without a certificate", "[tls.callers]\nkey = \"k.pem\"\n", "6:7: a key without its certificate"),
		Entry("TLS between instances without a CA", "[tls.inner]\ncert = \"c.pem\"\nkey = \"k.pem\"\n", "6:8: tls between instances checks both sides"),
		Entry("a deadline before the first token", "[goals]\ndeadline = \"200ms\"\n", "6:12: the deadline 200ms is not after"),
		Entry("a bound of one answer above that of all idempotency records", "[limits]\ndocket-size = \"32 KiB\"\n", "6:15: docket-answer-size 65536 B is above docket-size 32768 B"),
		Entry("the name of this instance among the others", otherInstance("a", 7613, 7610), `6:8: "a" is this instance's own name (etc/a.toml:1:8)`),
		Entry("two instances with one name", otherInstance("b", 7613, 7610)+otherInstance("b", 7623, 7620), `11:8: instance "b" stands twice, first at etc/a.toml:6:8`),
		Entry("two instances with one address", otherInstance("b", 7613, 7610)+otherInstance("c", 7613, 7620), "12:17: 127.0.0.1:7613 is already the address of another listener, at etc/a.toml:7:17"),
		Entry("another instance with the address of this instance", otherInstance("b", 7613, 7600), "8:18: 127.0.0.1:7600 is already the address of another listener"),
		Entry("an instance without a failure domain", "[[instances]]\nname = \"b\"\ninner-address = \"127.0.0.1:7613\"\ncaller-address = \"127.0.0.1:7610\"\n", `5:3: key "failure-domain" is missing in instances`),
	)

	It("reports each mistake once", func() {
		Expect(findingsOf(minimalSettings + "caller-address = 3\nupstream-address = \"127.0.0.1:7600\"\n" +
			"[timing]\nheartbeat = 1\nelection-timeout = \"200ms\"\n")).To(Equal([]string{
			`etc/a.toml:5:18: "caller-address" must be an IP number and a port, not a whole number; write for example "127.0.0.1:7600"`,
			`etc/a.toml:8:13: "heartbeat" must be a duration with its unit, not a whole number; write for example "100ms"`,
		}))
	})

	It("requires a voter among all instances", func() {
		Expect(findingsOf("name = \"a\"\nfailure-domain = \"kgn-a\"\n")).To(ConsistOf(
			HavePrefix("etc/a.toml: no instance is a voter")))
	})

	It("accepts listeners beyond loopback without TLS if allow-open-listeners is set", func() {
		Expect(findingsOf(minimalSettings + "operator-address = \"10.0.0.7:7602\"\nallow-open-listeners = true\n")).To(BeEmpty())
	})
})

var _ = Describe("Load", func() {
	It("accepts the example settings of three instances", func() {
		paths, err := filepath.Glob("../../examples/three/instance-*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(paths).To(HaveLen(3))
		for _, path := range paths {
			s, err := settings.Load(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Instances).To(HaveLen(2))
		}
	})

	It("names the file that cannot be read", func() {
		_, err := settings.Load("no-such-file.toml")
		Expect(errors.Is(err, os.ErrNotExist)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring("settings: reading the file: open no-such-file.toml")))
	})
})

func otherInstance(name string, inner, caller int) string {
	return strings.NewReplacer("NAME", name, "INNER", itoa(inner), "CALLER", itoa(caller)).Replace(`[[instances]]
name = "NAME"
inner-address = "127.0.0.1:INNER"
caller-address = "127.0.0.1:CALLER"
failure-domain = "kgn-b"
`)
}
