package permit

import (
	"math"
	"time"

	"github.com/lovagelift/lovagelift/internal/parcel"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/resumption"
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
	kindStreamReport
	kindStreamQuery
	kindStreamFound
	kindStreamUnknown
	// kindBoundRequest is a Request with a constraint. Instances that do not know constraints ignore
	// it.
	kindBoundRequest
	kindTrialRequest
	// kindIdentifiedRequest is a Request with a workspace or a caller.
	kindIdentifiedRequest
	// kindIdentifiedRejected is a Rejected with a reservation or a relative use. It replies to a
	// kindIdentifiedRequest only.
	kindIdentifiedRejected
	kindSpeedReport
	// kindQuotaContinued is ignored by instances that do not know it.
	kindQuotaContinued
	// kindRecordedRequest is a Request that is limited to recorded versions, with a workspace and a caller.
	// Instances that do not know it ignore it.
	kindRecordedRequest
	// kindDescribedGranted is a Granted that describes the upstream. It replies to a kindRecordedRequest
	// only.
	kindDescribedGranted
	// kindProbationRequest is a TrialRequest with a number of crashes. Instances that do not know it
	// ignore it, and kindTrialEnded.
	kindProbationRequest
	kindTrialEnded
)

// Append appends the encoding of a message to buffer.
func Append(buffer []byte, message Message) []byte {
	switch m := message.(type) {
	case Request:
		return appendRequest(buffer, m)
	case Granted:
		return appendGranted(buffer, m)
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
	case SpeedReport:
		buffer = appendProcess(buffer, kindSpeedReport, m.Upstream, m.Incarnation)
		buffer = parcel.AppendUint(buffer, uint64(math.Round(m.Factor*factorUnits)))
		return parcel.AppendUint(buffer, uint64(m.Samples))
	case SendRequest, TrialRequest, TrialEnded, SendAllowed, SendDelayed:
		return appendSend(buffer, message)
	case StreamReport, StreamQuery, StreamFound, StreamUnknown:
		return appendStream(buffer, message)
	default:
		return appendQuota(buffer, message)
	}
}

func appendTrial(buffer []byte, trial quarantine.Trial) []byte {
	return parcel.AppendUint(parcel.AppendUint(buffer, uint64(trial.ID)), uint64(trial.Crashes))
}

// appendSend appends the encoding of a message about whether a request may be sent.
func appendSend(buffer []byte, message Message) []byte {
	switch m := message.(type) {
	case SendRequest:
		buffer = appendHead(buffer, kindSendRequest, m.ID)
		buffer = parcel.AppendBytes(buffer, m.Upstream)
		return appendLimit(buffer, m.Limit)
	case TrialRequest:
		if m.Trial.Crashes == 0 {
			return parcel.AppendUint(appendHead(buffer, kindTrialRequest, m.ID), uint64(m.Trial.ID))
		}
		return appendTrial(appendHead(buffer, kindProbationRequest, m.ID), m.Trial)
	case TrialEnded:
		return appendTrial(append(buffer, kindTrialEnded), m.Trial)
	case SendAllowed:
		return appendHead(buffer, kindSendAllowed, m.ID)
	case SendDelayed:
		return appendDuration(appendHead(buffer, kindSendDelayed, m.ID), m.Wait)
	default:
		return buffer
	}
}

// appendStream appends the encoding of a message about where a stream began.
func appendStream(buffer []byte, message Message) []byte {
	switch m := message.(type) {
	case StreamReport:
		buffer = parcel.AppendUint(append(buffer, kindStreamReport), uint64(m.Stream))
		return appendDuration(appendOrigin(buffer, m.Origin), m.Remaining)
	case StreamQuery:
		return parcel.AppendUint(appendHead(buffer, kindStreamQuery, m.ID), uint64(m.Stream))
	case StreamFound:
		return appendOrigin(appendHead(buffer, kindStreamFound, m.ID), m.Origin)
	case StreamUnknown:
		return appendHead(buffer, kindStreamUnknown, m.ID)
	default:
		return buffer
	}
}

func appendOrigin(buffer []byte, origin resumption.Origin) []byte {
	return parcel.AppendBytes(parcel.AppendBytes(buffer, origin.Service), origin.SoftwareVersion)
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
	case QuotaContinued:
		return appendDuration(parcel.AppendBytes(append(buffer, kindQuotaContinued), m.Workspace), m.Age)
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

// factorUnits is the factor of an encoded speed, which is in thousandths.
const factorUnits = 1000

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

func appendGranted(buffer []byte, m Granted) []byte {
	kind := kindGranted
	if m.Described {
		kind = kindDescribedGranted
	}
	buffer = appendHead(buffer, kind, m.ID)
	buffer = parcel.AppendBytes(buffer, m.Upstream)
	buffer = parcel.AppendBytes(buffer, m.Address)
	buffer = appendDuration(buffer, m.PrefillBacklog)
	if m.Described {
		buffer = parcel.AppendBytes(parcel.AppendUint(buffer, m.Incarnation), m.SoftwareVersion)
	}
	return buffer
}

func appendRequest(buffer []byte, m Request) []byte {
	kind := kindRequest
	switch {
	case m.Software.Recorded:
		kind = kindRecordedRequest
	case m.identified():
		kind = kindIdentifiedRequest
	case m.Software.Bound:
		kind = kindBoundRequest
	}
	buffer = appendHead(buffer, kind, m.ID)
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
	if kind == kindRecordedRequest {
		return parcel.AppendUint(parcel.AppendBytes(buffer, m.Workspace), m.Caller)
	}
	if m.identified() {
		buffer = parcel.AppendUint(parcel.AppendBytes(buffer, m.Workspace), m.Caller)
		buffer = appendBool(buffer, m.Software.Bound)
	}
	if m.Software.Bound {
		buffer = parcel.AppendBytes(buffer, m.Software.SoftwareVersion)
	}
	return buffer
}

// relativeUseUnits is the number of units of a relative use of 1.
const relativeUseUnits = 1000

func appendRejected(buffer []byte, m Rejected) []byte {
	kind := kindRejected
	if m.identified() {
		kind = kindIdentifiedRejected
	}
	buffer = append(appendHead(buffer, kind, m.ID), byte(m.Reason))
	buffer = appendDuration(buffer, m.RetryAfter)
	buffer = appendDuration(buffer, m.EstimatedWait)
	s := m.Survey
	for _, count := range []int{s.Holders, s.Full, s.PrefillBusy, s.Yielding, s.Avoided} {
		buffer = parcel.AppendUint(buffer, uint64(count))
	}
	buffer = appendDuration(buffer, s.ReportAge)
	if m.identified() {
		buffer = appendUnits(appendBool(buffer, m.Reserved), m.RelativeUse*relativeUseUnits)
	}
	return buffer
}

// appendDuration appends a duration in microseconds, and 0 for a negative one.
func appendDuration(buffer []byte, d time.Duration) []byte {
	return parcel.AppendUint(buffer, uint64(max(d, 0).Microseconds()))
}
