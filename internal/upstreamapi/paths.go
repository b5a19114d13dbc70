package upstreamapi

// Paths that an instance serves to upstreams.
const (
	// AnnouncePath takes a POST of an Announcement and answers a Welcome.
	AnnouncePath = "/upstream/v1/announce"
	// LeavePath takes a POST of a Leave and answers 204.
	LeavePath = "/upstream/v1/leave"
	// LoadPath takes a POST of a LoadReport and answers 204.
	LoadPath = "/upstream/v1/load"
	// CacheEventsPath takes a POST of CacheEvents and answers 204.
	CacheEventsPath = "/upstream/v1/cache-events"
)

// Paths that an upstream serves to instances.
const (
	// OrdersPath takes a POST of an Order. OrdersPath, a slash and the escaped
	// id of an order take a GET. Both answer an OrderAnswer.
	OrdersPath = "/upstream/v1/orders"
	// RequestsPath, a slash and the escaped id of a request take a GET, which
	// asks after the request, and a DELETE, which cancels it. Both answer a
	// RequestStatus.
	RequestsPath = "/upstream/v1/requests"
	// StreamSuffix after the path of a request takes a GET that resumes its
	// stream after the event that LastEventIDHeader names.
	StreamSuffix = "/stream"
	// KVExportsPath takes a POST of a KVExport and answers a KVExported.
	KVExportsPath = "/upstream/v1/kv-exports"
	// KVImportsPath takes a POST of a KVImport and answers a KVImported.
	KVImportsPath = "/upstream/v1/kv-imports"
)

// Headers that a request carries from an instance to an upstream.
const (
	// RequestIDHeader names one attempt at one request.
	RequestIDHeader = "Lovagelift-Request"
	// PriorityHeader carries the priority of the service, 0 being the highest.
	PriorityHeader = "Lovagelift-Priority"
	// DeadlineHeader carries the milliseconds that are left to the deadline.
	DeadlineHeader = "Lovagelift-Deadline-Milliseconds"
	// PrefixHeader names the prefixes of the prompt that may be cached, from the
	// shortest to the longest, separated by commas. The names are opaque to the
	// upstream, which quotes them in its cache events.
	PrefixHeader = "Lovagelift-Prefixes"
	// LastEventIDHeader carries the id of the last event of a stream that
	// arrived. The name is that of the server-sent events standard.
	LastEventIDHeader = "Last-Event-ID"
)

// Headers that an answer carries from an upstream to an instance.
const (
	// RefusedHeader is set to RefusedNotRun by an upstream that refused a request
	// before running any of it.
	RefusedHeader = "Lovagelift-Refused"
	// CachedTokensHeader carries the number of prompt tokens that were found in
	// the prefix cache.
	CachedTokensHeader = "Lovagelift-Cached-Tokens"
	// LimitHeader is set by an upstream in need to the requests a second that it takes from
	// all instances together, a decimal number. It holds for as long as answers carry it.
	LimitHeader = "Lovagelift-Limit"
)

// RefusedNotRun is the value of RefusedHeader.
const RefusedNotRun = "not-run"
