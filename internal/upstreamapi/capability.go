package upstreamapi

// Capability is an optional part of the API that an upstream supports. An
// instance ignores unknown capabilities.
type Capability string

// The capabilities, each with the behaviour of the system if an upstream lacks
// it.
const (
	// CapabilityCacheEvents publishes cache events. Without it, the content of
	// the prefix cache is estimated from the requests sent to the upstream.
	CapabilityCacheEvents Capability = "cache-events"
	// CapabilityPriority applies PriorityHeader in the upstream's own queue.
	// Without it, the system limits its requests so that this queue stays
	// empty.
	CapabilityPriority Capability = "priority"
	// CapabilityOrders accepts orders to load and unload models. Without it,
	// the engine serves the models it announces, and placement does not manage
	// it.
	CapabilityOrders Capability = "orders"
	// CapabilityAdapters accepts orders for adapters. Without it, adapters are
	// placed on other engines.
	CapabilityAdapters Capability = "adapters"
	// CapabilityVersions accepts OrderChangeVersion. Without it, a new version
	// is loaded as a second model, and then the old one is unloaded.
	CapabilityVersions Capability = "versions"
	// CapabilityRoles accepts OrderChangeRole. Without it, the engine keeps its
	// announced role.
	CapabilityRoles Capability = "roles"
	// CapabilityOrderStatus answers status queries for orders. Without it, an
	// order whose response was lost is sent again with the same id.
	CapabilityOrderStatus Capability = "order-status"
	// CapabilityOrderExpiry rejects an order that arrives after its NotAfter.
	// Without it, an order whose response was lost counts as possibly executed
	// until there is other proof.
	CapabilityOrderExpiry Capability = "order-expiry"
	// CapabilityRequestStatus answers status queries for requests. Without it,
	// the outcome of a request whose response was lost is unknown.
	CapabilityRequestStatus Capability = "request-status"
	// CapabilityResume resumes a stream on a new connection. Without it, an
	// interrupted stream ends with an error.
	CapabilityResume Capability = "resume"
	// CapabilityContinue accepts a ContinueFrom in a completion request.
	// Without it, an interrupted stream is not continued on this upstream.
	CapabilityContinue Capability = "continue"
	// CapabilityCancel cancels a request by its id, and blocks the id of a
	// request that has not arrived. Without it, a request can only be cancelled
	// by closing its connection, and the outcome of one that may still arrive
	// is unknown.
	CapabilityCancel Capability = "cancel"
	// CapabilityKVExport and CapabilityKVImport transfer KV cache between
	// engines. Without either, the prompt is prefilled again.
	CapabilityKVExport Capability = "kv-export"
	CapabilityKVImport Capability = "kv-import"
)

// Authorization states whether an upstream authenticates the sender of an
// order.
type Authorization string

// The kinds of authorization.
const (
	// AuthorizationBearer rejects orders without the configured bearer token.
	AuthorizationBearer Authorization = "bearer"
	// AuthorizationIgnored accepts orders from any sender.
	AuthorizationIgnored Authorization = "ignored"
)

// Role is the part of a request that an engine processes.
type Role string

// The roles. RoleMixed processes whole requests, as does an empty role.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)
