package permit

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

// MaxBytes is the largest size of an encoded message. It fits into one datagram on a
// network with an MTU of 1,500 bytes.
const MaxBytes = 1400

// The first byte of an encoded message is its kind.
const (
	kindRequest byte = iota + 1
	kindGranted
	kindQueued
	kindRejected
	kindShuttingDown
	kindRelease
	kindLoadReport
	kindLimitReport
	kindSendRequest
	kindSendAllowed
	kindSendDelayed
	kindQuotaRequest
	kindQuotaGranted
	kindQuotaDenied
	kindQuotaReturn
	kindQuotaDebit
	kindPushbackReport
	kindLeaveReport
	kindRefusalReport
)

const (
	// maxDuration is above every duration that instances send. A message with a longer
	// one is damaged.
	maxDuration = time.Hour
	// maxCount is above every count that instances send.
	maxCount = 1 << 24
	// maxTried is the largest number of upstreams that a request may have tried.
	maxTried = 8
)

// ErrDamaged is the error of Decode for bytes that are not a valid message.
var ErrDamaged = errors.New("permit: message is damaged")

// Append appends the encoding of a message to buffer.
func Append(buffer []byte, message Message) []byte {
	switch m := message.(type) {
	case Request:
		return appendRequest(buffer, m)
	case Granted:
		buffer = appendHead(buffer, kindGranted, m.ID)
		buffer = parcel.AppendBytes(buffer, m.Upstream)
		buffer = parcel.AppendBytes(buffer, m.Address)
		return appendDuration(buffer, m.PrefillBacklog)
	case Queued:
		return appendHead(buffer, kindQueued, m.ID)
	case Rejected:
		return appendRejected(buffer, m)
	case ShuttingDown:
		return appendHead(buffer, kindShuttingDown, m.ID)
	case Release:
		buffer = appendHead(buffer, kindRelease, m.ID)
		buffer = append(buffer, byte(m.Outcome))
		buffer = appendDuration(buffer, m.FirstEventTime)
		buffer = appendDuration(buffer, m.RunTime)
		buffer = parcel.AppendUint(buffer, uint64(m.Events))
		return appendDuration(buffer, m.StreamTime)
	case LoadReport:
		buffer = append(buffer, kindLoadReport)
		buffer = parcel.AppendBytes(buffer, m.Upstream)
		buffer = appendDuration(buffer, m.PrefillTime)
		return parcel.AppendUint(buffer, uint64(m.ActiveRequests))
	case LimitReport:
		buffer = appendProcess(buffer, kindLimitReport, m.Upstream, m.Incarnation)
		buffer = appendBool(buffer, m.Named)
		buffer = appendLimit(buffer, m.Limit)
		return appendDuration(buffer, m.Age)
	case PushbackReport:
		return appendDuration(appendProcess(buffer, kindPushbackReport, m.Upstream, m.Incarnation), m.Remaining)
	case LeaveReport:
		return appendProcess(buffer, kindLeaveReport, m.Upstream, m.Incarnation)
	case RefusalReport:
		return parcel.AppendUint(appendProcess(buffer, kindRefusalReport, m.Upstream, m.Incarnation), uint64(m.Tolerance))
	case SendRequest:
		buffer = appendHead(buffer, kindSendRequest, m.ID)
		buffer = parcel.AppendBytes(buffer, m.Upstream)
		return appendLimit(buffer, m.Limit)
	case SendAllowed:
		return appendHead(buffer, kindSendAllowed, m.ID)
	case SendDelayed:
		return appendDuration(appendHead(buffer, kindSendDelayed, m.ID), m.Wait)
	default:
		return appendQuota(buffer, message)
	}
}

// appendProcess appends the kind of a message and the upstream that it is about.
func appendProcess(buffer []byte, kind byte, upstream string, incarnation uint64) []byte {
	return parcel.AppendUint(parcel.AppendBytes(append(buffer, kind), upstream), incarnation)
}

// appendQuota appends the encoding of a message about a quota.
func appendQuota(buffer []byte, message Message) []byte {
	switch m := message.(type) {
	case QuotaRequest:
		buffer = parcel.AppendBytes(appendHead(buffer, kindQuotaRequest, m.ID), m.Workspace)
		for _, units := range []float64{m.PerSecond, m.Burst, m.Need, m.Ahead} {
			buffer = appendUnits(buffer, units)
		}
		return buffer
	case QuotaGranted:
		return appendBool(appendUnits(appendHead(buffer, kindQuotaGranted, m.ID), m.Units), m.Scarce)
	case QuotaDenied:
		return appendDuration(appendHead(buffer, kindQuotaDenied, m.ID), m.Wait)
	case QuotaReturn:
		return appendUnits(parcel.AppendBytes(append(buffer, kindQuotaReturn), m.Workspace), m.Units)
	case QuotaDebit:
		return appendUnits(parcel.AppendBytes(append(buffer, kindQuotaDebit), m.Workspace), m.Units)
	default:
		return buffer
	}
}

// limitUnits is the factor of an encoded limit, which is in thousandths of a request a
// second.
const limitUnits = 1000

// appendLimit appends a limit, which must be valid.
func appendLimit(buffer []byte, limit ratelimit.Limit) []byte {
	return parcel.AppendUint(buffer, uint64(math.Round(float64(limit)*limitUnits)))
}

func appendBool(buffer []byte, set bool) []byte {
	if set {
		return append(buffer, 1)
	}
	return append(buffer, 0)
}

// maxUnits is above every number of quota units that instances send.
const maxUnits = 1 << 40

// appendUnits appends units of a quota, rounded up to a whole number.
func appendUnits(buffer []byte, units float64) []byte {
	return parcel.AppendUint(buffer, uint64(math.Ceil(min(max(units, 0), maxUnits))))
}

func appendHead(buffer []byte, kind byte, id ID) []byte {
	return parcel.AppendUint(append(buffer, kind), uint64(id))
}

func appendRequest(buffer []byte, m Request) []byte {
	buffer = appendHead(buffer, kindRequest, m.ID)
	for _, text := range []string{m.Service, m.Model, m.Adapter} {
		buffer = parcel.AppendBytes(buffer, text)
	}
	buffer = parcel.AppendUint(buffer, uint64(m.PromptTokens))
	buffer = parcel.AppendUint(buffer, uint64(m.AnswerTokens))
	buffer = appendBool(append(buffer, m.Priority), m.Yields)
	for _, d := range []time.Duration{m.Objective, m.MaxEventGap, m.Age, m.Remaining} {
		buffer = appendDuration(buffer, d)
	}
	buffer = parcel.AppendUint(buffer, uint64(len(m.Tried)))
	for _, name := range m.Tried {
		buffer = parcel.AppendBytes(buffer, name)
	}
	return buffer
}

func appendRejected(buffer []byte, m Rejected) []byte {
	buffer = append(appendHead(buffer, kindRejected, m.ID), byte(m.Reason))
	buffer = appendDuration(buffer, m.RetryAfter)
	buffer = appendDuration(buffer, m.EstimatedWait)
	s := m.Survey
	for _, count := range []int{s.Holders, s.Full, s.PrefillBusy, s.Yielding, s.Avoided} {
		buffer = parcel.AppendUint(buffer, uint64(count))
	}
	return appendDuration(buffer, s.ReportAge)
}

// appendDuration appends a duration in microseconds, and 0 for a negative one.
func appendDuration(buffer []byte, d time.Duration) []byte {
	return parcel.AppendUint(buffer, uint64(max(d, 0).Microseconds()))
}

// Decode decodes a message. If encoded is not a valid encoding, it returns ErrDamaged.
func Decode(encoded []byte) (Message, error) {
	if len(encoded) > MaxBytes {
		return nil, ErrDamaged
	}
	r := reader{parcel.NewReader(encoded)}
	message := r.message(r.Byte())
	if r.End() != nil {
		return nil, ErrDamaged
	}
	return message, nil
}

// reader decodes the fields of a message.
type reader struct {
	*parcel.Reader
}

func (r reader) message(kind byte) Message {
	switch kind {
	case kindRequest:
		return r.request()
	case kindGranted:
		return Granted{ID: r.id(), Upstream: r.String(), Address: r.String(), PrefillBacklog: r.duration()}
	case kindQueued:
		return Queued{ID: r.id()}
	case kindRejected:
		return Rejected{
			ID: r.id(), Reason: Reason(r.Byte()), RetryAfter: r.duration(), EstimatedWait: r.duration(),
			Survey: Survey{
				Holders: r.count(), Full: r.count(), PrefillBusy: r.count(), Yielding: r.count(), Avoided: r.count(),
				ReportAge: r.duration(),
			},
		}
	case kindShuttingDown:
		return ShuttingDown{ID: r.id()}
	case kindRelease:
		return Release{
			ID: r.id(), Outcome: Outcome(r.Byte()), FirstEventTime: r.duration(), RunTime: r.duration(), Events: r.count(),
			StreamTime: r.duration(),
		}
	case kindLoadReport:
		return LoadReport{Upstream: r.String(), PrefillTime: r.duration(), ActiveRequests: r.count()}
	case kindLimitReport:
		return LimitReport{
			Upstream: r.String(), Incarnation: r.Uint(), Named: r.Byte() != 0, Limit: r.limit(), Age: r.duration(),
		}
	case kindPushbackReport:
		return PushbackReport{Upstream: r.String(), Incarnation: r.Uint(), Remaining: r.duration()}
	case kindLeaveReport:
		return LeaveReport{Upstream: r.String(), Incarnation: r.Uint()}
	case kindRefusalReport:
		return RefusalReport{Upstream: r.String(), Incarnation: r.Uint(), Tolerance: r.count()}
	case kindSendRequest:
		return SendRequest{ID: r.id(), Upstream: r.String(), Limit: r.limit()}
	case kindSendAllowed:
		return SendAllowed{ID: r.id()}
	case kindSendDelayed:
		return SendDelayed{ID: r.id(), Wait: r.duration()}
	case kindQuotaRequest:
		return QuotaRequest{
			ID: r.id(), Workspace: r.String(), PerSecond: r.units(), Burst: r.units(), Need: r.units(), Ahead: r.units(),
		}
	case kindQuotaGranted:
		return QuotaGranted{ID: r.id(), Units: r.units(), Scarce: r.Byte() != 0}
	case kindQuotaDenied:
		return QuotaDenied{ID: r.id(), Wait: r.duration()}
	case kindQuotaReturn:
		return QuotaReturn{Workspace: r.String(), Units: r.units()}
	case kindQuotaDebit:
		return QuotaDebit{Workspace: r.String(), Units: r.units()}
	default:
		r.Fail()
		return nil
	}
}

func (r reader) limit() ratelimit.Limit {
	limit := ratelimit.Limit(float64(r.Uint()) / limitUnits)
	if !limit.Valid() {
		r.Fail()
		return 0
	}
	return limit
}

func (r reader) units() float64 {
	return float64(r.uintUpTo(maxUnits))
}

func (r reader) request() Request {
	m := Request{
		ID: r.id(), Service: r.String(), Model: r.String(), Adapter: r.String(),
		PromptTokens: r.count(), AnswerTokens: r.count(), Priority: r.Byte(), Yields: r.Byte() != 0,
		Objective: r.duration(), MaxEventGap: r.duration(), Age: r.duration(), Remaining: r.duration(),
	}
	tried := r.Count()
	if tried > maxTried {
		r.Fail()
		return m
	}
	for range tried {
		m.Tried = append(m.Tried, r.String())
	}
	return m
}

func (r reader) id() ID {
	return ID(r.Uint())
}

func (r reader) count() int {
	return int(r.uintUpTo(maxCount))
}

func (r reader) duration() time.Duration {
	return time.Duration(r.uintUpTo(uint64(maxDuration.Microseconds()))) * time.Microsecond
}

// uintUpTo reads a number. If it exceeds maximum, the message is invalid.
func (r reader) uintUpTo(maximum uint64) uint64 {
	number := r.Uint()
	if number > maximum {
		r.Fail()
		return 0
	}
	return number
}
