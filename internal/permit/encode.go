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
	kindAsk byte = iota + 1
	kindGranted
	kindQueued
	kindRefused
	kindMoved
	kindEnded
	kindUse
	kindLimited
	kindClaim
	kindAllowed
	kindHeld
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
	case Ask:
		return appendAsk(buffer, m)
	case Granted:
		buffer = appendHead(buffer, kindGranted, m.ID)
		buffer = parcel.AppendBytes(buffer, m.Upstream)
		buffer = parcel.AppendBytes(buffer, m.Address)
		return appendDuration(buffer, m.Unread)
	case Queued:
		return appendHead(buffer, kindQueued, m.ID)
	case Refused:
		return appendRefused(buffer, m)
	case Moved:
		return appendHead(buffer, kindMoved, m.ID)
	case Ended:
		buffer = appendHead(buffer, kindEnded, m.ID)
		buffer = append(buffer, byte(m.Outcome))
		buffer = appendDuration(buffer, m.First)
		buffer = appendDuration(buffer, m.Run)
		buffer = parcel.AppendUint(buffer, uint64(m.Events))
		return appendDuration(buffer, m.Writing)
	case Use:
		buffer = append(buffer, kindUse)
		buffer = parcel.AppendBytes(buffer, m.Upstream)
		buffer = appendDuration(buffer, m.Reading)
		return parcel.AppendUint(buffer, uint64(m.Open))
	case Limited:
		buffer = parcel.AppendBytes(append(buffer, kindLimited), m.Upstream)
		buffer = parcel.AppendUint(buffer, m.Incarnation)
		named := byte(0)
		if m.Named {
			named = 1
		}
		buffer = append(buffer, named)
		buffer = appendLimit(buffer, m.Limit)
		return appendDuration(buffer, m.Age)
	case Claim:
		buffer = appendHead(buffer, kindClaim, m.ID)
		buffer = parcel.AppendBytes(buffer, m.Upstream)
		return appendLimit(buffer, m.Limit)
	case Allowed:
		return appendHead(buffer, kindAllowed, m.ID)
	case Held:
		return appendDuration(appendHead(buffer, kindHeld, m.ID), m.Wait)
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

func appendHead(buffer []byte, kind byte, id ID) []byte {
	return parcel.AppendUint(append(buffer, kind), uint64(id))
}

func appendAsk(buffer []byte, m Ask) []byte {
	buffer = appendHead(buffer, kindAsk, m.ID)
	for _, text := range []string{m.Service, m.Model, m.Adapter} {
		buffer = parcel.AppendBytes(buffer, text)
	}
	buffer = parcel.AppendUint(buffer, uint64(m.PromptTokens))
	buffer = parcel.AppendUint(buffer, uint64(m.AnswerTokens))
	buffer = append(buffer, m.Priority)
	for _, d := range []time.Duration{m.Objective, m.Gap, m.Age, m.Left} {
		buffer = appendDuration(buffer, d)
	}
	buffer = parcel.AppendUint(buffer, uint64(len(m.Tried)))
	for _, name := range m.Tried {
		buffer = parcel.AppendBytes(buffer, name)
	}
	return buffer
}

func appendRefused(buffer []byte, m Refused) []byte {
	buffer = append(appendHead(buffer, kindRefused, m.ID), byte(m.Reason))
	buffer = appendDuration(buffer, m.ComeBack)
	buffer = appendDuration(buffer, m.Forecast)
	s := m.Survey
	for _, count := range []int{s.Holders, s.Full, s.Paced, s.Yielding, s.Avoided} {
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
	case kindAsk:
		return r.ask()
	case kindGranted:
		return Granted{ID: r.id(), Upstream: r.String(), Address: r.String(), Unread: r.duration()}
	case kindQueued:
		return Queued{ID: r.id()}
	case kindRefused:
		return Refused{
			ID: r.id(), Reason: Reason(r.Byte()), ComeBack: r.duration(), Forecast: r.duration(),
			Survey: Survey{
				Holders: r.count(), Full: r.count(), Paced: r.count(), Yielding: r.count(), Avoided: r.count(),
				ReportAge: r.duration(),
			},
		}
	case kindMoved:
		return Moved{ID: r.id()}
	case kindEnded:
		return Ended{
			ID: r.id(), Outcome: Outcome(r.Byte()), First: r.duration(), Run: r.duration(), Events: r.count(),
			Writing: r.duration(),
		}
	case kindUse:
		return Use{Upstream: r.String(), Reading: r.duration(), Open: r.count()}
	case kindLimited:
		return Limited{
			Upstream: r.String(), Incarnation: r.Uint(), Named: r.Byte() != 0, Limit: r.limit(), Age: r.duration(),
		}
	case kindClaim:
		return Claim{ID: r.id(), Upstream: r.String(), Limit: r.limit()}
	case kindAllowed:
		return Allowed{ID: r.id()}
	case kindHeld:
		return Held{ID: r.id(), Wait: r.duration()}
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

func (r reader) ask() Ask {
	m := Ask{
		ID: r.id(), Service: r.String(), Model: r.String(), Adapter: r.String(),
		PromptTokens: r.count(), AnswerTokens: r.count(), Priority: r.Byte(),
		Objective: r.duration(), Gap: r.duration(), Age: r.duration(), Left: r.duration(),
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
	count := r.Uint()
	if count > maxCount {
		r.Fail()
		return 0
	}
	return int(count)
}

func (r reader) duration() time.Duration {
	micros := r.Uint()
	if micros > uint64(maxDuration.Microseconds()) {
		r.Fail()
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}
