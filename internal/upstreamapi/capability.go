package upstreamapi

// Capability is an optional part of the interface that an upstream speaks. An
// instance ignores capabilities that it does not know.
type Capability string

// The capabilities. Each tells what the system does if an upstream lacks it.
const (
	// CapabilityCacheEvents publishes cache events. Without it, the prefix cache
	// is estimated from the requests that were sent there.
	CapabilityCacheEvents Capability = "cache-events"
	// CapabilityPriority honours PriorityHeader in the upstream's own queue.
	// Without it, the system keeps that queue empty by its own limit.
	CapabilityPriority Capability = "priority"
	// CapabilityOrders takes orders to load and unload models. Without it, the
	// engine serves what it announces, and placement leaves it alone.
	CapabilityOrders Capability = "orders"
	// CapabilityAdapters takes orders for adapters. Without it, an adapter is
	// placed on other engines.
	CapabilityAdapters Capability = "adapters"
	// CapabilityVersions takes OrderChangeVersion. Without it, a new version is
	// loaded as a second model, and the old one unloaded after.
	CapabilityVersions Capability = "versions"
	// CapabilityRoles takes OrderChangeRole. Without it, the engine keeps the
	// role that it announces.
	CapabilityRoles Capability = "roles"
	// CapabilityOrderStatus answers what became of an order. Without it, an order
	// whose answer was lost is sent again under the same id.
	CapabilityOrderStatus Capability = "order-status"
	// CapabilityOrderExpiry refuses an order after its NotAfter. Without it, an
	// order whose answer was lost counts as possible until other proof.
	CapabilityOrderExpiry Capability = "order-expiry"
	// CapabilityRequestStatus answers what became of a request. Without it, a
	// request whose answer was lost is unknown.
	CapabilityRequestStatus Capability = "request-status"
	// CapabilityResume resumes a stream on a new connection. Without it, a stream
	// that was cut off ends with an error.
	CapabilityResume Capability = "resume"
	// CapabilityContinue takes a ContinueFrom in a completion request. Without
	// it, a stream that was cut off is not continued there.
	CapabilityContinue Capability = "continue"
	// CapabilityCancel cancels a request by its id, and bars the id of one that it
	// has not seen. Without it, closing the connection is the only way, and a
	// request that may still arrive is unknown.
	CapabilityCancel Capability = "cancel"
	// CapabilityKVExport and CapabilityKVImport move KV cache. Without either, a
	// prompt is prefilled again.
	CapabilityKVExport Capability = "kv-export"
	CapabilityKVImport Capability = "kv-import"
)

// Authorization says whether an upstream checks who gives it an order.
type Authorization string

// The kinds of authorization.
const (
	// AuthorizationBearer refuses orders without the agreed bearer token.
	AuthorizationBearer Authorization = "bearer"
	// AuthorizationIgnored takes orders from anybody who reaches it.
	AuthorizationIgnored Authorization = "ignored"
)

// Role is what an engine does of a request.
type Role string

// The roles. RoleMixed, which does all of a request, is the same as none.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)
