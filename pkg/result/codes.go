package result

// Result codes by range: 1000 general, 1100 request path, 1200 admission, 1300
// upstreams, 1400 peers, 1500 request identifiers, 2000 configuration, 2100
// platform store, 2200 operators. 1300 and 1500 have no codes at present.
const (
	OK       Code = 1000
	Internal Code = 1001

	BadRequest          Code = 1100
	UnknownService      Code = 1101
	NoConfiguration     Code = 1103
	ShareExhausted      Code = 1105
	NoDestination       Code = 1106
	LinkBudgetExhausted Code = 1107
	RegionLimit         Code = 1203

	PeerUnreachable Code = 1400
	PeerNoAnswer    Code = 1401
	PeerProtocol    Code = 1402

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
	HistoryDiverged  Code = 2105
	ObjectNotFound   Code = 2107

	Unauthorized Code = 2200
	NotFound     Code = 2202
	RateLimited  Code = 2203
)

var catalogue = []Info{
	{OK, "ok", Complete, 200, "The response is complete."},
	{Internal, "internal", Unknown, 500, "An unexpected error occurred; report it together with the log."},

	{BadRequest, "bad_request", NotRun, 400, "A header, parameter or path is malformed; correct it and send again."},
	{UnknownService, "unknown_service", NotRun, 404, "The configuration in force has no service of this name."},
	{NoConfiguration, "no_configuration", NotRun, 503, "The instance has not loaded a configuration yet; use another instance."},
	{ShareExhausted, "share_exhausted", NotRun, 503, "The traffic share chosen for the request belongs to an unreachable failure domain and is still being shifted away; the rate cap does not allow a faster shift."},
	{NoDestination, "no_destination", NotRun, 503, "No failure domain with a non-zero share is reachable."},
	{LinkBudgetExhausted, "link_budget_exhausted", NotRun, 503, "The bandwidth budget of the link between the regions is exhausted."},
	{RegionLimit, "region_limit", NotRun, 503, "The region has reached the limit set by the operator."},

	{PeerUnreachable, "peer_unreachable", NotRun, 502, "No connection to the peer instance could be opened; nothing was sent."},
	{PeerNoAnswer, "peer_no_answer", Unknown, 502, "The peer instance did not respond; part of the message may have been sent."},
	{PeerProtocol, "peer_protocol", Unknown, 502, "The message from the peer instance is malformed."},

	{PatchMalformed, "patch_malformed", NotRun, 400, "The patch is not a valid merge patch or JSON patch, or does not apply to the base version."},
	{VersionConflict, "version_conflict", NotRun, 409, "Another patch created the next version first; rebase on the current version."},
	{DescriptionInvalid, "description_invalid", NotRun, 422, "The patched description is invalid; every error is listed."},
	{PatchOutcomeUnknown, "patch_outcome_unknown", Unknown, 503, "The store did not confirm the write; repeat the patch with the same patch id to get the result."},
	{PatchIDReused, "patch_id_reused", NotRun, 409, "The patch id belongs to a different patch."},
	{VersionNotFound, "version_not_found", NotRun, 404, "No such configuration version."},
	{DescriptionTooLarge, "description_too_large", NotRun, 413, "The description or patch exceeds the size limit."},
	{SettingsInvalid, "settings_invalid", NotRun, 500, "The settings file is invalid; every error is listed with section and key."},

	{StoreUnavailable, "store_unavailable", NotRun, 503, "The platform store could not be reached; nothing was written."},
	{StoreNoAnswer, "store_no_answer", Unknown, 503, "The platform store did not respond; the write may have taken effect."},
	{StoreConflict, "store_conflict", NotRun, 409, "A precondition of the transaction was not met; nothing was written."},
	{StoreProtocol, "store_protocol", Unknown, 502, "The response of the platform store is malformed."},
	{ObjectCorrupt, "object_corrupt", NotRun, 502, "The content of an object does not match its hash."},
	{HistoryDiverged, "history_diverged", NotRun, 409, "The store has another version under the number of one in force; compare `sequoiactl versions` with the log of the instance."},
	{ObjectNotFound, "object_not_found", NotRun, 404, "The object store has no object with this hash."},

	{Unauthorized, "unauthorized", NotRun, 401, "The operator token is missing or unknown."},
	{NotFound, "not_found", NotRun, 404, "No such resource."},
	{RateLimited, "rate_limited", NotRun, 429, "Too many operator requests; try again later."},
}
