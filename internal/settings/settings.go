// Package settings reads the settings of one instance, a TOML file that is read
// once when the instance starts.
//
// What all instances must agree on (services, models, presets) is not here but
// in declarations, see package declaration. docs/operators/settings.md lists
// every key with its unit, its default and the source of the default.
package settings

import (
	"net/netip"
	"time"
)

// Settings is the settings of one instance. Values made by Parse satisfy every
// invariant that is stated on the fields.
type Settings struct {
	// Name is unique among the instances.
	Name string
	// FailureDomain is the failure domain that this instance runs in.
	FailureDomain string
	// DataFolder is where an instance with a disk keeps what must survive. It
	// is empty for an instance without one, and never empty if Voter is true.
	DataFolder string
	// Voter tells whether this instance takes part in agreement.
	Voter bool
	// AllowOpenListeners lets the operators' and the inner listener listen
	// beyond loopback without TLS.
	AllowOpenListeners bool
	LogLevel           LogLevel
	// Listen holds the addresses that this instance listens on. No two of them
	// are equal.
	Listen Addresses
	// Advertise holds the addresses that others are told. They differ from
	// Listen where addresses are translated, and are never unspecified.
	Advertise Addresses
	// Instances are the other instances. Their names differ from each other and
	// from Name, as do their addresses.
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

// Addresses is one address for each kind of peer.
type Addresses struct {
	Caller   netip.AddrPort
	Upstream netip.AddrPort
	Operator netip.AddrPort
	Inner    netip.AddrPort
}

// Instance is another instance.
type Instance struct {
	Name          string
	InnerAddress  netip.AddrPort
	CallerAddress netip.AddrPort
	FailureDomain string
	Voter         bool
}

// LogLevel is the least level that is logged.
type LogLevel string

// The log levels. Routing and placement decisions are logged at LogInfo.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Timing is the times that instances keep among themselves and towards callers
// and upstreams. They must be equal on all instances.
type Timing struct {
	// Heartbeat is how often a leader tells the voters that it lives. Three of
	// them fit into ElectionTimeout.
	Heartbeat time.Duration
	// ElectionTimeout is how long a voter waits for a heartbeat before it
	// stands for election.
	ElectionTimeout time.Duration
	// ClockDriftPercent bounds by how much the rates of two clocks differ.
	ClockDriftPercent int
	// ConfigurationRenewal is how often an instance confirms that its
	// configuration is the latest. It is shorter than ConfigurationLease.
	ConfigurationRenewal time.Duration
	// ConfigurationLease is how long a confirmed configuration is used.
	ConfigurationLease time.Duration
	// UpstreamRenewal is how often an upstream announces itself. It is shorter
	// than UpstreamLease.
	UpstreamRenewal time.Duration
	// UpstreamLease is how long an upstream gets new work after an
	// announcement.
	UpstreamLease time.Duration
	// SilenceTime is how long an open connection may be silent before a fresh
	// one is tried beside it.
	SilenceTime time.Duration
	// OrderFlightTime is the longest time that an order can be under way.
	OrderFlightTime time.Duration
	// EntryTime is how long a caller keeps the answer which instance to use. It
	// is shorter than DrainTime.
	EntryTime time.Duration
	// DrainTime is the longest time that a planned stop is expected to take.
	// After it, each request that is still open is logged; none is cut off.
	DrainTime time.Duration
}

// Limits bounds what callers and upstreams can make an instance hold.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int64
	// HeaderTime bounds how long a client takes to send the headers.
	HeaderTime time.Duration
	// BodyTime bounds how long a client takes to send the body.
	BodyTime time.Duration
	// QueueLength bounds the requests that wait for the upstreams of one model
	// or plain service.
	QueueLength int
	// Streams bounds the requests that are open at once.
	Streams int
	// DocketRecords and DocketBytes bound the idempotency records.
	DocketRecords int
	DocketBytes   int64
	// DocketAnswerBytes bounds the answer kept in one idempotency record. It is
	// at most DocketBytes.
	DocketAnswerBytes int64
	// DocketRetention is how long an idempotency record is kept.
	DocketRetention time.Duration
}

// KeyPair names the files of a TLS certificate and its key. Both are empty or
// neither is.
type KeyPair struct {
	CertFile string
	KeyFile  string
	// CAFile verifies the other side. If it is set, so are the other two.
	CAFile string
}

// IsSet tells whether TLS is to be used.
func (k KeyPair) IsSet() bool {
	return k.CertFile != ""
}

// TLS holds one KeyPair for each listener. The files are read again when they
// change.
type TLS struct {
	Callers   KeyPair
	Upstreams KeyPair
	Operators KeyPair
	// Inner has a CAFile if it is set: both sides show a certificate.
	Inner KeyPair
}

// Tokens names the files that hold the hashes of bearer tokens. An empty path
// means that no token is asked for.
type Tokens struct {
	OperatorsFile string
	UpstreamsFile string
}

// Placement says whether the system gives orders to engines.
type Placement struct {
	// Enabled has the voter that leads give orders. All voters must run a program
	// that knows them, and all have the same setting.
	Enabled bool
}

// WeightStore is what the weight store allows.
type WeightStore struct {
	// LoadsPerSecond is the rate at which loads may start.
	LoadsPerSecond float64
	// Concurrent is how many loads run at once at full speed.
	Concurrent int
}

// Policy weighs the system's aims against each other.
type Policy struct {
	// WeightOfMoves is the attainment that one move must gain, as a multiple of
	// the measured cost of a move. A preset can name another.
	WeightOfMoves float64
}

// Goals is used for services whose declaration names none.
type Goals struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Deadline      time.Duration
}

// Quarantine says when a request that crashes upstreams is not sent on, and for how long.
// It must be equal on all voters.
type Quarantine struct {
	// Crashes is how many upstreams must have ended under a request, at least 2.
	Crashes int
	// Retention is how long the request is refused after the last of them.
	Retention time.Duration
}

// Default returns the settings of an instance whose file names nothing but what
// is required. Its Name and FailureDomain are empty.
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
			SilenceTime:          time.Second,
			OrderFlightTime:      5 * time.Second,
			EntryTime:            5 * time.Second,
			DrainTime:            60 * time.Second,
		},
		Limits: Limits{
			BodyBytes:         4 << 20,
			HeaderBytes:       64 << 10,
			HeaderTime:        5 * time.Second,
			BodyTime:          30 * time.Second,
			QueueLength:       1024,
			Streams:           4096,
			DocketRecords:     200_000,
			DocketBytes:       16 << 20,
			DocketAnswerBytes: 64 << 10,
			DocketRetention:   96 * time.Hour,
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
