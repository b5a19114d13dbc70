package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/form"
)

// checkAdvertisedAddress adds a finding if the advertised address of l is
// unspecified, such as 0.0.0.0, so that no peer could connect to it.
func (p *parser) checkAdvertisedAddress(root *form.Reader, l listener) {
	if !l.advertise.Addr().IsUnspecified() {
		return
	}
	if root.Has("advertise-" + l.key) {
		root.Add("advertise-"+l.key, fmt.Sprintf("nobody can connect to %s", l.advertise), "write an IP number of this instance")
		return
	}
	root.Add(l.key, fmt.Sprintf("%s listens on every address, and others must be told one", l.key),
		fmt.Sprintf("write advertise-%s with an IP number of this instance", l.key))
}

// checkListeners adds a finding for each pair of listeners whose addresses overlap.
// A listener on an unspecified address uses its port on every address.
func (p *parser) checkListeners(root *form.Reader, s *Settings) {
	all := listeners(s)
	for i, later := range all {
		for _, earlier := range all[:i] {
			if !root.Valid(earlier.key, later.key) || !addressesOverlap(*earlier.listen, *later.listen) {
				continue
			}
			key, other := later.key, earlier.key
			if !root.Has(key) {
				key, other = other, key
			}
			root.Add(key, fmt.Sprintf("%s and %s are on one address, %s", key, other, later.listen),
				fmt.Sprintf("write another port for %s", key))
		}
	}
}

func addressesOverlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkInstances checks that names and addresses are unique among all instances,
// and checks the voters. tables holds the Reader of each of s.Instances.
func (p *parser) checkInstances(root *form.Reader, s Settings, tables []*form.Reader) {
	names := map[string]finding.Place{s.Name: root.Place("name")}
	addresses := map[netip.AddrPort]finding.Place{
		s.Advertise.Inner:  root.Place("inner-address"),
		s.Advertise.Caller: root.Place("caller-address"),
	}
	for i, r := range tables {
		p.checkName(r, s.Instances[i].Name, s.Name, names)
		p.checkAddress(r, "inner-address", s.Instances[i].InnerAddress, addresses)
		p.checkAddress(r, "caller-address", s.Instances[i].CallerAddress, addresses)
	}
	p.checkVoters(root, s)
}

// checkVoters checks that there is a voter, and that this instance has a data folder
// if it is one.
func (p *parser) checkVoters(root *form.Reader, s Settings) {
	if s.Voter && s.DataFolder == "" && root.Valid("data-folder") {
		root.Add("voter", "a voter must keep its vote, and there is no data-folder",
			`write data-folder = "data", or voter = false`)
	}
	voters := 0
	if s.Voter {
		voters++
	}
	for _, other := range s.Instances {
		if other.Voter {
			voters++
		}
	}
	if voters == 0 && root.Valid("voter") {
		root.Add("voter", "no instance is a voter, so no configuration could ever be accepted",
			"write voter = true here or in one of the instances with a disk")
	}
}

func (p *parser) checkName(r *form.Reader, name, ownName string, names map[string]finding.Place) {
	if name == "" {
		return
	}
	first, taken := names[name]
	switch {
	case name == ownName:
		r.Add("name", fmt.Sprintf("%q is this instance's own name (%s)", name, first),
			"list only the other instances, or write another name")
	case taken:
		r.Add("name", fmt.Sprintf("instance %q stands twice, first at %s", name, first), "remove one or write another name")
	default:
		names[name] = r.Place("name")
	}
}

func (p *parser) checkAddress(r *form.Reader, key string, address netip.AddrPort, addresses map[netip.AddrPort]finding.Place) {
	if !address.IsValid() {
		return
	}
	if address.Addr().IsUnspecified() {
		r.Add(key, fmt.Sprintf("nobody can connect to %s", address), "write an IP number of that instance")
		return
	}
	if first, taken := addresses[address]; taken {
		r.Add(key, fmt.Sprintf("%s is already the address of another listener, at %s", address, first), "write the address of that instance")
		return
	}
	addresses[address] = r.Place(key)
}

// checkOpenListeners refuses operators' and inner listeners beyond loopback that
// have no TLS, and an operators' listener beyond loopback that requires no token.
// Without TLS, anyone who can read the network traffic learns the operators' token,
// and anyone who can connect to the inner listener can impersonate an instance.
func (p *parser) checkOpenListeners(root *form.Reader, s Settings) {
	if s.AllowOpenListeners {
		return
	}
	if s.Tokens.OperatorsFile == "" && !s.Listen.Operator.Addr().IsLoopback() {
		root.Add("operator-address", fmt.Sprintf("whoever reaches %s would be an operator", s.Listen.Operator),
			`write [tokens] with operators = "operators.toml", or allow-open-listeners = true`)
	}
	p.checkPlaintext(root, "operator-address", s.Listen.Operator, s.TLS.Operators, "tls.operators")
	p.checkPlaintext(root, "inner-address", s.Listen.Inner, s.TLS.Inner, "tls.inner")
}

// checkPlaintext adds a finding if the listener of key is beyond loopback and has no
// TLS.
func (p *parser) checkPlaintext(root *form.Reader, key string, listen netip.AddrPort, keyPair KeyPair, section string) {
	if keyPair.IsSet() || listen.Addr().IsLoopback() {
		return
	}
	root.Add(key, fmt.Sprintf("%s %s is beyond loopback without TLS", key, listen),
		fmt.Sprintf("write [%s], or allow-open-listeners = true", section))
}

func checkKeyPair(r *form.Reader) {
	cert, key, ca := r.Has("cert"), r.Has("key"), r.Has("ca")
	switch {
	case cert && !key:
		r.Add("cert", "a certificate without its key", `write key = "key.pem"`)
	case key && !cert:
		r.Add("key", "a key without its certificate", `write cert = "cert.pem"`)
	case ca && !cert:
		r.Add("ca", "a ca without a certificate of our own", `write cert and key`)
	default:
	}
}

// durationRule requires one duration to be longer than a multiple of another.
type durationRule struct {
	longerKey, shorterKey string
	longer, shorter       time.Duration
	// factor is the multiple, at least 1.
	factor int
	// reason explains the rule in the finding.
	reason string
}

func checkTiming(r *form.Reader, t Timing) {
	rules := []durationRule{
		{
			"election-timeout", "heartbeat", t.ElectionTimeout, t.Heartbeat, 3,
			"a lost heartbeat must not start an election",
		},
		{
			"configuration-lease", "configuration-renewal", t.ConfigurationLease, t.ConfigurationRenewal, 1,
			"it would run out before it is renewed",
		},
		{
			"configuration-lease", "election-timeout", t.ConfigurationLease, t.ElectionTimeout, 1,
			"every change of leader would stop new work",
		},
		{
			"upstream-lease", "upstream-renewal", t.UpstreamLease, t.UpstreamRenewal, 1,
			"it would run out before it is renewed",
		},
		{
			"drain-time", "entry-time", t.DrainTime, t.ReferralTTL, 1,
			"callers would still come when the instance has stopped",
		},
	}
	for _, rule := range rules {
		checkDurationRule(r, rule)
	}
}

func checkDurationRule(r *form.Reader, rule durationRule) {
	if !r.Valid(rule.longerKey, rule.shorterKey) || rule.longer > rule.shorter*time.Duration(rule.factor) {
		return
	}
	key := rule.longerKey
	if !r.Has(key) {
		key = rule.shorterKey
	}
	relation := "is not longer than"
	if rule.factor > 1 {
		relation = fmt.Sprintf("is not longer than %d times", rule.factor)
	}
	r.Add(key, fmt.Sprintf("%s %s %s %s %s: %s", rule.longerKey, rule.longer, relation, rule.shorterKey, rule.shorter, rule.reason),
		fmt.Sprintf("write %s above %s", rule.longerKey, rule.shorter*time.Duration(rule.factor)))
}

func checkLimits(r *form.Reader, l Limits) {
	if !r.Valid("docket-answer-size", "docket-size") || l.IdempotencyAnswerBytes <= l.IdempotencyBytes {
		return
	}
	key := "docket-answer-size"
	if !r.Has(key) {
		key = "docket-size"
	}
	r.Add(key, fmt.Sprintf("docket-answer-size %d B is above docket-size %d B", l.IdempotencyAnswerBytes, l.IdempotencyBytes),
		"write docket-answer-size at most as large as docket-size")
}
