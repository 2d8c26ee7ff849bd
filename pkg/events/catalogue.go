package events

import "github.com/apex/log"

// Numbers of the events. The thousands name the part: 1 process, 2 mesh,
// 3 control, 4 leases and grants, 5 queries and targets, 6 orders, 7 moves,
// 8 operators, 9 stand-in.
const (
	UnknownEvent      Number = 1000
	ProcessStarted    Number = 1001
	ProcessStopping   Number = 1002
	ProcessStopped    Number = 1003
	ProcessFailed     Number = 1004
	InstanceReady     Number = 1005
	InstanceNotReady  Number = 1006
	DrainIncomplete   Number = 1007
	ListenerServing   Number = 1008
	SettingsReloaded  Number = 1009
	SettingsRefused   Number = 1010
	PlatformListLost  Number = 1101
	PlatformListFound Number = 1102

	PlatformEntryUnread Number = 1103
	LinesDropped        Number = 1104
	MetricsUnserved     Number = 1105

	PeerConnected    Number = 2001
	PeerDisconnected Number = 2002
	SmallUDPBuffer   Number = 2003

	GroupFormed        Number = 3001
	LeaderElected      Number = 3002
	LeadershipLost     Number = 3003
	JournalTailCut     Number = 3004
	JournalFailed      Number = 3005
	SnapshotWritten    Number = 3006
	SnapshotInstalled  Number = 3007
	MemberAdded        Number = 3008
	MemberReplaced     Number = 3009
	MemberRemoved      Number = 3010
	DataFolderIsNew    Number = 3011
	ReplicaRestored    Number = 3012
	ReplicaNotInGroup  Number = 3013
	DataFolderOccupied Number = 3014
	MemberPromoted     Number = 3015
	LeaderReady        Number = 3101
	LeaderNotReady     Number = 3102

	MembershipChanging     Number = 3103
	MembershipChangeFailed Number = 3104
	OfferFailed            Number = 3105
	TableAccepted          Number = 3106
	QuarantineNotEnded     Number = 3108
	ZoneEvacuation         Number = 3107

	LeaseGranted     Number = 4001
	LeaseControlLost Number = 4003
	LeaseCutOff      Number = 4004
	LeaseReturned    Number = 4005
	RulesInForce     Number = 4006
	EvidenceDropped  Number = 4007
	LeaseRanOut      Number = 4008
	RenewalFailed    Number = 4009
	TableInForce     Number = 4010
	ZonesEvacuated   Number = 4011
	ControlUnreached Number = 4012

	SnapshotPinned      Number = 5001
	TargetEjected       Number = 5002
	TargetReadmitted    Number = 5003
	TargetCold          Number = 5004
	TargetWarm          Number = 5005
	TargetDied          Number = 5006
	TargetLeaving       Number = 5007
	ReplyDropped        Number = 5008
	FingerprintCondemn  Number = 5009
	FingerprintLifted   Number = 5010
	EntryOverloaded     Number = 5011
	SnapshotUnavailable Number = 5012
	TargetListed        Number = 5013
	TargetUnreached     Number = 5014
	CallAnswered        Number = 5015
	CallPartial         Number = 5016
	CallFailed          Number = 5017
	CallRefused         Number = 5018
	TargetsListed       Number = 5019
	TargetsDear         Number = 5020
	CallAdmitted        Number = 5021
	ExtraSent           Number = 5022
	ExtraDenied         Number = 5023
	RequestSent         Number = 5024
	CallLate            Number = 5025
	CallQueued          Number = 5026

	OrderOutcomeUnknown   Number = 6001
	OrderClaimUnconfirmed Number = 6002
	OrderOutcomeUnsaved   Number = 6003

	MoveStarted       Number = 7001
	MoveStepped       Number = 7002
	MoveFinished      Number = 7003
	MoveTakenBack     Number = 7004
	VersionStopped    Number = 7005
	MoveLate          Number = 7006
	MoveSuspended     Number = 7007
	MoveStepUncertain Number = 7008
	MoveOrdered       Number = 7009

	RulesAccepted Number = 8001
	RulesRefused  Number = 8002
	AdminRefused  Number = 8003
	BudgetBurning Number = 8004

	StandinServing Number = 9001
	StandinFault   Number = 9002
)

const (
	debug = log.DebugLevel
	info  = log.InfoLevel
	warn  = log.WarnLevel
	fail  = log.ErrorLevel
)

// callFields are what every line on the end of a request tells.
var callFields = []string{
	"request", "route", "milliseconds", "status", "missing", "sent", "hedged", "repeated", "denied",
	"tableVersion", "leaseMilliseconds", "usualMicroseconds", "late", "error",
}

// Catalogue lists every event in order of number.
var Catalogue = []Event{
	{UnknownEvent, fail, "event without a catalogue entry", []string{"number"}},
	{ProcessStarted, info, "process started", []string{"instance", "availabilityZone", "version"}},
	{ProcessStopping, info, "planned stop begins", []string{"reason"}},
	{ProcessStopped, info, "process stopped", []string{"error"}},
	{ProcessFailed, fail, "process cannot go on", []string{"error"}},
	{InstanceReady, info, "instance is ready for new work", nil},
	{InstanceNotReady, warn, "instance is not ready for new work", []string{"reason"}},
	{DrainIncomplete, warn, "stop goes on with unfinished work", []string{"error"}},
	{ListenerServing, info, "listener is serving", []string{"listener", "address"}},
	{SettingsReloaded, info, "settings read again", []string{"changed"}},
	{SettingsRefused, warn, "settings have mistakes; the old ones stay in force", []string{"error"}},
	{PlatformListLost, warn, "platform list cannot be read", []string{"error"}},
	{PlatformListFound, info, "platform list is read", []string{"sequence", "targets", "instances"}},
	{PlatformEntryUnread, debug, "entry of the platform list cannot be read", []string{"error"}},
	{LinesDropped, warn, "log lines dropped", []string{"lines"}},
	{MetricsUnserved, warn, "metrics are not served", []string{"address", "error"}},

	{PeerConnected, debug, "peer connected", []string{"peer", "address"}},
	{PeerDisconnected, debug, "peer disconnected", []string{"peer", "error"}},
	{SmallUDPBuffer, warn, "receive buffer of the mesh is small", []string{"kiB", "wantedKiB"}},

	{GroupFormed, info, "control group formed", []string{"members"}},
	{LeaderElected, info, "leader elected", []string{"leader", "term"}},
	{LeadershipLost, warn, "leadership lost", []string{"term", "reason"}},
	{JournalTailCut, warn, "torn end of the journal cut off", []string{"file", "offset"}},
	{JournalFailed, fail, "journal cannot be written; the process stops", []string{"error"}},
	{SnapshotWritten, info, "snapshot written", []string{"index", "bytes"}},
	{SnapshotInstalled, info, "snapshot of the leader installed", []string{"index", "leader"}},
	{MemberAdded, info, "member added as learner", []string{"member"}},
	{MemberReplaced, info, "member replaced", []string{"old", "new"}},
	{MemberRemoved, info, "member removed", []string{"member"}},
	{DataFolderIsNew, warn, "data folder is new", []string{"disk"}},
	{ReplicaRestored, info, "state restored from the data folder", []string{"index", "entries", "milliseconds"}},
	{ReplicaNotInGroup, warn, "this disk is not a member of the control group", []string{"disk"}},
	{DataFolderOccupied, fail, "data folder is in use by another process", []string{"folder"}},
	{MemberPromoted, info, "learner has a vote", []string{"member"}},
	{LeaderReady, info, "leader has taken office", []string{"term"}},
	{LeaderNotReady, warn, "leader cannot take office yet", []string{"term", "error"}},
	{MembershipChanging, info, "control group is about to change", []string{"old", "new", "reason"}},
	{MembershipChangeFailed, warn, "control group could not be changed", []string{"old", "new", "error"}},
	{OfferFailed, debug, "leader could not be told that this instance is there", []string{"error"}},
	{TableAccepted, info, "routing table accepted", []string{"version", "inForce", "routes", "milliseconds"}},
	{ZoneEvacuation, warn, "evacuation of an availability zone changed", []string{"availabilityZone", "evacuated"}},
	{QuarantineNotEnded, warn, "quarantines whose time is over could not be ended; tried again", []string{"error"}},

	{LeaseGranted, info, "lease granted", []string{"leader", "revision"}},
	{LeaseControlLost, warn, "control is lost; queries go on, orders are refused", []string{"reached", "known"}},
	{LeaseCutOff, warn, "instance is cut off from control; work is refused", []string{"reached", "known"}},
	{LeaseReturned, info, "lease handed back", nil},
	{RulesInForce, info, "configuration is in force here", []string{"revision"}},
	{EvidenceDropped, warn, "evidence dropped because its bound is reached", []string{"kind"}},
	{LeaseRanOut, warn, "lease of an instance ran out", []string{"instance"}},
	{RenewalFailed, debug, "renewal of the lease failed", []string{"error"}},
	{TableInForce, info, "routing table is in force here", []string{"version", "old", "routes", "services"}},
	{ZonesEvacuated, warn, "evacuated availability zones changed here", []string{"availabilityZones"}},
	{ControlUnreached, warn, "control cannot be reached; serving goes on with what is known", []string{"milliseconds", "tableVersion", "error"}},

	{SnapshotPinned, info, "newest whole snapshot changed", []string{"collection", "snapshot"}},
	{TargetEjected, warn, "target ejected", []string{"target", "reason"}},
	{TargetReadmitted, info, "target admitted again", []string{"target"}},
	{TargetCold, info, "target counts as cold", []string{"target", "boot", "reason"}},
	{TargetWarm, info, "target counts as warm", []string{"target", "boot"}},
	{TargetDied, warn, "target died with requests in flight", []string{"target", "suspects"}},
	{TargetLeaving, info, "target is leaving", []string{"target", "reason"}},
	{ReplyDropped, warn, "reply does not match its request", []string{"target", "request", "error"}},
	{FingerprintCondemn, warn, "request condemned; it is refused from now on", []string{"fingerprint", "deaths"}},
	{FingerprintLifted, info, "quarantine lifted", []string{"fingerprint", "author"}},
	{EntryOverloaded, warn, "instance sheds queries", []string{"inFlight", "limit"}},
	{SnapshotUnavailable, warn, "no whole snapshot of the collection", []string{"collection"}},
	{TargetListed, info, "target is listed", []string{"target", "service", "address", "availabilityZone", "leaving"}},
	{TargetUnreached, warn, "connection ahead of use failed", []string{"target", "error"}},
	{CallAnswered, info, "request answered", callFields},
	{CallPartial, info, "request answered without some shards", callFields},
	{CallFailed, warn, "request failed", callFields},
	{CallRefused, warn, "request refused, not run", callFields},
	{TargetsListed, info, "many targets are listed anew", []string{"changed", "targets"}},
	{TargetsDear, info, "other targets cost more than usual", []string{"dear", "added", "cleared"}},
	{CallAdmitted, info, "request admitted", []string{"request", "route", "timeoutMilliseconds", "tableVersion", "leaseMilliseconds"}},
	{ExtraSent, info, "extra request sent", []string{"request", "service", "target", "reason", "milliseconds", "cost", "usualMicroseconds", "budget", "earlier"}},
	{ExtraDenied, info, "retry budget allows no extra request", []string{"request", "service", "reason", "milliseconds", "budget", "earlier"}},
	{RequestSent, info, "request to a target", []string{"request", "service", "target", "milliseconds", "cost", "dear", "replyMilliseconds", "result"}},
	{CallLate, info, "objective passed with the request in progress", []string{"request", "route", "milliseconds", "waiting", "late"}},
	{CallQueued, info, "query waited to start", []string{"request", "route", "milliseconds", "ahead", "limit"}},

	{OrderOutcomeUnknown, warn, "outcome of an order is unknown", []string{"request", "error"}},
	{OrderClaimUnconfirmed, warn, "claim of an order could not be confirmed", []string{"request", "error"}},
	{OrderOutcomeUnsaved, warn, "outcome of an order could not be recorded", []string{"request", "error"}},

	{MoveStarted, info, "move started", []string{"collection", "from", "to", "by"}},
	{MoveStepped, info, "move stepped", []string{"collection", "share"}},
	{MoveFinished, info, "move finished", []string{"collection", "version"}},
	{MoveTakenBack, warn, "move taken back", []string{"collection", "version", "evidence"}},
	{VersionStopped, warn, "this instance stopped using a version", []string{"collection", "version", "reason"}},
	{MoveLate, warn, "move cannot finish by its deadline", []string{"collection", "by", "reason"}},
	{MoveSuspended, info, "move waits", []string{"collection", "reason"}},
	{MoveStepUncertain, warn, "outcome of a step is unknown; it is tried again", []string{"collection", "error"}},
	{MoveOrdered, info, "move of a service ordered", []string{"service", "from", "to", "durationMilliseconds"}},

	{RulesAccepted, info, "rules accepted", []string{"revision", "author", "hash"}},
	{RulesRefused, warn, "rules refused", []string{"author", "error"}},
	{AdminRefused, warn, "request of an operator refused", []string{"remote", "error"}},
	{BudgetBurning, warn, "error budget burns too fast", []string{"collection", "objective", "window", "rate"}},

	{StandinServing, info, "stand-in serving", []string{"targets", "platform"}},
	{StandinFault, info, "stand-in fault set", []string{"target", "fault"}},
}

var byNumber = indexCatalogue()

func indexCatalogue() map[Number]Event {
	m := make(map[Number]Event, len(Catalogue))
	for _, e := range Catalogue {
		m[e.Number] = e
	}
	return m
}
