package events

import "github.com/apex/log"

// Numbers of the events. The thousands digit identifies the subsystem: 1 process,
// 2 mesh, 3 control, 4 leases, 5 queries and targets, 6 orders,
// 7 moves, 8 operators, 9 stand-in.
const (
	UnknownEvent            Number = 1000
	ProcessStarted          Number = 1001
	ProcessStopping         Number = 1002
	ProcessStopped          Number = 1003
	ProcessFailed           Number = 1004
	InstanceReady           Number = 1005
	InstanceNotReady        Number = 1006
	DrainIncomplete         Number = 1007
	ListenerServing         Number = 1008
	SettingsReloaded        Number = 1009
	SettingsRefused         Number = 1010
	RequestsEndedByStop     Number = 1011
	PlatformListUnavailable Number = 1101
	PlatformListRead        Number = 1102

	PlatformEntryInvalid Number = 1103
	LogLinesDropped      Number = 1104
	MetricsUnavailable   Number = 1105

	ClientConnectionsRefused Number = 1201
	ClientConnectionsEvicted Number = 1202
	ClientHeadsRefused       Number = 1203
	ClientBodiesRefused      Number = 1204
	ClientRequestsRefused    Number = 1205
	ClientAnswersNotRead     Number = 1206
	RequestsHeldBack         Number = 1207

	PeerConnected      Number = 2001
	PeerDisconnected   Number = 2002
	SmallUDPBuffer     Number = 2003
	PeerConnectionLost Number = 2004
	PeerMessageRefused Number = 2005

	GroupFormed            Number = 3001
	LeaderElected          Number = 3002
	LeadershipLost         Number = 3003
	JournalTruncated       Number = 3004
	JournalFailed          Number = 3005
	StateSnapshotWritten   Number = 3006
	StateSnapshotInstalled Number = 3007
	MemberAdded            Number = 3008
	MemberReplaced         Number = 3009
	MemberRemoved          Number = 3010
	DataFolderIsNew        Number = 3011
	ReplicaRestored        Number = 3012
	ReplicaNotInGroup      Number = 3013
	DataFolderOccupied     Number = 3014
	MemberPromoted         Number = 3015
	NoLeader               Number = 3016
	LossesToleratedFell    Number = 3017
	LossesToleratedUsual   Number = 3018
	DataFolderFull         Number = 3020
	DataFolderHasSpace     Number = 3021
	SnapshotPostponed      Number = 3022
	LeaderReady            Number = 3101
	LeaderNotReady         Number = 3102

	MembershipChanging     Number = 3103
	MembershipChangeFailed Number = 3104
	MemberOfferFailed      Number = 3105
	TableAccepted          Number = 3106
	ZoneEvacuation         Number = 3107
	QuarantineLiftFailed   Number = 3108
	ChangeRequested        Number = 3109
	ChangeAnswered         Number = 3110
	EvacuationApplied      Number = 3111
	TableRead              Number = 3112
	LearnerBehind          Number = 3113

	DutyAcquired    Number = 3201
	DutyNotAcquired Number = 3202
	DutyRefused     Number = 3203
	DutyLost        Number = 3204
	UsageDecided    Number = 3205
	UsageNotDecided Number = 3206
	UsageAccepted   Number = 3207
	UsageCallFailed Number = 3208
	UsageSkipped    Number = 3209
	UsageIncomplete Number = 3210
	UsageNotSaved   Number = 3211

	LeaseGranted       Number = 4001
	LeaseControlLost   Number = 4003
	LeaseCutOff        Number = 4004
	LeaseReturned      Number = 4005
	RulesInForce       Number = 4006
	EvidenceDropped    Number = 4007
	LeaseExpired       Number = 4008
	RenewalFailed      Number = 4009
	TableInForce       Number = 4010
	ZonesEvacuated     Number = 4011
	ControlUnreachable Number = 4012
	InstanceBehind     Number = 4013
	OlderStateIgnored  Number = 4014

	NewestSnapshotChanged  Number = 5001
	TargetEjected          Number = 5002
	TargetReadmitted       Number = 5003
	TargetCold             Number = 5004
	TargetWarm             Number = 5005
	TargetDied             Number = 5006
	TargetLeaving          Number = 5007
	ReplyMismatched        Number = 5008
	FingerprintQuarantined Number = 5009
	QuarantineLifted       Number = 5010
	InstanceOverloaded     Number = 5011
	SnapshotUnavailable    Number = 5012
	TargetListed           Number = 5013
	PreconnectFailed       Number = 5014
	CallAnswered           Number = 5015
	CallPartial            Number = 5016
	CallFailed             Number = 5017
	CallRefused            Number = 5018
	TargetsListed          Number = 5019
	HighCostTargetsChanged Number = 5020
	CallAdmitted           Number = 5021
	// Extra requests are hedges and retries.
	ExtraRequestSent   Number = 5022
	ExtraRequestDenied Number = 5023
	RequestSent        Number = 5024
	CallLate           Number = 5025
	CallQueued         Number = 5026
	TargetPaused       Number = 5027
	ReplyCut           Number = 5028
	CallerRefused      Number = 5101
	CallersInForce     Number = 5102
	RefusedByScheduler Number = 5131

	OrderOutcomeUnknown     Number = 6001
	OrderClaimUnconfirmed   Number = 6002
	OrderOutcomeNotRecorded Number = 6003

	MoveStarted       Number = 7001
	MoveAdvanced      Number = 7002
	MoveFinished      Number = 7003
	MoveRolledBack    Number = 7004
	VersionUseStopped Number = 7005
	MoveLate          Number = 7006
	MoveSuspended     Number = 7007
	MoveStepUncertain Number = 7008
	MoveRequested     Number = 7009

	RulesAccepted      Number = 8001
	RulesRefused       Number = 8002
	AdminRequestFailed Number = 8003
	BudgetBurning      Number = 8004

	StandinServing Number = 9001
	StandinFault   Number = 9002
)

const (
	debugLevel = log.DebugLevel
	infoLevel  = log.InfoLevel
	warnLevel  = log.WarnLevel
	errorLevel = log.ErrorLevel
)

// callFields are the fields of every event that marks the end of a request.
var callFields = []string{
	"request", "route", "milliseconds", "status", "missing", "sent", "hedged", "repeated", "denied",
	"tableVersion", "leaseMilliseconds", "usualMicroseconds", "late", "error",
}

// Catalogue lists every event, ordered by number.
var Catalogue = []Event{
	{UnknownEvent, errorLevel, "event without a catalogue entry", []string{"number"}},
	{ProcessStarted, infoLevel, "process started", []string{"instance", "availabilityZone", "version"}},
	{ProcessStopping, infoLevel, "graceful shutdown started", []string{"reason"}},
	{ProcessStopped, infoLevel, "process stopped", []string{"error"}},
	{ProcessFailed, errorLevel, "process failed", []string{"error"}},
	{InstanceReady, infoLevel, "instance is ready", nil},
	{InstanceNotReady, warnLevel, "instance is not ready", []string{"reason"}},
	{DrainIncomplete, warnLevel, "graceful shutdown continues with unfinished requests", []string{"error"}},
	{ListenerServing, infoLevel, "listener is serving", []string{"listener", "address"}},
	{SettingsReloaded, infoLevel, "settings reloaded", []string{"changed"}},
	{SettingsRefused, warnLevel, "new settings are invalid; the old ones stay in force", []string{"error"}},
	{RequestsEndedByStop, warnLevel, "graceful shutdown ends requests in progress with a failure", []string{"listener", "requests"}},
	{PlatformListUnavailable, warnLevel, "platform list cannot be read", []string{"error"}},
	{PlatformListRead, infoLevel, "platform list read", []string{"sequence", "targets", "instances"}},
	{PlatformEntryInvalid, warnLevel, "entry of the platform list is malformed", []string{"error"}},
	{LogLinesDropped, warnLevel, "log lines dropped", []string{"lines"}},
	{MetricsUnavailable, warnLevel, "metrics are not served", []string{"address", "error"}},
	{ClientConnectionsRefused, warnLevel, "connections of clients refused", []string{"listener", "count", "reason"}},
	{ClientConnectionsEvicted, warnLevel, "connections of clients closed to make room", []string{"listener", "count", "reason", "connections", "heldBytes"}},
	{ClientHeadsRefused, warnLevel, "heads of requests refused", []string{"listener", "count", "reason"}},
	{ClientBodiesRefused, warnLevel, "bodies of requests not read to the end", []string{"listener", "count", "error"}},
	{ClientRequestsRefused, warnLevel, "requests of clients refused for lack of memory", []string{"listener", "count", "reason"}},
	{ClientAnswersNotRead, warnLevel, "answers that clients did not read", []string{"listener", "count"}},
	{RequestsHeldBack, warnLevel, "target does not read the requests written to it", []string{"target", "outgoingBytes", "heldBytes"}},

	{PeerConnected, debugLevel, "peer connected", []string{"peer", "address"}},
	{PeerDisconnected, debugLevel, "peer disconnected", []string{"peer", "error"}},
	{SmallUDPBuffer, warnLevel, "UDP receive buffer of the mesh is smaller than requested", []string{"kiB", "wantedKiB"}},
	{PeerConnectionLost, infoLevel, "connection to a peer lost", []string{"peer", "address", "milliseconds", "error"}},
	{PeerMessageRefused, warnLevel, "message of a peer was not read", []string{"peer", "error", "heldBytes"}},

	{GroupFormed, infoLevel, "control group formed", []string{"members"}},
	{LeaderElected, infoLevel, "leader elected", []string{"leader", "term"}},
	{LeadershipLost, warnLevel, "leadership lost", []string{"term", "reason"}},
	{JournalTruncated, warnLevel, "incomplete record at the end of the journal truncated", []string{"file", "offset"}},
	{JournalFailed, errorLevel, "journal cannot be written; the process stops", []string{"error"}},
	{StateSnapshotWritten, infoLevel, "snapshot of the control state written", []string{"index", "bytes"}},
	{StateSnapshotInstalled, infoLevel, "snapshot of the control state from the leader installed", []string{"index", "leader"}},
	{MemberAdded, infoLevel, "member added as learner", []string{"member"}},
	{MemberReplaced, infoLevel, "member replaced", []string{"old", "new"}},
	{MemberRemoved, infoLevel, "member removed", []string{"member"}},
	{DataFolderIsNew, warnLevel, "data folder is new", []string{"disk"}},
	{ReplicaRestored, infoLevel, "state restored from the data folder", []string{"index", "entries", "milliseconds"}},
	{ReplicaNotInGroup, warnLevel, "this disk is not a member of the control group", []string{"disk"}},
	{DataFolderOccupied, errorLevel, "data folder is in use by another process", []string{"folder"}},
	{MemberPromoted, infoLevel, "learner promoted to voter", []string{"member"}},
	{NoLeader, warnLevel, "no leader of the control group is known", []string{"self", "role", "term", "milliseconds", "canCampaign", "lastIndex", "lastTerm", "voters", "learners", "answers"}},
	{LossesToleratedFell, warnLevel, "control group tolerates the loss of fewer voters than usual", []string{"tolerated", "usual", "voters", "silent", "learners"}},
	{LossesToleratedUsual, infoLevel, "control group tolerates the loss of as many voters as usual", []string{"tolerated", "voters"}},
	{DataFolderFull, errorLevel, "disk is full; this member is suspended until there is space", []string{"error"}},
	{DataFolderHasSpace, infoLevel, "disk has space again; this member goes on", []string{"milliseconds"}},
	{SnapshotPostponed, warnLevel, "snapshot postponed because the disk is full", []string{"error"}},
	{LeaderReady, infoLevel, "leader is ready to serve", []string{"term"}},
	{LeaderNotReady, warnLevel, "leader is not ready to serve yet", []string{"term", "error"}},
	{MembershipChanging, infoLevel, "membership change of the control group started", []string{"old", "new", "reason"}},
	{MembershipChangeFailed, warnLevel, "membership change of the control group failed", []string{"old", "new", "error"}},
	{MemberOfferFailed, debugLevel, "offer of this instance as a member did not reach the leader", []string{"error"}},
	{TableAccepted, infoLevel, "routing table accepted", []string{"version", "inForce", "routes", "milliseconds"}},
	{ZoneEvacuation, warnLevel, "evacuation of an availability zone was asked for", []string{"availabilityZone", "evacuated", "call", "error"}},
	{QuarantineLiftFailed, warnLevel, "expired quarantines could not be lifted; will retry", []string{"error"}},
	{ChangeRequested, infoLevel, "operator's call for a change received", []string{"call", "kind", "item", "leader"}},
	{ChangeAnswered, infoLevel, "operator's call for a change answered", []string{"call", "milliseconds", "error"}},
	{EvacuationApplied, infoLevel, "command of an evacuation applied", []string{"availabilityZone", "evacuated", "call", "index", "refusal"}},
	{TableRead, infoLevel, "routing table read for an operator", []string{"version", "milliseconds", "error"}},
	{LearnerBehind, warnLevel, "learner has not caught up", []string{"learner", "index", "leaderIndex", "receives", "idleMilliseconds", "milliseconds", "replaces"}},

	{DutyAcquired, infoLevel, "duty acquired", []string{"duty", "token", "term"}},
	{DutyNotAcquired, warnLevel, "duty cannot be acquired", []string{"duty", "term", "error"}},
	{DutyRefused, warnLevel, "platform has seen a higher fencing token", []string{"duty", "token", "window"}},
	{DutyLost, warnLevel, "call of a duty not made: the right to make it has ended", []string{"duty", "token", "window", "error"}},
	{UsageDecided, infoLevel, "usage of a window decided", []string{"window", "callers", "millisecondsAfterEnd"}},
	{UsageNotDecided, warnLevel, "usage of a window cannot be decided yet", []string{"window", "error"}},
	{UsageAccepted, infoLevel, "report on a window accepted", []string{"window", "token"}},
	{UsageCallFailed, warnLevel, "report on a window not accepted; it is tried again", []string{"window", "token", "answer", "detail"}},
	{UsageSkipped, warnLevel, "windows passed over: no instance has counted them", []string{"first", "last"}},
	{UsageIncomplete, warnLevel, "more requests counted than were reported for a window", []string{"window", "reported", "counted"}},
	{UsageNotSaved, warnLevel, "usage that is not decided cannot be saved", []string{"error"}},

	{LeaseGranted, infoLevel, "lease granted", []string{"leader", "revision"}},
	{LeaseControlLost, warnLevel, "connection to control lost; queries continue, orders are refused", []string{"reached", "known"}},
	{LeaseCutOff, warnLevel, "instance is cut off from control; requests are refused", []string{"reached", "known"}},
	{LeaseReturned, infoLevel, "lease returned", nil},
	{RulesInForce, infoLevel, "rules are in force on this instance", []string{"revision"}},
	{EvidenceDropped, warnLevel, "evidence for the control group dropped because the buffer is full", []string{"kind"}},
	{LeaseExpired, warnLevel, "lease of an instance expired", []string{"instance"}},
	{RenewalFailed, debugLevel, "renewal of the lease failed", []string{"error"}},
	{TableInForce, infoLevel, "routing table is in force on this instance", []string{"version", "old", "routes", "services"}},
	{ZonesEvacuated, warnLevel, "evacuated availability zones changed on this instance", []string{"availabilityZones", "stateVersion"}},
	{ControlUnreachable, warnLevel, "control is unreachable; serving continues with the last known state", []string{"milliseconds", "tableVersion", "error"}},
	{InstanceBehind, warnLevel, "instance renews its lease but does not take a change", []string{"instance", "holds", "version", "behind"}},
	{OlderStateIgnored, warnLevel, "leader sent an older state than the one held; ignored", []string{"leader", "stateVersion", "heldVersion", "tableVersion", "heldTableVersion"}},

	{NewestSnapshotChanged, infoLevel, "newest complete snapshot of the collection changed", []string{"collection", "snapshot"}},
	{TargetEjected, warnLevel, "target ejected", []string{"target", "reason"}},
	{TargetReadmitted, infoLevel, "target readmitted", []string{"target"}},
	{TargetCold, infoLevel, "target is considered cold", []string{"target", "boot", "reason"}},
	{TargetWarm, infoLevel, "target is considered warm", []string{"target", "boot"}},
	{TargetDied, warnLevel, "target died with requests in flight", []string{"target", "suspects"}},
	{TargetLeaving, infoLevel, "target is leaving", []string{"target", "reason"}},
	{ReplyMismatched, warnLevel, "reply of a target does not match its request", []string{"target", "request", "error"}},
	{FingerprintQuarantined, warnLevel, "request quarantined; further requests with its fingerprint are refused", []string{"fingerprint", "deaths"}},
	{QuarantineLifted, infoLevel, "quarantine lifted", []string{"fingerprint", "author"}},
	{InstanceOverloaded, warnLevel, "instance refuses queries because too many are in progress", []string{"inFlight", "limit"}},
	{SnapshotUnavailable, warnLevel, "no complete snapshot of the collection", []string{"collection"}},
	{TargetListed, infoLevel, "target is listed", []string{"target", "service", "address", "availabilityZone", "leaving"}},
	{PreconnectFailed, warnLevel, "opening a connection to a target in advance failed", []string{"target", "error"}},
	{CallAnswered, infoLevel, "request of a caller answered", callFields},
	{CallPartial, infoLevel, "request of a caller answered without some shards", callFields},
	{CallFailed, warnLevel, "request of a caller failed", callFields},
	{CallRefused, warnLevel, "request of a caller refused without being run", callFields},
	{TargetsListed, infoLevel, "many changes in the list of targets", []string{"changed", "targets"}},
	{HighCostTargetsChanged, infoLevel, "set of targets that cost more than usual changed", []string{"dear", "added", "cleared"}},
	{CallAdmitted, infoLevel, "request of a caller admitted", []string{"request", "route", "timeoutMilliseconds", "tableVersion", "leaseMilliseconds"}},
	{ExtraRequestSent, infoLevel, "extra request to a target sent", []string{"request", "service", "target", "reason", "milliseconds", "cost", "usualMicroseconds", "budget", "earlier"}},
	{ExtraRequestDenied, infoLevel, "extra request to a target denied by the retry budget", []string{"request", "service", "reason", "milliseconds", "budget", "earlier"}},
	{RequestSent, infoLevel, "request to a target sent", []string{"request", "service", "target", "milliseconds", "cost", "dear", "replyMilliseconds", "result"}},
	{CallLate, infoLevel, "latency objective exceeded while the request of a caller is in progress", []string{"request", "route", "milliseconds", "waiting", "late"}},
	{CallQueued, infoLevel, "query was queued before its start", []string{"request", "route", "milliseconds", "ahead", "limit"}},
	{TargetPaused, infoLevel, "target has asked for a pause", []string{"target"}},
	{ReplyCut, warnLevel, "reading of a reply was ended", []string{"target", "request", "reason", "heldBytes"}},
	{CallerRefused, infoLevel, "request was refused because of its key", []string{"request", "caller", "reason", "tableVersion", "renewalMilliseconds"}},
	{CallersInForce, infoLevel, "accounts of the routing table are in force on this instance", []string{"version", "callers", "keys"}},
	{RefusedByScheduler, infoLevel, "request of a caller refused while others were ahead of it", []string{"request", "route", "priority", "milliseconds", "waitMilliseconds", "ahead", "limit", "workMicroseconds", "workAgeMilliseconds", "retryMilliseconds"}},

	{OrderOutcomeUnknown, warnLevel, "outcome of an order is unknown", []string{"request", "error"}},
	{OrderClaimUnconfirmed, warnLevel, "claim of an order could not be confirmed", []string{"request", "error"}},
	{OrderOutcomeNotRecorded, warnLevel, "outcome of an order could not be recorded", []string{"request", "error"}},

	{MoveStarted, infoLevel, "move started", []string{"collection", "from", "to", "by"}},
	{MoveAdvanced, infoLevel, "move advanced to the next step", []string{"collection", "share"}},
	{MoveFinished, infoLevel, "move finished", []string{"collection", "version"}},
	{MoveRolledBack, warnLevel, "move rolled back", []string{"collection", "version", "evidence"}},
	{VersionUseStopped, warnLevel, "this instance stopped using a version", []string{"collection", "version", "reason"}},
	{MoveLate, warnLevel, "move cannot finish by its deadline", []string{"collection", "by", "reason"}},
	{MoveSuspended, infoLevel, "move suspended", []string{"collection", "reason"}},
	{MoveStepUncertain, warnLevel, "outcome of a move step is unknown; will retry", []string{"collection", "error"}},
	{MoveRequested, infoLevel, "move of a service requested", []string{"service", "from", "to", "durationMilliseconds", "call"}},

	{RulesAccepted, infoLevel, "rules accepted", []string{"revision", "author", "hash"}},
	{RulesRefused, warnLevel, "rules refused", []string{"author", "error"}},
	{AdminRequestFailed, warnLevel, "request or connection of an operator failed", []string{"remote", "error"}},
	{BudgetBurning, warnLevel, "error budget is burning too fast", []string{"collection", "objective", "window", "rate"}},

	{StandinServing, infoLevel, "stand-in serving", []string{"targets", "platform"}},
	{StandinFault, infoLevel, "fault set in the stand-in", []string{"target", "fault"}},
}

var byNumber = indexCatalogue()

func indexCatalogue() map[Number]Event {
	m := make(map[Number]Event, len(Catalogue))
	for _, e := range Catalogue {
		m[e.Number] = e
	}
	return m
}
