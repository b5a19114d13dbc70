package upstreamapi

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// Limits of what an upstream may send.
const (
	maxNameBytes    = 256
	maxAccelerators = 64
	maxResident     = 4096
	maxServices     = 1024
	maxEvents       = 4096
)

// whole is the place of a finding that concerns the whole message.
const whole = "$"

// DecodeAnnouncement returns the announcement that data holds and all that is
// wrong with it. If the list is not empty, the announcement must not be used.
// Keys that are not known are ignored, so that an upstream may be newer than the
// instance that it announces to.
func DecodeAnnouncement(data []byte) (Announcement, finding.List) {
	var announcement Announcement
	findings := decode(data, &announcement)
	if findings.Len() > 0 {
		return Announcement{}, findings
	}
	return announcement, announcement.Check()
}

// DecodeCacheEvents returns the cache events that data holds and all that is
// wrong with them. If the list is not empty, the events must not be used.
func DecodeCacheEvents(data []byte) (CacheEvents, finding.List) {
	var events CacheEvents
	findings := decode(data, &events)
	if findings.Len() > 0 {
		return CacheEvents{}, findings
	}
	return events, events.Check()
}

// DecodeOrder returns the order that data holds and all that is wrong with it.
// If the list is not empty, the order must not be carried out.
func DecodeOrder(data []byte) (Order, finding.List) {
	var order Order
	findings := decode(data, &order)
	if findings.Len() > 0 {
		return Order{}, findings
	}
	return order, order.Check()
}

// DecodeLoadReport returns the load report that data holds and all that is wrong
// with it. If the list is not empty, the report must not be used.
func DecodeLoadReport(data []byte) (LoadReport, finding.List) {
	var report LoadReport
	findings := decode(data, &report)
	if findings.Len() > 0 {
		return LoadReport{}, findings
	}
	return report, report.Check()
}

// DecodeLeave returns the leave that data holds and all that is wrong with it.
// If the list is not empty, the leave must not be used.
func DecodeLeave(data []byte) (Leave, finding.List) {
	var leave Leave
	findings := decode(data, &leave)
	if findings.Len() > 0 {
		return Leave{}, findings
	}
	checkName(&findings, "$.name", leave.Name)
	checkIncarnation(&findings, leave.Incarnation)
	return leave, findings
}

// decode reads data into message. The place of what is wrong is the path of a
// value of a wrong type, and the line and column of broken JSON.
func decode(data []byte, message any) finding.List {
	var findings finding.List
	err := json.Unmarshal(data, message)
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	switch {
	case err == nil:
	case errors.As(err, &syntax):
		findings.Add(placeAt(data, syntax.Offset), "broken JSON: "+syntax.Error(), "")
	case errors.As(err, &mistyped):
		findings.Add(at(whole+"."+mistyped.Field), "a "+mistyped.Value+" is of the wrong type",
			"write a value that fits "+mistyped.Type.String())
	default:
		findings.Add(at(whole), err.Error(), "")
	}
	return findings
}

// placeAt returns the line and column of the byte at offset.
func placeAt(data []byte, offset int64) finding.Place {
	before := string(data[:min(int(offset), len(data))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndex(before, "\n") - 1
	return finding.Place{File: "body", Line: line, Column: max(column, 1)}
}

func at(path string) finding.Place {
	return finding.Place{File: path}
}

// Check returns all that is wrong with the announcement, as far as it can be
// judged without any other.
func (a Announcement) Check() finding.List {
	var findings finding.List
	checkName(&findings, "$.name", a.Name)
	checkName(&findings, "$.failure-domain", a.FailureDomain)
	checkAddress(&findings, "$.address", a.Address)
	checkIncarnation(&findings, a.Incarnation)
	if a.Sequence == 0 {
		findings.Add(at("$.sequence"), "a sequence is missing", "count the announcements from 1")
	}
	a.checkWords(&findings)
	a.checkKind(&findings)
	a.checkMemory(&findings)
	a.Load.check(&findings, "$.load")
	return findings
}

func (a Announcement) checkWords(findings *finding.List) {
	checkWord(findings, "$.fencing", a.Fencing, "", FencingChecked, FencingIgnored)
	checkWord(findings, "$.order-authorization", a.OrderAuthorization, "", AuthorizationBearer, AuthorizationIgnored)
	checkWord(findings, "$.role", a.Role, "", RoleMixed, RolePrefill, RoleDecode)
	checkWord(findings, "$.kind", a.Kind, KindEngine, KindService)
}

// checkKind finds what does not belong to the kind of upstream.
func (a Announcement) checkKind(findings *finding.List) {
	checkCount(findings, "$.services", len(a.Services), maxServices)
	seen := seenNames{}
	for i, service := range a.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		checkName(findings, path, service)
		seen.check(findings, path, service)
	}
	switch a.Kind {
	case KindService:
		if len(a.Services) == 0 {
			findings.Add(at("$.services"), "a service upstream names no service", "name those that it answers for")
		}
		if len(a.Accelerators)+len(a.Resident) > 0 {
			findings.Add(at("$.kind"), "a service upstream has no accelerators nor models", "write \"engine\"")
		}
	case KindEngine:
		if len(a.Services) > 0 {
			findings.Add(at("$.services"), "an engine answers for no services", "announce the service under a name of its own")
		}
	}
}

func (l Load) check(findings *finding.List, path string) {
	amounts := []struct {
		key   string
		value float64
	}{
		{"age", float64(l.Age)},
		{"running", float64(l.Running)},
		{"waiting", float64(l.Waiting)},
		{"max-running", float64(l.MaxRunning)},
		{"waiting-prompt-tokens", float64(l.WaitingPromptTokens)},
		{"prefill-tokens-per-second", l.PrefillTokensPerSecond},
		{"token-interval", float64(l.TokenInterval)},
		{"kv-used-tokens", float64(l.KVUsedTokens)},
		{"kv-total-tokens", float64(l.KVTotalTokens)},
	}
	for _, amount := range amounts {
		if amount.value < 0 {
			findings.Add(at(path+"."+amount.key), "a negative amount", "write 0 or more")
		}
	}
}

// Check returns all that is wrong with the load report.
func (r LoadReport) Check() finding.List {
	var findings finding.List
	checkName(&findings, "$.name", r.Name)
	checkIncarnation(&findings, r.Incarnation)
	if r.Sequence == 0 {
		findings.Add(at("$.sequence"), "a sequence is missing", "go on counting with the announcements")
	}
	r.Load.check(&findings, "$.load")
	return findings
}

// Check returns all that is wrong with the batch, as far as it can be judged
// without any other.
func (e CacheEvents) Check() finding.List {
	var findings finding.List
	checkName(&findings, "$.name", e.Name)
	checkIncarnation(&findings, e.Incarnation)
	if e.First == 0 {
		findings.Add(at("$.first"), "a sequence number is missing", "count the events from 1")
	}
	if e.Age < 0 {
		findings.Add(at("$.age"), "a negative amount", "write 0 or more")
	}
	if len(e.Events) == 0 {
		findings.Add(at("$.events"), "a batch without events", "send none")
	}
	checkCount(&findings, "$.events", len(e.Events), maxEvents)
	if e.Next() < e.First {
		findings.Add(at("$.first"), "the sequence numbers overflow", "start a new incarnation")
	}
	for i, event := range e.Events {
		event.check(&findings, fmt.Sprintf("$.events[%d]", i))
	}
	return findings
}

func (e CacheEvent) check(findings *finding.List, path string) {
	checkWord(findings, path+".kind", e.Kind, CacheStored, CacheEvicted, CacheCleared)
	if e.Tokens < 0 {
		findings.Add(at(path+".tokens"), "a negative amount", "write 0 or more")
	}
	if e.Kind == CacheStored || e.Kind == CacheEvicted {
		checkName(findings, path+".model", e.Model)
		checkName(findings, path+".prefix", e.Prefix)
	}
}

func checkIncarnation(findings *finding.List, incarnation uint64) {
	if incarnation == 0 {
		findings.Add(at("$.incarnation"), "an incarnation is missing", "write a number that grows with each start")
	}
}

// checkName finds a name that is missing, too long or not printable.
func checkName(findings *finding.List, path, name string) {
	switch {
	case name == "":
		findings.Add(at(path), "a name is missing", "write one")
	case len(name) > maxNameBytes:
		findings.Add(at(path), fmt.Sprintf("a name of %d bytes", len(name)), fmt.Sprintf("write %d at most", maxNameBytes))
	case strings.ContainsFunc(name, unprintable):
		findings.Add(at(path), fmt.Sprintf("the name %q holds a space or a control character", name), "write letters, digits and . _ - / : @")
	}
}

func unprintable(r rune) bool {
	return r <= ' ' || r == 0x7f || r == 0xfffd
}

func checkAddress(findings *finding.List, path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		findings.Add(at(path), fmt.Sprintf("%q is no IP number with a port", address), "write it as 127.0.0.1:7701 or [::1]:7701")
	case parsed.Addr().IsUnspecified() || parsed.Port() == 0:
		findings.Add(at(path), fmt.Sprintf("%q cannot be connected to", address), "write the IP number and port that instances reach")
	}
}

func checkWord[W ~string](findings *finding.List, path string, word W, allowed ...W) {
	words := make([]string, 0, len(allowed))
	for _, other := range allowed {
		if word == other {
			return
		}
		if other != "" {
			words = append(words, fmt.Sprintf("%q", string(other)))
		}
	}
	findings.Add(at(path), fmt.Sprintf("%q is not known", string(word)), "write one of "+strings.Join(words, ", "))
}

func checkCount(findings *finding.List, path string, count, limit int) {
	if count > limit {
		findings.Add(at(path), fmt.Sprintf("%d entries", count), fmt.Sprintf("write %d at most", limit))
	}
}

// seenNames finds names that are used twice.
type seenNames map[string]bool

func (s seenNames) check(findings *finding.List, path, name string) {
	if s[name] {
		findings.Add(at(path), fmt.Sprintf("the name %q is used twice", name), "use each once")
	}
	s[name] = true
}
