package permit

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/speed"
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
	case kindRequest, kindBoundRequest, kindIdentifiedRequest, kindRecordedRequest:
		return r.requestOf(kind)
	case kindGranted, kindDescribedGranted:
		return r.granted(kind)
	case kindQueued:
		return Queued{ID: r.id()}
	case kindRejected, kindIdentifiedRejected:
		return r.rejected(kind)
	case kindShuttingDown:
		return ShuttingDown{ID: r.id()}
	case kindRelease:
		return Release{
			ID: r.id(), Outcome: Outcome(r.Byte()), FirstEventTime: r.duration(), RunTime: r.duration(), Events: r.count(),
			StreamTime: r.duration(),
		}
	case kindLoadReport:
		return LoadReport{Upstream: r.String(), PrefillTime: r.duration(), ActiveRequests: r.count()}
	case kindLimitReport, kindPushbackReport, kindLeaveReport, kindRefusalReport, kindSpeedReport:
		return r.processReport(kind)
	case kindSendRequest:
		return SendRequest{ID: r.id(), Upstream: r.String(), Limit: r.limit()}
	case kindTrialRequest:
		return TrialRequest{ID: r.id(), Trial: quarantine.Trial{ID: quarantine.TrialID(r.Uint())}}
	case kindProbationRequest:
		return TrialRequest{ID: r.id(), Trial: r.trial()}
	case kindTrialEnded:
		return TrialEnded{Trial: r.trial()}
	case kindSendAllowed:
		return SendAllowed{ID: r.id()}
	case kindSendDelayed:
		return SendDelayed{ID: r.id(), Wait: r.duration()}
	case kindQuotaRequest, kindQuotaGranted, kindQuotaDenied, kindQuotaReturn, kindQuotaDebit, kindQuotaContinued:
		return r.quotaMessage(kind)
	default:
		return r.streamMessage(kind)
	}
}

// processReport decodes a report about one process of a service.
func (r reader) processReport(kind byte) Message {
	switch kind {
	case kindLimitReport:
		return LimitReport{
			Upstream: r.String(), Incarnation: r.Uint(), Named: r.Byte() != 0, Limit: r.limit(), Age: r.duration(),
		}
	case kindPushbackReport:
		return PushbackReport{Upstream: r.String(), Incarnation: r.Uint(), Remaining: r.duration()}
	case kindLeaveReport:
		return LeaveReport{Upstream: r.String(), Incarnation: r.Uint()}
	case kindSpeedReport:
		return SpeedReport{Upstream: r.String(), Incarnation: r.Uint(), Factor: r.factor(), Samples: r.count()}
	default:
		return RefusalReport{Upstream: r.String(), Incarnation: r.Uint(), Tolerance: r.count()}
	}
}

// quotaMessage decodes a message about a quota.
func (r reader) quotaMessage(kind byte) Message {
	switch kind {
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
	case kindQuotaContinued:
		return QuotaContinued{Workspace: r.String(), Age: r.duration()}
	default:
		return QuotaDebit{Workspace: r.String(), Units: r.units()}
	}
}

// streamMessage decodes a message about where a stream began. If kind is none, the message is
// invalid.
func (r reader) streamMessage(kind byte) Message {
	switch kind {
	case kindStreamReport:
		return StreamReport{Stream: resumption.StreamID(r.Uint()), Origin: r.origin(), Remaining: r.duration()}
	case kindStreamQuery:
		return StreamQuery{ID: r.id(), Stream: resumption.StreamID(r.Uint())}
	case kindStreamFound:
		return StreamFound{ID: r.id(), Origin: r.origin()}
	case kindStreamUnknown:
		return StreamUnknown{ID: r.id()}
	default:
		r.Fail()
		return nil
	}
}

func (r reader) origin() resumption.Origin {
	return resumption.Origin{Service: r.String(), SoftwareVersion: r.String()}
}

func (r reader) trial() quarantine.Trial {
	return quarantine.Trial{ID: quarantine.TrialID(r.Uint()), Crashes: r.count()}
}

func (r reader) limit() ratelimit.Limit {
	limit := ratelimit.Limit(float64(r.Uint()) / limitUnits)
	if !limit.Valid() {
		r.Fail()
		return 0
	}
	return limit
}

func (r reader) factor() float64 {
	factor := float64(r.Uint()) / factorUnits
	if factor < speed.MinFactor || factor > speed.MaxFactor {
		r.Fail()
		return 0
	}
	return factor
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

// requestOf decodes a request of one of several kinds.
func (r reader) requestOf(kind byte) Request {
	m := r.request()
	switch kind {
	case kindBoundRequest:
		m.Software = resumption.BoundTo(r.String())
	case kindIdentifiedRequest:
		m.Workspace, m.Caller = r.String(), r.Uint()
		if r.Byte() != 0 {
			m.Software = resumption.BoundTo(r.String())
		}
	case kindRecordedRequest:
		m.Workspace, m.Caller, m.Software = r.String(), r.Uint(), resumption.ToRecorded()
	}
	return m
}

func (r reader) granted(kind byte) Granted {
	m := Granted{ID: r.id(), Upstream: r.String(), Address: r.String(), PrefillBacklog: r.duration()}
	if kind == kindDescribedGranted {
		m.Described, m.Incarnation, m.SoftwareVersion = true, r.Uint(), r.String()
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

func (r reader) rejected(kind byte) Rejected {
	m := Rejected{
		ID: r.id(), Reason: Reason(r.Byte()), RetryAfter: r.duration(), EstimatedWait: r.duration(),
		Survey: Survey{
			Holders: r.count(), Full: r.count(), PrefillBusy: r.count(), Yielding: r.count(), Avoided: r.count(),
			ReportAge: r.duration(),
		},
	}
	if kind == kindIdentifiedRejected {
		m.Reserved, m.RelativeUse = r.Byte() != 0, r.units()/relativeUseUnits
	}
	return m
}
