// Package settings is the configuration file of one instance, a TOML file that is
// read once when the instance starts.
//
// Services, models, presets and other desired state, which all instances must
// agree on, are in package declaration instead. docs/operators/settings.md lists
// every key with its unit, its default and the source of the default.
package settings

import (
	"net/netip"
	"time"
)

// Settings is the configuration of one instance. Values returned by Parse satisfy
// the invariants in the comments of the fields.
type Settings struct {
	// Name is unique among the instances.
	Name string
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// DataFolder is the folder for persistent state. It is empty for an instance
	// without a disk, and never empty if Voter is true.
	DataFolder string
	// Voter is set if this instance is a voting member of the consensus group.
	Voter bool
	// AllowOpenListeners permits the operators' and the inner listener to listen
	// beyond loopback without TLS, and the former without tokens.
	AllowOpenListeners bool
	LogLevel           LogLevel
	// Listen holds the addresses that this instance listens on. No two of them
	// overlap.
	Listen Addresses
	// Advertise holds the addresses that peers connect to. They differ from Listen
	// behind network address translation or if Listen is unspecified, and are
	// themselves never unspecified.
	Advertise Addresses
	// Instances are the other instances. Their names and addresses are unique, and
	// differ from those of this instance.
	Instances   []Instance
	Timing      Timing
	Limits      Limits
	TLS         TLS
	Tokens      Tokens
	Placement   Placement
	WeightStore WeightStore
	Policy      Policy
	Goals       Goals
	Quarantine  Quarantine
}

// Addresses holds the address of the listener for each kind of peer. Inner is for
// traffic between instances.
type Addresses struct {
	Caller   netip.AddrPort
	Upstream netip.AddrPort
	Operator netip.AddrPort
	Inner    netip.AddrPort
}

// Instance is another instance of the deployment.
type Instance struct {
	Name          string
	InnerAddress  netip.AddrPort
	CallerAddress netip.AddrPort
	FailureDomain string
	Voter         bool
}

// LogLevel is the minimum level of log messages that are written.
type LogLevel string

// The log levels. Routing and placement decisions are logged at LogInfo.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Timing holds the intervals, leases and timeouts of the protocols among
// instances, and with callers and upstreams. They must be equal on all instances.
type Timing struct {
	// Heartbeat is the interval between heartbeats of the leader. ElectionTimeout
	// is longer than three of them, so that a lost heartbeat starts no election.
	Heartbeat time.Duration
	// ElectionTimeout is how long a voter waits for a heartbeat before it becomes
	// a candidate.
	ElectionTimeout time.Duration
	// ClockDriftPercent bounds the difference between the rates of two clocks.
	ClockDriftPercent int
	// ConfigurationRenewal is the interval at which an instance confirms that its
	// configuration is the latest. It is shorter than ConfigurationLease.
	ConfigurationRenewal time.Duration
	// ConfigurationLease is how long an instance uses a configuration after
	// confirming it. It is longer than ElectionTimeout: otherwise new work would
	// stop at every change of leader.
	ConfigurationLease time.Duration
	// UpstreamRenewal is the interval between announcements of an upstream. It is
	// shorter than UpstreamLease.
	UpstreamRenewal time.Duration
	// UpstreamLease is how long an upstream receives new work after an
	// announcement.
	UpstreamLease time.Duration
	// StatusQueryDelay is how long an idempotent request waits for a response on a
	// connection before a status query is sent to the upstream over a second one.
	StatusQueryDelay time.Duration
	// OrderTimeout is the timeout of the call that sends an order to an engine.
	// No order is in flight for longer.
	OrderTimeout time.Duration
	// ReferralTTL is how long a caller caches the instance that it has been referred
	// to. It is shorter than DrainTime: otherwise callers would still connect to an
	// instance that has stopped.
	ReferralTTL time.Duration
	// DrainTime is the expected maximum duration of a planned stop. A stop may take
	// longer, but after ten times DrainTime the remaining requests are answered.
	DrainTime time.Duration
}

// Limits bounds the resources that callers and upstreams can use on an instance.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int64
	// HeaderTime bounds how long a client takes to send the headers.
	HeaderTime time.Duration
	// BodyTime bounds how long a client takes to send the body.
	BodyTime time.Duration
	// QueueLength bounds the requests that are queued for the upstreams of one
	// model or plain service.
	QueueLength int
	// Streams bounds the requests in progress.
	Streams int
	// IdempotencyRecords and IdempotencyBytes bound the number and the total size of
	// idempotency records.
	IdempotencyRecords int
	IdempotencyBytes   int64
	// IdempotencyAnswerBytes bounds the response stored in one idempotency record. It is
	// at most IdempotencyBytes.
	IdempotencyAnswerBytes int64
	// IdempotencyRetention is how long an idempotency record is kept.
	IdempotencyRetention time.Duration
}

// KeyPair holds the paths of the files of a TLS certificate and its key. Either
// both or neither are set.
type KeyPair struct {
	CertFile string
	KeyFile  string
	// CAFile holds the certificate authorities that verify the certificates of
	// peers. It is set only if the other two are.
	CAFile string
}

// IsSet reports whether TLS is enabled.
func (k KeyPair) IsSet() bool {
	return k.CertFile != ""
}

// TLS holds one KeyPair for each listener. The files are reloaded when they
// change.
type TLS struct {
	Callers   KeyPair
	Upstreams KeyPair
	Operators KeyPair
	// Inner has a CAFile if it is set, since instances use mutual TLS.
	Inner KeyPair
}

// Tokens holds the paths of the files with the hashes of bearer tokens. If a path
// is empty, no token is required.
type Tokens struct {
	OperatorsFile string
	UpstreamsFile string
}

// Placement is the configuration of the placement of models on engines.
type Placement struct {
	// Enabled makes the leader of the voters send load and unload orders to
	// engines. It must be equal on all voters, and all must run a version that
	// supports orders.
	Enabled bool
}

// WeightStore is the load that the weight store supports.
type WeightStore struct {
	// LoadsPerSecond is the maximum rate at which loads start.
	LoadsPerSecond float64
	// Concurrent is the number of concurrent loads that run at full speed.
	Concurrent int
}

// Policy is the weighting between competing goals of placement.
type Policy struct {
	// WeightOfMoves is the gain in goal attainment that a move must bring, as a
	// multiple of the measured cost of a move. A preset can override it.
	WeightOfMoves float64
}

// Goals holds the default goals of services, for those that their declarations do
// not set.
type Goals struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Deadline      time.Duration
}

// Quarantine is the rule by which requests that crash upstreams are refused. It
// must be equal on all voters.
type Quarantine struct {
	// Crashes is the number of upstreams, at least 2, that must have crashed while
	// they ran a request, before it is refused.
	Crashes int
	// Retention is how long the request is refused after the last crash.
	Retention time.Duration
}

// Default returns the settings for a file with only the required keys. Name and
// FailureDomain, which are required, are empty.
func Default() Settings {
	listen := Addresses{
		Caller:   netip.MustParseAddrPort("127.0.0.1:7600"),
		Upstream: netip.MustParseAddrPort("127.0.0.1:7601"),
		Operator: netip.MustParseAddrPort("127.0.0.1:7602"),
		Inner:    netip.MustParseAddrPort("127.0.0.1:7603"),
	}
	return Settings{
		LogLevel:  LogInfo,
		Listen:    listen,
		Advertise: listen,
		Timing: Timing{
			Heartbeat:            100 * time.Millisecond,
			ElectionTimeout:      time.Second,
			ClockDriftPercent:    5,
			ConfigurationRenewal: 500 * time.Millisecond,
			ConfigurationLease:   3 * time.Second,
			UpstreamRenewal:      time.Second,
			UpstreamLease:        3 * time.Second,
			StatusQueryDelay:     time.Second,
			OrderTimeout:         5 * time.Second,
			ReferralTTL:          5 * time.Second,
			DrainTime:            60 * time.Second,
		},
		Limits: Limits{
			BodyBytes:              4 << 20,
			HeaderBytes:            64 << 10,
			HeaderTime:             5 * time.Second,
			BodyTime:               30 * time.Second,
			QueueLength:            1024,
			Streams:                4096,
			IdempotencyRecords:     200_000,
			IdempotencyBytes:       16 << 20,
			IdempotencyAnswerBytes: 64 << 10,
			IdempotencyRetention:   96 * time.Hour,
		},
		WeightStore: WeightStore{LoadsPerSecond: 1.6, Concurrent: 2},
		Policy:      Policy{WeightOfMoves: 1},
		Quarantine:  Quarantine{Crashes: 3, Retention: 30 * time.Minute},
		Goals: Goals{
			FirstToken:    540 * time.Millisecond,
			BetweenTokens: 75 * time.Millisecond,
			Deadline:      60 * time.Second,
		},
	}
}
