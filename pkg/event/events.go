package event

import "log/slog"

// Log events. The ranges are: 100 process, 200 configuration, 300 membership,
// 400 request path, 500 admission and upstreams, 600 platform, 700 operators.
const (
	ProcessStarted   ID = 100
	ProcessStopping  ID = 101
	ProcessStopped   ID = 102
	SettingsInvalid  ID = 103
	ListenerFailed   ID = 104
	SettingsReloaded ID = 105
	LogLinesDropped  ID = 106
	ProcessResumed   ID = 107

	VersionInForce     ID = 200
	PatchAccepted      ID = 202
	PatchRefused       ID = 203
	PatchOutcomeUnknown       ID = 204
	StoreVersionStale        ID = 206
	VersionRefused     ID = 207
	EvacuationStarted  ID = 208
	EvacuationEnded    ID = 209
	DescriptionInForce ID = 210
	DescriptionReadFailed  ID = 211
	DescriptionMissing ID = 212

	MemberJoined       ID = 300
	MemberDead         ID = 302
	SnapshotFailed     ID = 307
	SocketFailed       ID = 308
	RequestAnswered    ID = 405
	RequestRefused     ID = 406
	RequestFailed      ID = 407
	RequestCancelled   ID = 408
	AttemptFailed      ID = 409
	ConnectionsRejected  ID = 410
	RegionSharesChanged        ID = 411
	UpstreamEjected    ID = 502
	UpstreamRestored   ID = 503
	UpstreamDraining    ID = 504
	UpstreamRegistered     ID = 506
	UpstreamRemoved       ID = 507
	UpstreamRegistrationExpired     ID = 508
	UpstreamRegistrationInvalid ID = 509

	StoreDown           ID = 600
	StoreUp             ID = 601
	StoreHistoryExpired    ID = 604
	RegistrationFailed  ID = 605
	RegistrationRemoved ID = 606

	OperatorRequestRefused ID = 700
)

var catalogue = []Info{
	{ProcessStarted, slog.LevelInfo, "process started", "None."},
	{ProcessStopping, slog.LevelInfo, "process stopping", "None; the process finishes its work first."},
	{ProcessStopped, slog.LevelInfo, "process stopped", "None."},
	{SettingsInvalid, slog.LevelError, "settings invalid", "Correct the listed keys and start again."},
	{ListenerFailed, slog.LevelError, "listener failed", "Check the address and whether another process uses it."},
	{SettingsReloaded, slog.LevelInfo, "settings read again", "None."},
	{LogLinesDropped, slog.LevelWarn, "log lines dropped", "Check the reader of the log; requests are not delayed by it."},
	{ProcessResumed, slog.LevelWarn, "process stood still, or its clock was set", "Find out what paused it; requests waited until a peer had told what changed."},

	{VersionInForce, slog.LevelInfo, "configuration version in force", "None."},
	{PatchAccepted, slog.LevelInfo, "patch accepted", "None."},
	{PatchRefused, slog.LevelInfo, "patch refused", "The operator corrects or rebases the patch."},
	{PatchOutcomeUnknown, slog.LevelWarn, "patch outcome unknown", "Repeat the patch with the same patch id once the store answers."},
	{StoreVersionStale, slog.LevelError, "store holds an older configuration than this instance", "The store's table was reset or restored from a backup: restore it to the version in force, because patches on the older version take no effect."},
	{VersionRefused, slog.LevelError, "configuration version refused as invalid", "Check that this instance runs the same release as the instance that accepted the version."},
	{EvacuationStarted, slog.LevelInfo, "evacuation of a failure domain started", "None."},
	{EvacuationEnded, slog.LevelInfo, "evacuation of a failure domain ended", "None; its upstreams count as cold for a while."},
	{DescriptionInForce, slog.LevelInfo, "description in force", "None."},
	{DescriptionReadFailed, slog.LevelWarn, "description not read from the store", "None if the store is away: the instance tries again and asks its peers."},
	{DescriptionMissing, slog.LevelWarn, "serving without knowledge of the description", "Check the store: the shares and limits of the description are not applied until it is read."},

	{MemberJoined, slog.LevelInfo, "member joined", "None."},
	{MemberDead, slog.LevelWarn, "member dead", "Check the instance if it was not replaced on purpose."},
	{SnapshotFailed, slog.LevelWarn, "snapshot of a peer not received", "None if rare: another peer or the store brings the state."},
	{SocketFailed, slog.LevelWarn, "no new socket for datagrams", "Check the descriptors of the process; datagrams leave from the socket before."},
	{RequestAnswered, slog.LevelInfo, "request answered", "None."},
	{RequestRefused, slog.LevelInfo, "request refused as not run", "See docs/OPERATIONS.md if it repeats: the fields tell which limit refused it."},
	{RequestFailed, slog.LevelWarn, "request failed", "See docs/OPERATIONS.md: the fields tell which upstream failed and how."},
	{RequestCancelled, slog.LevelInfo, "caller left before the answer", "None."},
	{AttemptFailed, slog.LevelInfo, "attempt at an upstream failed", "Check the upstream if it repeats."},
	{ConnectionsRejected, slog.LevelWarn, "connections of callers closed unread", "Add instances, or raise the descriptors of an instance."},
	{RegionSharesChanged, slog.LevelInfo, "region shares of a service moved", "None."},
	{UpstreamEjected, slog.LevelWarn, "upstream ejected", "Check the upstream."},
	{UpstreamRestored, slog.LevelInfo, "upstream returned", "None."},
	{UpstreamDraining, slog.LevelInfo, "upstream leaving", "None."},
	{UpstreamRegistered, slog.LevelInfo, "upstream registered", "None."},
	{UpstreamRemoved, slog.LevelInfo, "upstream gone", "None."},
	{UpstreamRegistrationExpired, slog.LevelWarn, "registration of an upstream lapsed and is held", "None if it registers again; check the store."},
	{UpstreamRegistrationInvalid, slog.LevelWarn, "registration of an upstream cannot be used", "Check who wrote the row."},

	{StoreDown, slog.LevelWarn, "platform store unavailable", "Check the platform; requests are still served."},
	{StoreUp, slog.LevelInfo, "platform store available", "None."},
	{StoreHistoryExpired, slog.LevelWarn, "platform store no longer has the changes asked for", "None; the table is listed again."},
	{RegistrationFailed, slog.LevelWarn, "instance not registered in the platform store", "None if the store is away: the instance tries again."},
	{RegistrationRemoved, slog.LevelInfo, "registration of a replaced instance removed", "None."},

	{OperatorRequestRefused, slog.LevelWarn, "operator request refused", "Check the operator's token and rate."},
}
