package result

// Result codes. The ranges are: 1000 general, 1100 request path, 1200
// admission, 1300 upstreams, 1400 peers, 1500 request identifiers, 2000
// configuration, 2100 platform, 2200 operators.
const (
	OK       Code = 1000
	Internal Code = 1001

	BadRequest          Code = 1100
	UnknownService      Code = 1101
	BodyTooLarge        Code = 1102
	NoConfiguration     Code = 1103
	DeadlineBeforeStart Code = 1104
	ShareExhausted      Code = 1105
	NoDestination       Code = 1106
	LinkBudgetExhausted Code = 1107
	TooManyRequests     Code = 1108
	StaleSnapshot       Code = 1109
	Stopping            Code = 1110

	QueueFull            Code = 1200
	DeadlineUnreachable  Code = 1201
	NoUpstream           Code = 1202
	RegionLimit          Code = 1203
	NotOwner             Code = 1204
	UpstreamRefused      Code = 1205
	CancelledBeforeStart Code = 1206

	UpstreamConnect     Code = 1300
	UpstreamNoAnswer    Code = 1301
	UpstreamTruncated   Code = 1302
	UpstreamProtocol    Code = 1303
	DeadlineAfterStart  Code = 1304
	CancelledAfterStart Code = 1305
	UpstreamTooLarge    Code = 1306

	PeerUnreachable Code = 1400
	PeerNoAnswer    Code = 1401
	PeerProtocol    Code = 1402
	PeerRefused     Code = 1403

	RequestIDMalformed   Code = 1500
	RequestIDExpired     Code = 1501
	RequestIDOwnerGone   Code = 1502
	RequestIDInFlight    Code = 1503
	RequestIDConsumed    Code = 1504
	RequestIDTableFull   Code = 1505
	RequestIDMismatch    Code = 1506
	RequestIDNotRequired Code = 1507

	RequestIDNotDelivered Code = 1508

	PatchMalformed      Code = 2000
	VersionConflict     Code = 2001
	DescriptionInvalid  Code = 2002
	PatchOutcomeUnknown Code = 2003
	PatchIDReused       Code = 2004
	VersionNotFound     Code = 2005
	DescriptionTooLarge Code = 2006
	SettingsInvalid     Code = 2007

	StoreUnavailable Code = 2100
	StoreNoAnswer    Code = 2101
	StoreConflict    Code = 2102
	StoreProtocol    Code = 2103
	ObjectCorrupt    Code = 2104
	LeaseLost        Code = 2105
	ObjectNotFound   Code = 2107

	Unauthorized Code = 2200
	NotFound     Code = 2202
	RateLimited  Code = 2203
)

var catalogue = []Info{
	{OK, "ok", Complete, 200, "The answer is complete."},
	{Internal, "internal", Unknown, 500, "An unexpected error occurred; report it with the log."},

	{BadRequest, "bad_request", NotRun, 400, "A header, parameter or path is malformed; correct it and send again."},
	{UnknownService, "unknown_service", NotRun, 404, "The configuration in force has no service of this name."},
	{BodyTooLarge, "body_too_large", NotRun, 413, "The request exceeds the size limit."},
	{NoConfiguration, "no_configuration", NotRun, 503, "The instance has no configuration yet; use another instance."},
	{DeadlineBeforeStart, "deadline_before_start", NotRun, 504, "The deadline passed before the request was sent to an upstream."},
	{ShareExhausted, "share_exhausted", NotRun, 503, "The share that could carry the request is still moving and its cap does not allow more."},
	{NoDestination, "no_destination", NotRun, 503, "No failure domain with a share is reachable."},
	{LinkBudgetExhausted, "link_budget_exhausted", NotRun, 503, "The byte budget of the link between the regions is used up."},
	{TooManyRequests, "too_many_requests", NotRun, 429, "The instance is at its limit of concurrent requests or the caller is at its rate limit."},
	{StaleSnapshot, "stale_snapshot", NotRun, 503, "The instance resumed with a stale view and accepts nothing until it is refreshed."},
	{Stopping, "stopping", NotRun, 503, "The instance is stopping; use another instance."},

	{QueueFull, "queue_full", NotRun, 503, "The queue of the service in the failure domain is full."},
	{DeadlineUnreachable, "deadline_unreachable", NotRun, 503, "The queue is too long for the deadline of the request."},
	{NoUpstream, "no_upstream", NotRun, 503, "The failure domain has no usable upstream for the service."},
	{RegionLimit, "region_limit", NotRun, 503, "The region is at the limit that the operator set."},
	{NotOwner, "not_owner", NotRun, 503, "The receiving instance does not own the pool; the sender retries with the owner."},
	{UpstreamRefused, "upstream_refused", NotRun, 503, "The upstreams shed the request without running it."},
	{CancelledBeforeStart, "cancelled_before_start", NotRun, 499, "The caller cancelled before the request was sent to an upstream."},

	{UpstreamConnect, "upstream_connect", NotRun, 502, "No connection to the upstream could be opened; nothing was sent."},
	{UpstreamNoAnswer, "upstream_no_answer", Unknown, 502, "The connection failed after bytes of the request may have been sent."},
	{UpstreamTruncated, "upstream_truncated", Unknown, 502, "The upstream closed the connection before its answer was complete."},
	{UpstreamProtocol, "upstream_protocol", Unknown, 502, "The upstream's answer is malformed or its end cannot be determined."},
	{DeadlineAfterStart, "deadline_after_start", Unknown, 504, "The deadline passed while an upstream may have been working on the request."},
	{CancelledAfterStart, "cancelled_after_start", Unknown, 499, "The caller cancelled while an upstream may have been working on the request."},
	{UpstreamTooLarge, "upstream_too_large", Unknown, 502, "The upstream's answer exceeds the size limit."},

	{PeerUnreachable, "peer_unreachable", NotRun, 502, "No connection to the other instance could be opened; nothing was sent."},
	{PeerNoAnswer, "peer_no_answer", Unknown, 502, "The other instance stopped answering after bytes of the message may have been sent."},
	{PeerProtocol, "peer_protocol", Unknown, 502, "The message of the other instance is malformed."},
	{PeerRefused, "peer_refused", NotRun, 503, "The other instance refused the message before acting on it."},

	{RequestIDMalformed, "request_id_malformed", NotRun, 400, "The request identifier was not issued by this system."},
	{RequestIDExpired, "request_id_expired", Unknown, 410, "The request identifier is older than its lifetime; whether it ran is no longer known."},
	{RequestIDOwnerGone, "request_id_owner_gone", Unknown, 502, "The instance that issued the identifier is gone; whether the request ran is not known."},
	{RequestIDInFlight, "request_id_in_flight", Unknown, 409, "A request with this identifier is still running."},
	{RequestIDConsumed, "request_id_consumed", Unknown, 409, "A request with this identifier was sent before and its answer is no longer kept."},
	{RequestIDTableFull, "request_id_table_full", NotRun, 503, "The instance cannot track more identifiers; use another instance."},
	{RequestIDMismatch, "request_id_mismatch", NotRun, 409, "The identifier was issued for another service or used with another request."},
	{RequestIDNotRequired, "request_id_not_required", NotRun, 400, "The request is idempotent and takes no request identifier."},
	{RequestIDNotDelivered, "request_id_not_delivered", Unknown, 503, "The request did not reach the instance that issued its identifier; send it again with the same identifier to learn whether an earlier submission ran."},

	{PatchMalformed, "patch_malformed", NotRun, 400, "The patch is not a valid merge patch or JSON patch, or does not apply to the base version."},
	{VersionConflict, "version_conflict", NotRun, 409, "Another patch made the next version first; rebase on the current version."},
	{DescriptionInvalid, "description_invalid", NotRun, 422, "The patched description is invalid; every error is listed."},
	{PatchOutcomeUnknown, "patch_outcome_unknown", Unknown, 503, "The store did not confirm the write; repeat with the same patch id to learn the result."},
	{PatchIDReused, "patch_id_reused", NotRun, 409, "The patch id belongs to a different patch."},
	{VersionNotFound, "version_not_found", NotRun, 404, "No such configuration version."},
	{DescriptionTooLarge, "description_too_large", NotRun, 413, "The description or patch exceeds the size limit."},
	{SettingsInvalid, "settings_invalid", NotRun, 500, "The settings file is invalid; every error is listed with section and key."},

	{StoreUnavailable, "store_unavailable", NotRun, 503, "The platform store could not be reached; nothing was written."},
	{StoreNoAnswer, "store_no_answer", Unknown, 503, "The platform store did not answer; the write may have taken effect."},
	{StoreConflict, "store_conflict", NotRun, 409, "A condition of the transaction did not hold; nothing was written."},
	{StoreProtocol, "store_protocol", Unknown, 502, "The platform store's answer is malformed."},
	{ObjectCorrupt, "object_corrupt", NotRun, 502, "An object's content does not match its hash."},
	{LeaseLost, "lease_lost", NotRun, 409, "Another holder has the lease; the fenced write was refused."},
	{ObjectNotFound, "object_not_found", NotRun, 404, "The object store has no object with this hash."},

	{Unauthorized, "unauthorized", NotRun, 401, "The operator token is missing or unknown."},
	{NotFound, "not_found", NotRun, 404, "No such resource."},
	{RateLimited, "rate_limited", NotRun, 429, "Too many operator requests; try again later."},
}
