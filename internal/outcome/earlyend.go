package outcome

// EarlyEnd is why an answer of which the caller has got the head ended before it was whole.
type EarlyEnd uint8

const (
	// CallerLeft means that the caller disconnected, or did not read any longer.
	CallerLeft EarlyEnd = iota + 1
	// UpstreamBrokeOff means that the upstream broke it off, or that its connection was lost.
	UpstreamBrokeOff
	// DeadlinePassed means that the time for the request was over.
	DeadlinePassed
	// InstanceStopped means that it still ran at the end of a planned shutdown.
	InstanceStopped
	// CutBetweenEvents means that it was cut between two events shortly before that, so that its caller may
	// resume it.
	CutBetweenEvents
	// LeftToCaller means that nothing confirms its end, which its caller finds out by resuming it.
	LeftToCaller
)

// String returns the name of the cause in logs and metrics.
func (e EarlyEnd) String() string {
	switch e {
	case CallerLeft:
		return "caller-left"
	case DeadlinePassed:
		return "deadline-passed"
	case InstanceStopped:
		return "instance-stopped"
	case CutBetweenEvents:
		return "cut-between-events"
	case LeftToCaller:
		return "left-to-caller"
	case UpstreamBrokeOff:
		return "upstream-broke-off"
	default:
		return "unknown"
	}
}
