package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/form"
)

const (
	maxTime  = 24 * time.Hour
	maxCount = 10_000_000
)

// Load returns the settings in the file path. If they are wrong, Load returns a
// *finding.Error with every finding.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings: reading the file")
	}
	return Parse(path, data)
}

// Parse returns the settings in data. The places of its findings name the file
// name; relative paths in data are relative to the folder of name. If the
// settings are wrong, Parse returns a *finding.Error with every finding. Parse
// does no I/O.
func Parse(name string, data []byte) (Settings, error) {
	var list finding.List
	root, ok := form.Open(name, data, &list)
	if !ok {
		return Settings{}, list.Err()
	}
	p := parser{folder: filepath.Dir(name), list: &list}
	s := p.settings(root)
	if err := list.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// parser reads settings and checks what they say together.
type parser struct {
	// folder is what relative paths are relative to.
	folder string
	list   *finding.List
}

func (p *parser) settings(root *form.Reader) Settings {
	s := Default()
	root.Require("name", `"a"`)
	root.Require("failure-domain", `"kgn-a"`)
	s.Name = root.Text("name", "")
	s.FailureDomain = root.Text("failure-domain", "")
	s.DataFolder = p.path(root, "data-folder")
	s.Voter = root.Flag("voter", false)
	s.AllowOpenListeners = root.Flag("allow-open-listeners", false)
	s.LogLevel = LogLevel(root.Choice("log-level", string(s.LogLevel),
		string(LogDebug), string(LogInfo), string(LogWarn), string(LogError)))
	p.addresses(root, &s)
	others := root.Tables("instances")
	s.Instances = p.instances(others)
	p.timing(root.Table("timing"), &s.Timing)
	p.limits(root.Table("limits"), &s.Limits)
	s.TLS = p.tls(root.Table("tls"))
	s.Tokens = p.tokens(root.Table("tokens"))
	p.placement(root.Table("placement"), &s.Placement)
	p.weightStore(root.Table("weight-store"), &s.WeightStore)
	p.policy(root.Table("policy"), &s.Policy)
	p.goals(root.Table("goals"), &s.Goals)
	p.quarantine(root.Table("quarantine"), &s.Quarantine)
	root.Done()
	p.checkInstances(root, s, others)
	p.checkOpenListeners(root, s)
	return s
}

func (p *parser) path(r *form.Reader, key string) string {
	path := r.Text(key, "")
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(p.folder, path)
}

func (p *parser) addresses(root *form.Reader, s *Settings) {
	for _, l := range listeners(s) {
		*l.listen = root.Address(l.key, *l.listen)
		*l.advertise = root.Address("advertise-"+l.key, *l.listen)
		p.checkAdvertised(root, l)
	}
	p.checkListeners(root, s)
}

// listener ties the key of a listener to its fields.
type listener struct {
	key       string
	listen    *netip.AddrPort
	advertise *netip.AddrPort
}

func listeners(s *Settings) []listener {
	return []listener{
		{"caller-address", &s.Listen.Caller, &s.Advertise.Caller},
		{"upstream-address", &s.Listen.Upstream, &s.Advertise.Upstream},
		{"operator-address", &s.Listen.Operator, &s.Advertise.Operator},
		{"inner-address", &s.Listen.Inner, &s.Advertise.Inner},
	}
}

func (p *parser) instances(tables []*form.Reader) []Instance {
	instances := make([]Instance, 0, len(tables))
	for _, r := range tables {
		r.Require("name", `"b"`)
		r.Require("inner-address", `"127.0.0.1:7613"`)
		r.Require("caller-address", `"127.0.0.1:7610"`)
		r.Require("failure-domain", `"kgn-b"`)
		instances = append(instances, Instance{
			Name:          r.Text("name", ""),
			InnerAddress:  r.Address("inner-address", netip.AddrPort{}),
			CallerAddress: r.Address("caller-address", netip.AddrPort{}),
			FailureDomain: r.Text("failure-domain", ""),
			Voter:         r.Flag("voter", false),
		})
		r.Done()
	}
	return instances
}

func (p *parser) timing(r *form.Reader, t *Timing) {
	const least = time.Millisecond
	t.Heartbeat = r.Duration("heartbeat", t.Heartbeat, least, maxTime)
	t.ElectionTimeout = r.Duration("election-timeout", t.ElectionTimeout, least, maxTime)
	t.ClockDriftPercent = r.Count("clock-drift-percent", t.ClockDriftPercent, 0, 50)
	t.ConfigurationRenewal = r.Duration("configuration-renewal", t.ConfigurationRenewal, least, maxTime)
	t.ConfigurationLease = r.Duration("configuration-lease", t.ConfigurationLease, least, maxTime)
	t.UpstreamRenewal = r.Duration("upstream-renewal", t.UpstreamRenewal, least, maxTime)
	t.UpstreamLease = r.Duration("upstream-lease", t.UpstreamLease, least, maxTime)
	t.SilenceTime = r.Duration("silence-time", t.SilenceTime, least, maxTime)
	t.OrderFlightTime = r.Duration("order-flight-time", t.OrderFlightTime, least, maxTime)
	t.EntryTime = r.Duration("entry-time", t.EntryTime, least, maxTime)
	t.DrainTime = r.Duration("drain-time", t.DrainTime, least, maxTime)
	r.Done()
	checkTiming(r, *t)
}

func (p *parser) limits(r *form.Reader, l *Limits) {
	const leastTime = 10 * time.Millisecond
	l.BodyBytes = r.Size("body-size", l.BodyBytes, 1)
	l.HeaderBytes = r.Size("header-size", l.HeaderBytes, 1<<10)
	l.HeaderTime = r.Duration("header-time", l.HeaderTime, leastTime, maxTime)
	l.BodyTime = r.Duration("body-time", l.BodyTime, leastTime, maxTime)
	l.QueueLength = r.Count("queue-length", l.QueueLength, 1, maxCount)
	l.Streams = r.Count("streams", l.Streams, 1, maxCount)
	l.DocketRecords = r.Count("docket-records", l.DocketRecords, 1, maxCount)
	l.DocketBytes = r.Size("docket-size", l.DocketBytes, 1<<10)
	l.DocketAnswerBytes = r.Size("docket-answer-size", l.DocketAnswerBytes, 0)
	l.DocketRetention = r.Duration("docket-retention", l.DocketRetention, time.Second, 30*24*time.Hour)
	r.Done()
	checkLimits(r, *l)
}

func (p *parser) tls(r *form.Reader) TLS {
	t := TLS{
		Callers:   p.keyPair(r.Table("callers")),
		Upstreams: p.keyPair(r.Table("upstreams")),
		Operators: p.keyPair(r.Table("operators")),
	}
	inner := r.Table("inner")
	t.Inner = p.keyPair(inner)
	if t.Inner.IsSet() && t.Inner.CAFile == "" {
		inner.Add("cert", "tls between instances checks both sides, and tls.inner has no ca",
			`write ca = "inner-ca.pem"`)
	}
	r.Done()
	return t
}

func (p *parser) keyPair(r *form.Reader) KeyPair {
	k := KeyPair{
		CertFile: p.path(r, "cert"),
		KeyFile:  p.path(r, "key"),
		CAFile:   p.path(r, "ca"),
	}
	r.Done()
	checkKeyPair(r)
	return k
}

func (p *parser) tokens(r *form.Reader) Tokens {
	t := Tokens{
		OperatorsFile: p.path(r, "operators"),
		UpstreamsFile: p.path(r, "upstreams"),
	}
	r.Done()
	return t
}

func (p *parser) placement(r *form.Reader, set *Placement) {
	set.Enabled = r.Flag("enabled", set.Enabled)
	r.Done()
}

func (p *parser) weightStore(r *form.Reader, w *WeightStore) {
	w.LoadsPerSecond = r.Number("loads-per-second", w.LoadsPerSecond, 0.001, 10_000)
	w.Concurrent = r.Count("concurrent", w.Concurrent, 1, 10_000)
	r.Done()
}

func (p *parser) policy(r *form.Reader, policy *Policy) {
	policy.WeightOfMoves = r.Number("weight-of-moves", policy.WeightOfMoves, 0, 1000)
	r.Done()
}

func (p *parser) quarantine(r *form.Reader, q *Quarantine) {
	// One crash says nothing of which request of an upstream brought it about.
	q.Crashes = r.Count("crashes", q.Crashes, 2, 6)
	q.Retention = r.Duration("retention", q.Retention, time.Minute, maxTime)
	r.Done()
}

func (p *parser) goals(r *form.Reader, g *Goals) {
	const least = time.Millisecond
	g.FirstToken = r.Duration("first-token", g.FirstToken, least, maxTime)
	g.BetweenTokens = r.Duration("between-tokens", g.BetweenTokens, least, maxTime)
	g.Deadline = r.Duration("deadline", g.Deadline, least, maxTime)
	r.Done()
	if r.Good("deadline", "first-token") && g.Deadline <= g.FirstToken {
		r.Add("deadline", "the deadline "+g.Deadline.String()+" is not after the first token's goal "+g.FirstToken.String(),
			"write a longer deadline")
	}
}
