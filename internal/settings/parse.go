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
	maxDuration = 24 * time.Hour
	maxCount    = 10_000_000
)

// Load reads the settings from the file at path. If they are invalid, Load returns
// a *finding.Error with all findings.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings: reading the file")
	}
	return Parse(path, data)
}

// Parse parses data, the content of the settings file called name. Findings have
// their places in name, and paths in data are relative to the folder of name. If
// the settings are invalid, Parse returns a *finding.Error with all findings. Parse
// does no I/O.
func Parse(name string, data []byte) (Settings, error) {
	var findings finding.List
	root, ok := form.Open(name, data, &findings)
	if !ok {
		return Settings{}, findings.Err()
	}
	p := parser{folder: filepath.Dir(name), findings: &findings}
	s := p.readSettings(root)
	if err := findings.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// parser reads the values of settings and checks them, alone and in combination.
type parser struct {
	// folder is the base of relative paths.
	folder   string
	findings *finding.List
}

func (p *parser) readSettings(root *form.Reader) Settings {
	s := Default()
	root.Require("name", `"a"`)
	root.Require("failure-domain", `"kgn-a"`)
	s.Name = root.Text("name", "")
	s.FailureDomain = root.Text("failure-domain", "")
	s.DataFolder = p.readPath(root, "data-folder")
	s.Voter = root.Bool("voter", false)
	s.AllowOpenListeners = root.Bool("allow-open-listeners", false)
	s.LogLevel = LogLevel(root.Enum("log-level", string(s.LogLevel),
		string(LogDebug), string(LogInfo), string(LogWarn), string(LogError)))
	p.readAddresses(root, &s)
	instanceTables := root.Tables("instances")
	s.Instances = p.readInstances(instanceTables)
	p.readTiming(root.Table("timing"), &s.Timing)
	p.readLimits(root.Table("limits"), &s.Limits)
	s.TLS = p.readTLS(root.Table("tls"))
	s.Tokens = p.readTokens(root.Table("tokens"))
	p.readPlacement(root.Table("placement"), &s.Placement)
	p.readWeightStore(root.Table("weight-store"), &s.WeightStore)
	p.readPolicy(root.Table("policy"), &s.Policy)
	p.readGoals(root.Table("goals"), &s.Goals)
	p.readQuarantine(root.Table("quarantine"), &s.Quarantine)
	root.ReportUnknownKeys()
	p.checkInstances(root, s, instanceTables)
	p.checkOpenListeners(root, s)
	return s
}

func (p *parser) readPath(r *form.Reader, key string) string {
	path := r.Text(key, "")
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(p.folder, path)
}

func (p *parser) readAddresses(root *form.Reader, s *Settings) {
	for _, l := range listeners(s) {
		*l.listen = root.Address(l.key, *l.listen)
		*l.advertise = root.Address("advertise-"+l.key, *l.listen)
		p.checkAdvertisedAddress(root, l)
	}
	p.checkListeners(root, s)
}

// listener is the key of a listener, with pointers to its fields in Settings.
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

func (p *parser) readInstances(tables []*form.Reader) []Instance {
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
			Voter:         r.Bool("voter", false),
		})
		r.ReportUnknownKeys()
	}
	return instances
}

func (p *parser) readTiming(r *form.Reader, t *Timing) {
	const minDuration = time.Millisecond
	t.Heartbeat = r.Duration("heartbeat", t.Heartbeat, minDuration, maxDuration)
	t.ElectionTimeout = r.Duration("election-timeout", t.ElectionTimeout, minDuration, maxDuration)
	t.ClockDriftPercent = r.Int("clock-drift-percent", t.ClockDriftPercent, 0, 50)
	t.ConfigurationRenewal = r.Duration("configuration-renewal", t.ConfigurationRenewal, minDuration, maxDuration)
	t.ConfigurationLease = r.Duration("configuration-lease", t.ConfigurationLease, minDuration, maxDuration)
	t.UpstreamRenewal = r.Duration("upstream-renewal", t.UpstreamRenewal, minDuration, maxDuration)
	t.UpstreamLease = r.Duration("upstream-lease", t.UpstreamLease, minDuration, maxDuration)
	t.StatusQueryDelay = r.Duration("silence-time", t.StatusQueryDelay, minDuration, maxDuration)
	t.OrderTimeout = r.Duration("order-flight-time", t.OrderTimeout, minDuration, maxDuration)
	t.ReferralTTL = r.Duration("entry-time", t.ReferralTTL, minDuration, maxDuration)
	t.DrainTime = r.Duration("drain-time", t.DrainTime, minDuration, maxDuration)
	r.ReportUnknownKeys()
	checkTiming(r, *t)
}

func (p *parser) readLimits(r *form.Reader, l *Limits) {
	const minDuration = 10 * time.Millisecond
	l.BodyBytes = r.Size("body-size", l.BodyBytes, 1)
	l.HeaderBytes = r.Size("header-size", l.HeaderBytes, 1<<10)
	l.HeaderTime = r.Duration("header-time", l.HeaderTime, minDuration, maxDuration)
	l.BodyTime = r.Duration("body-time", l.BodyTime, minDuration, maxDuration)
	l.QueueLength = r.Int("queue-length", l.QueueLength, 1, maxCount)
	l.Streams = r.Int("streams", l.Streams, 1, maxCount)
	l.IdempotencyRecords = r.Int("docket-records", l.IdempotencyRecords, 1, maxCount)
	l.IdempotencyBytes = r.Size("docket-size", l.IdempotencyBytes, 1<<10)
	l.IdempotencyAnswerBytes = r.Size("docket-answer-size", l.IdempotencyAnswerBytes, 0)
	l.IdempotencyRetention = r.Duration("docket-retention", l.IdempotencyRetention, time.Second, 30*24*time.Hour)
	r.ReportUnknownKeys()
	checkLimits(r, *l)
}

func (p *parser) readTLS(r *form.Reader) TLS {
	t := TLS{
		Callers:   p.readKeyPair(r.Table("callers")),
		Upstreams: p.readKeyPair(r.Table("upstreams")),
		Operators: p.readKeyPair(r.Table("operators")),
	}
	inner := r.Table("inner")
	t.Inner = p.readKeyPair(inner)
	if t.Inner.IsSet() && t.Inner.CAFile == "" {
		inner.Add("cert", "tls between instances checks both sides, and tls.inner has no ca",
			`write ca = "inner-ca.pem"`)
	}
	r.ReportUnknownKeys()
	return t
}

func (p *parser) readKeyPair(r *form.Reader) KeyPair {
	k := KeyPair{
		CertFile: p.readPath(r, "cert"),
		KeyFile:  p.readPath(r, "key"),
		CAFile:   p.readPath(r, "ca"),
	}
	r.ReportUnknownKeys()
	checkKeyPair(r)
	return k
}

func (p *parser) readTokens(r *form.Reader) Tokens {
	t := Tokens{
		OperatorsFile: p.readPath(r, "operators"),
		UpstreamsFile: p.readPath(r, "upstreams"),
	}
	r.ReportUnknownKeys()
	return t
}

func (p *parser) readPlacement(r *form.Reader, placement *Placement) {
	placement.Enabled = r.Bool("enabled", placement.Enabled)
	r.ReportUnknownKeys()
}

func (p *parser) readWeightStore(r *form.Reader, w *WeightStore) {
	w.LoadsPerSecond = r.Float("loads-per-second", w.LoadsPerSecond, 0.001, 10_000)
	w.Concurrent = r.Int("concurrent", w.Concurrent, 1, 10_000)
	r.ReportUnknownKeys()
}

func (p *parser) readPolicy(r *form.Reader, policy *Policy) {
	policy.WeightOfMoves = r.Float("weight-of-moves", policy.WeightOfMoves, 0, 1000)
	r.ReportUnknownKeys()
}

func (p *parser) readQuarantine(r *form.Reader, q *Quarantine) {
	// After a single crash, any request that ran on the upstream may be the cause.
	q.Crashes = r.Int("crashes", q.Crashes, 2, 6)
	q.Retention = r.Duration("retention", q.Retention, time.Minute, maxDuration)
	r.ReportUnknownKeys()
}

func (p *parser) readGoals(r *form.Reader, g *Goals) {
	const minDuration = time.Millisecond
	g.FirstToken = r.Duration("first-token", g.FirstToken, minDuration, maxDuration)
	g.BetweenTokens = r.Duration("between-tokens", g.BetweenTokens, minDuration, maxDuration)
	g.Deadline = r.Duration("deadline", g.Deadline, minDuration, maxDuration)
	r.ReportUnknownKeys()
	if r.Valid("deadline", "first-token") && g.Deadline <= g.FirstToken {
		r.Add("deadline", "the deadline "+g.Deadline.String()+" is not after the first token's goal "+g.FirstToken.String(),
			"write a longer deadline")
	}
}
