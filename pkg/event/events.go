package event

import "log/slog"

// Event numbers by range: 100 process, 200 configuration, 300 membership, 400
// request path, 500 admission and upstreams, 600 platform store, 700 operators.
const (
	ProcessStarted   ID = 100
	ProcessStopping  ID = 101
	ProcessStopped   ID = 102
	SettingsInvalid  ID = 103
	ListenerFailed   ID = 104
	SettingsReloaded ID = 105
	LogLinesDropped  ID = 106
	ProcessResumed   ID = 107

	VersionInForce           ID = 200
	PatchAccepted            ID = 202
	PatchRejected            ID = 203
	PatchOutcomeUnknown      ID = 204
	StoreVersionStale        ID = 206
	VersionRejected          ID = 207
	EvacuationStarted        ID = 208
	EvacuationEnded          ID = 209
	DescriptionInForce       ID = 210
	DescriptionReadFailed    ID = 211
	DescriptionMissing       ID = 212
	DescriptionRestored      ID = 213
	DescriptionRestoreFailed ID = 214

	MemberJoined                ID = 300
	MemberDead                  ID = 302
	SnapshotFailed              ID = 307
	SocketFailed                ID = 308
	SnapshotReceived            ID = 309
	IsolationChanged            ID = 310
	RequestAnswered             ID = 405
	RequestRejected             ID = 406
	RequestFailed               ID = 407
	RequestCancelled            ID = 408
	AttemptFailed               ID = 409
	ConnectionsRejected         ID = 410
	RegionSharesChanged         ID = 411
	UpstreamEjected             ID = 502
	UpstreamRestored            ID = 503
	UpstreamDraining            ID = 504
	UpstreamRegistered          ID = 506
	UpstreamRemoved             ID = 507
	UpstreamRegistrationExpired ID = 508
	UpstreamRegistrationInvalid ID = 509
	UpstreamConnectionsSilent   ID = 510
	UpstreamRateLimited         ID = 511
	UpstreamReportOutdated      ID = 512

	UpstreamSaidLeaving ID = 513
	UpstreamClosed      ID = 514
	UpstreamSaidCold    ID = 515
	StoreDown           ID = 600
	StoreUp             ID = 601
	WatchRoleChanged    ID = 602
	StoreHistoryExpired ID = 604
	RegistrationFailed  ID = 605
	RegistrationRemoved ID = 606
	StoreBehind         ID = 607
	StoreEraChanged     ID = 608
	StoreEraOutdated    ID = 609
	StoreEraUnstated    ID = 610
	RowHeldBack         ID = 611
	RowReleased         ID = 612

	OperatorRequestRejected ID = 700
)

var catalogue = []Info{
	{ProcessStarted, slog.LevelInfo, "process started", "None."},
	{ProcessStopping, slog.LevelInfo, "process stopping", "None; the process completes the requests in flight first."},
	{ProcessStopped, slog.LevelInfo, "process stopped", "None."},
	{SettingsInvalid, slog.LevelError, "settings invalid", "Correct the listed keys and start again."},
	{ListenerFailed, slog.LevelError, "listener failed", "Check the address and whether another process uses it."},
	{SettingsReloaded, slog.LevelInfo, "settings reloaded", "None."},
	{LogLinesDropped, slog.LevelWarn, "log lines dropped", "Check the consumer of the log; requests are not delayed by it."},
	{ProcessResumed, slog.LevelWarn, "process was paused or its clock was changed", "Find out what paused it; requests were delayed until a peer had sent the missed changes or a timeout passed."},

	{VersionInForce, slog.LevelInfo, "configuration version in force", "None; `delay_ms` is the time since an instance of the region had it from the store."},
	{PatchAccepted, slog.LevelInfo, "patch accepted", "None."},
	{PatchRejected, slog.LevelInfo, "patch rejected", "The operator corrects or rebases the patch."},
	{PatchOutcomeUnknown, slog.LevelWarn, "patch outcome unknown", "Repeat the patch with the same patch id once the store responds."},
	{StoreVersionStale, slog.LevelError, "store holds an older configuration than this instance", "After event 608 none: the version in force stays until its operator has written it again. Without 608 an operator has written an older version, which takes no effect: submit a newer one."},
	{VersionRejected, slog.LevelError, "configuration version rejected as invalid", "Check that this instance runs the same release as the instance that accepted the version."},
	{EvacuationStarted, slog.LevelInfo, "failure domain evacuation started", "None."},
	{EvacuationEnded, slog.LevelInfo, "failure domain evacuation ended", "None; its upstreams are treated as cold for the cold-start time of their service."},
	{DescriptionInForce, slog.LevelInfo, "description in force", "None."},
	{DescriptionReadFailed, slog.LevelWarn, "description could not be read from the store", "None if the store is unavailable: the instance retries and asks its peers."},
	{DescriptionMissing, slog.LevelWarn, "serving without having read the description", "Check the store: the shares and limits of the description are not applied until it has been read."},
	{DescriptionRestored, slog.LevelWarn, "versions of the description written back to the platform store", "None: the store had come back from an older copy (608). `versions` of the versions `from` to `description` were known; compare with their number."},
	{DescriptionRestoreFailed, slog.LevelError, "versions of the description could not be written back to the platform store", "None if 213 follows: the instances try again. With `history_diverged` the store has another version under the number of one in force: submit the wanted description again as a new patch."},

	{MemberJoined, slog.LevelInfo, "member joined", "None."},
	{MemberDead, slog.LevelWarn, "member dead", "Check the instance unless it was replaced on purpose."},
	{SnapshotFailed, slog.LevelWarn, "peer snapshot not received", "None if rare: the state is fetched from another peer or from the store. `dial_ms` 0 means that no connection was opened; `received_bytes` tells how far the transfer came."},
	{SocketFailed, slog.LevelWarn, "UDP socket not opened", "Check the number of open file descriptors; datagrams are still sent from the previous socket."},
	{SnapshotReceived, slog.LevelInfo, "peer snapshot received", "None; only large (4 KB) and slow (250 ms) transfers are logged. `received_bytes` over `took_ms` is the rate of the path."},
	{IsolationChanged, slog.LevelWarn, "instance became isolated, or no longer is", "Check the network of its failure domain: it has contact neither with the store nor with other domains, serves with what it knows, and asks the upstreams in use for their health."},
	{RequestAnswered, slog.LevelInfo, "request answered", "None."},
	{RequestRejected, slog.LevelInfo, "request rejected without execution", "See docs/OPERATIONS.md if it repeats: the fields name the limit that rejected it."},
	{RequestFailed, slog.LevelWarn, "request failed", "See docs/OPERATIONS.md: the fields name the upstream that failed and the cause."},
	{RequestCancelled, slog.LevelInfo, "caller disconnected before the response", "None."},
	{AttemptFailed, slog.LevelInfo, "upstream attempt failed", "Check the upstream if it repeats."},
	{ConnectionsRejected, slog.LevelWarn, "caller connections closed at the connection limit without reading a request", "Add instances, or raise the file descriptor limit of an instance."},
	{RegionSharesChanged, slog.LevelInfo, "region shares of a service changed", "None."},
	{UpstreamEjected, slog.LevelWarn, "upstream ejected", "Check the upstream."},
	{UpstreamRestored, slog.LevelInfo, "ejected upstream restored", "None."},
	{UpstreamDraining, slog.LevelInfo, "upstream draining", "None."},
	{UpstreamRegistered, slog.LevelInfo, "upstream registered", "None."},
	{UpstreamRemoved, slog.LevelInfo, "upstream removed", "None."},
	{UpstreamRegistrationExpired, slog.LevelWarn, "upstream registration expired and is retained temporarily", "None if the upstream registers again; otherwise check the store."},
	{UpstreamRegistrationInvalid, slog.LevelWarn, "upstream registration invalid", "Check which process wrote the row."},
	{UpstreamConnectionsSilent, slog.LevelWarn, "kept connections to upstreams are silent and were closed", "Check what is between the instance and its upstreams (firewall, address translation); requests use new connections."},
	{UpstreamRateLimited, slog.LevelInfo, "upstream limits its request rate, or no longer does", "Check the upstream if it limits its rate for long: it has less room than its slots tell."},
	{UpstreamReportOutdated, slog.LevelWarn, "outdated registration of an upstream ignored", "None if the store was slow or lost responses; otherwise check which process wrote the row."},

	{UpstreamSaidLeaving, slog.LevelInfo, "upstream says in a response that it leaves", "None; the upstream leaves and gets no requests, whatever its registration says until it starts again."},
	{UpstreamClosed, slog.LevelInfo, "upstream wants no requests for a time", "None; it asked for no requests of this instance for `closed_ms`. Check the service if many do: requests are refused with `no_upstream`, counted under `closed`."},
	{UpstreamSaidCold, slog.LevelInfo, "upstream says in a health check that it is cold", "None; it gets requests at the cold rate. Only isolated instances check the health of upstreams."},
	{StoreDown, slog.LevelWarn, "platform store unavailable", "Check the platform; requests are still served."},
	{StoreUp, slog.LevelInfo, "platform store available", "None."},
	{WatchRoleChanged, slog.LevelInfo, "role in watching the store changed", "None; an instance that is no watcher of its region watches while its tables are not proven current (`directives_age_ms`, `upstreams_age_ms` above 1,500) or the watchers of its region have no answer from the store."},
	{StoreHistoryExpired, slog.LevelWarn, "platform store no longer has the requested changes", "None; the table is listed again."},
	{RegistrationFailed, slog.LevelWarn, "instance registration failed", "None if the store is unavailable: the instance retries."},
	{RegistrationRemoved, slog.LevelInfo, "registration of a replaced instance removed", "None."},
	{StoreBehind, slog.LevelWarn, "platform store answers with an older state than this instance holds, or no longer does", "None if it ends within seconds: the store has served an old listing. If `held` stays the same, check whether the store was restored from an older copy."},
	{StoreEraChanged, slog.LevelWarn, "platform store has come back from an older copy", "None at once: what was in force stays so until its writers have written it again. See \"The store has come back from an older copy\" in docs/OPERATIONS.md."},
	{StoreEraOutdated, slog.LevelWarn, "answer of an earlier era of the platform store ignored", "None if it does not repeat with new eras: the answer was late, or a part of the store has not changed its era yet."},
	{StoreEraUnstated, slog.LevelWarn, "platform store does not state its era", "Check the release of the store: without the era, an older copy of it cannot be told from an old answer."},
	{RowHeldBack, slog.LevelWarn, "row of an older copy of the platform store held back", "None if its writer writes it again within `timeout_ms`; what was in force stays so until then."},
	{RowReleased, slog.LevelWarn, "state of an older copy of the platform store takes effect for a row that was not written again", "Check whether the writer of the row (operator or upstream) knows that the store has lost it."},

	{OperatorRequestRejected, slog.LevelWarn, "operator request rejected", "Check the operator's token and request rate."},
}
