package upstreamapi

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// Limits on the messages of an upstream.
const (
	maxNameBytes    = 256
	maxAccelerators = 64
	maxResident     = 4096
	maxServices     = 1024
	maxCacheEvents  = 4096
)

// rootPath is the location of a finding about the whole message.
const rootPath = "$"

// DecodeAnnouncement decodes and validates an announcement. If there are
// findings, the announcement must not be used. Unknown keys are ignored, so
// that an upstream may be newer than the instance it announces to.
func DecodeAnnouncement(data []byte) (Announcement, finding.List) {
	var announcement Announcement
	findings := decode(data, &announcement)
	if findings.Len() > 0 {
		return Announcement{}, findings
	}
	return announcement, announcement.Check()
}

// DecodeCacheEvents decodes and validates a batch of cache events. If there are
// findings, the events must not be used.
func DecodeCacheEvents(data []byte) (CacheEvents, finding.List) {
	var events CacheEvents
	findings := decode(data, &events)
	if findings.Len() > 0 {
		return CacheEvents{}, findings
	}
	return events, events.Check()
}

// DecodeOrder decodes and validates an order. If there are findings, the order
// must not be carried out.
func DecodeOrder(data []byte) (Order, finding.List) {
	var order Order
	findings := decode(data, &order)
	if findings.Len() > 0 {
		return Order{}, findings
	}
	return order, order.Check()
}

// DecodeLoadReport decodes and validates a load report. If there are findings,
// the report must not be used.
func DecodeLoadReport(data []byte) (LoadReport, finding.List) {
	var report LoadReport
	findings := decode(data, &report)
	if findings.Len() > 0 {
		return LoadReport{}, findings
	}
	return report, report.Check()
}

// DecodeLeave decodes and validates a leave message. If there are findings, the
// message must not be used.
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

// decode unmarshals data into target. The location of a finding is the path of
// a value of the wrong type, or the line and column of a JSON syntax error.
func decode(data []byte, target any) finding.List {
	var findings finding.List
	err := json.Unmarshal(data, target)
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil:
	case errors.As(err, &syntaxErr):
		findings.Add(offsetPlace(data, syntaxErr.Offset), "broken JSON: "+syntaxErr.Error(), "")
	case errors.As(err, &typeErr):
		findings.Add(pathPlace(rootPath+"."+typeErr.Field), "a "+typeErr.Value+" is of the wrong type",
			"write a value that fits "+typeErr.Type.String())
	default:
		findings.Add(pathPlace(rootPath), err.Error(), "")
	}
	return findings
}

// offsetPlace returns the line and column of the byte at offset.
func offsetPlace(data []byte, offset int64) finding.Place {
	before := string(data[:min(int(offset), len(data))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndex(before, "\n") - 1
	return finding.Place{File: "body", Line: line, Column: max(column, 1)}
}

func pathPlace(path string) finding.Place {
	return finding.Place{File: path}
}

// Check validates the announcement on its own, without regard to other
// announcements.
func (a Announcement) Check() finding.List {
	var findings finding.List
	checkName(&findings, "$.name", a.Name)
	checkName(&findings, "$.failure-domain", a.FailureDomain)
	checkAddress(&findings, "$.address", a.Address)
	checkIncarnation(&findings, a.Incarnation)
	if length := len(a.SoftwareVersion); length > maxNameBytes {
		findings.Add(pathPlace("$.software-version"), fmt.Sprintf("%d bytes", length), fmt.Sprintf("write %d at most", maxNameBytes))
	}
	if a.Sequence == 0 {
		findings.Add(pathPlace("$.sequence"), "a sequence is missing", "count the announcements from 1")
	}
	a.checkEnums(&findings)
	a.checkKind(&findings)
	a.checkMemory(&findings)
	a.Load.check(&findings, "$.load")
	return findings
}

func (a Announcement) checkEnums(findings *finding.List) {
	checkEnum(findings, "$.fencing", a.Fencing, "", FencingChecked, FencingIgnored)
	checkEnum(findings, "$.order-authorization", a.OrderAuthorization, "", AuthorizationBearer, AuthorizationIgnored)
	checkEnum(findings, "$.role", a.Role, "", RoleMixed, RolePrefill, RoleDecode)
	checkEnum(findings, "$.kind", a.Kind, KindEngine, KindService)
}

// checkKind validates the fields that depend on the kind of upstream.
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
			findings.Add(pathPlace("$.services"), "a service upstream names no service", "name those that it answers for")
		}
		if len(a.Accelerators)+len(a.Resident) > 0 {
			findings.Add(pathPlace("$.kind"), "a service upstream has no accelerators nor models", "write \"engine\"")
		}
	case KindEngine:
		if len(a.Services) > 0 {
			findings.Add(pathPlace("$.services"), "an engine answers for no services", "announce the service under a name of its own")
		}
	}
}

func (l Load) check(findings *finding.List, path string) {
	fields := []struct {
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
	for _, field := range fields {
		if field.value < 0 {
			findings.Add(pathPlace(path+"."+field.key), "a negative amount", "write 0 or more")
		}
	}
}

// Check validates the load report.
func (r LoadReport) Check() finding.List {
	var findings finding.List
	checkName(&findings, "$.name", r.Name)
	checkIncarnation(&findings, r.Incarnation)
	if r.Sequence == 0 {
		findings.Add(pathPlace("$.sequence"), "a sequence is missing", "go on counting with the announcements")
	}
	r.Load.check(&findings, "$.load")
	return findings
}

// Check validates the batch on its own, without regard to other batches.
func (e CacheEvents) Check() finding.List {
	var findings finding.List
	checkName(&findings, "$.name", e.Name)
	checkIncarnation(&findings, e.Incarnation)
	if e.First == 0 {
		findings.Add(pathPlace("$.first"), "a sequence number is missing", "count the events from 1")
	}
	if e.Age < 0 {
		findings.Add(pathPlace("$.age"), "a negative amount", "write 0 or more")
	}
	if len(e.Events) == 0 {
		findings.Add(pathPlace("$.events"), "a batch without events", "send none")
	}
	checkCount(&findings, "$.events", len(e.Events), maxCacheEvents)
	if e.Next() < e.First {
		findings.Add(pathPlace("$.first"), "the sequence numbers overflow", "start a new incarnation")
	}
	for i, event := range e.Events {
		event.check(&findings, fmt.Sprintf("$.events[%d]", i))
	}
	return findings
}

func (e CacheEvent) check(findings *finding.List, path string) {
	checkEnum(findings, path+".kind", e.Kind, CacheStored, CacheEvicted, CacheCleared)
	if e.Tokens < 0 {
		findings.Add(pathPlace(path+".tokens"), "a negative amount", "write 0 or more")
	}
	if e.Kind == CacheStored || e.Kind == CacheEvicted {
		checkName(findings, path+".model", e.Model)
		checkName(findings, path+".prefix", e.Prefix)
	}
}

func checkIncarnation(findings *finding.List, incarnation uint64) {
	if incarnation == 0 {
		findings.Add(pathPlace("$.incarnation"), "an incarnation is missing", "write a number that grows with each start")
	}
}

// checkName rejects a name that is empty, too long, or contains a space, a
// control character or invalid UTF-8.
func checkName(findings *finding.List, path, name string) {
	switch {
	case name == "":
		findings.Add(pathPlace(path), "a name is missing", "write one")
	case len(name) > maxNameBytes:
		findings.Add(pathPlace(path), fmt.Sprintf("a name of %d bytes", len(name)), fmt.Sprintf("write %d at most", maxNameBytes))
	case strings.ContainsFunc(name, unprintable):
		findings.Add(pathPlace(path), fmt.Sprintf("the name %q holds a space or a control character", name), "write letters, digits and . _ - / : @")
	}
}

func unprintable(r rune) bool {
	return r <= ' ' || r == 0x7f || r == 0xfffd
}

func checkAddress(findings *finding.List, path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		findings.Add(pathPlace(path), fmt.Sprintf("%q is no IP number with a port", address), "write it as 127.0.0.1:7701 or [::1]:7701")
	case parsed.Addr().IsUnspecified() || parsed.Port() == 0:
		findings.Add(pathPlace(path), fmt.Sprintf("%q cannot be connected to", address), "write the IP number and port that instances reach")
	}
}

func checkEnum[E ~string](findings *finding.List, path string, value E, allowed ...E) {
	quoted := make([]string, 0, len(allowed))
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
		if candidate != "" {
			quoted = append(quoted, fmt.Sprintf("%q", string(candidate)))
		}
	}
	findings.Add(pathPlace(path), fmt.Sprintf("%q is not known", string(value)), "write one of "+strings.Join(quoted, ", "))
}

func checkCount(findings *finding.List, path string, count, limit int) {
	if count > limit {
		findings.Add(pathPlace(path), fmt.Sprintf("%d entries", count), fmt.Sprintf("write %d at most", limit))
	}
}

// seenNames detects duplicate names.
type seenNames map[string]bool

func (s seenNames) check(findings *finding.List, path, name string) {
	if s[name] {
		findings.Add(pathPlace(path), fmt.Sprintf("the name %q is used twice", name), "use each once")
	}
	s[name] = true
}
