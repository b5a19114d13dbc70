package upstreamapi

// Paths that an instance serves to upstreams.
const (
	// AnnouncePath accepts a POST of an Announcement and returns an AnnounceResponse.
	AnnouncePath = "/upstream/v1/announce"
	// LeavePath accepts a POST of a Leave and returns 204.
	LeavePath = "/upstream/v1/leave"
	// LoadPath accepts a POST of a LoadReport and returns 204.
	LoadPath = "/upstream/v1/load"
	// CacheEventsPath accepts a POST of CacheEvents and returns 204.
	CacheEventsPath = "/upstream/v1/cache-events"
)

// Paths that an upstream serves to instances.
const (
	// OrdersPath accepts a POST of an Order. OrdersPath followed by a slash and
	// the escaped id of an order accepts a GET. Both return an OrderResponse.
	OrdersPath = "/upstream/v1/orders"
	// RequestsPath followed by a slash and the escaped id of a request accepts
	// a GET, which queries its status, and a DELETE, which cancels it. Both
	// return a RequestStatus.
	RequestsPath = "/upstream/v1/requests"
	// StreamSuffix, appended to the path of a request, accepts a GET that
	// resumes its stream after the event in LastEventIDHeader.
	StreamSuffix = "/stream"
	// KVExportsPath accepts a POST of a KVExport and returns a KVExported.
	KVExportsPath = "/upstream/v1/kv-exports"
	// KVImportsPath accepts a POST of a KVImport and returns a KVImported.
	KVImportsPath = "/upstream/v1/kv-imports"
)

// Headers of requests from an instance to an upstream.
const (
	// RequestIDHeader identifies one attempt of one request.
	RequestIDHeader = "Lovagelift-Request"
	// PriorityHeader is the priority of the service; 0 is the highest.
	PriorityHeader = "Lovagelift-Priority"
	// DeadlineHeader is the time left until the deadline, in milliseconds.
	DeadlineHeader = "Lovagelift-Deadline-Milliseconds"
	// PrefixHeader lists the names of the prompt's prefixes that may be cached,
	// from the shortest to the longest, separated by commas. The upstream
	// treats the names as opaque and repeats them in its cache events.
	PrefixHeader = "Lovagelift-Prefixes"
	// LastEventIDHeader is the id of the last stream event that the client
	// received. The server-sent events standard defines the name.
	LastEventIDHeader = "Last-Event-ID"
	// SoftwareVersionHeader is the only software version that may run a request
	// that resumes a stream. An upstream of another one refuses the request
	// with RefusedHeader. In a response, it is the version that ran the
	// request.
	SoftwareVersionHeader = "Lovagelift-Software-Version"
)

// Headers of responses from an upstream to an instance.
const (
	// RefusedHeader is RefusedNotRun if the upstream rejected the request
	// before running any part of it.
	RefusedHeader = "Lovagelift-Refused"
	// CachedTokensHeader is the number of prompt tokens found in the prefix
	// cache.
	CachedTokensHeader = "Lovagelift-Cached-Tokens"
	// LimitHeader is the number of requests per second that an overloaded
	// upstream accepts from all instances together, in decimal notation. The
	// limit applies as long as responses carry it.
	LimitHeader = "Lovagelift-Limit"
)

// RefusedNotRun is the value of RefusedHeader.
const RefusedNotRun = "not-run"
