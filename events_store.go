package pomelorelay

// Events of the platform's key-value store and of the fleet state that routers read from it, 900 to 999.
const (
	EventStoreBreakerOpen   EventID = 900
	EventStoreBreakerClosed EventID = 901
	EventPlatformLost       EventID = 902
	EventPlatformBack       EventID = 903
	EventUpstreamBadEntry   EventID = 904
	EventUpstreamListed     EventID = 905
	EventUpstreamLapsed     EventID = 906
	EventUpstreamGone       EventID = 907
	EventPeersChanged       EventID = 908
	EventPeerMissed         EventID = 909
	EventStateFromPeer      EventID = 910
	EventSpeedLearnt        EventID = 911
	EventDomainEvacuated    EventID = 912
	EventDomainRestored     EventID = 913
	EventUpstreamCold       EventID = 914
	EventUpstreamWarm       EventID = 915
	EventStoreReadRepeated  EventID = 916
)

var storeEvents = []EventInfo{
	{EventStoreBreakerOpen, "StoreBreakerOpen", LevelWarn, "The platform's store failed several calls in a row; calls to it now fail at once.", "Check the store. Work that may be repeated goes on."},
	{EventStoreBreakerClosed, "StoreBreakerClosed", LevelInfo, "The platform's store answers again.", "None."},
	{EventPlatformLost, "PlatformLost", LevelWarn, "A watch or the registration at the platform's store failed; what was known goes on holding.", "Check the store and the way to it."},
	{EventPlatformBack, "PlatformBack", LevelInfo, "A watch or the registration at the platform's store works again.", "None."},
	{EventUpstreamBadEntry, "UpstreamBadEntry", LevelWarn, "An entry of an upstream, a router, crashes or an evacuation cannot be used; the others hold. Logged once for each change.", "Look at who wrote the entry."},
	{EventUpstreamListed, "UpstreamListed", LevelInfo, "An upstream registered itself, or changed its entry.", "None."},
	{EventUpstreamLapsed, "UpstreamLapsed", LevelInfo, "An upstream's entry vanished without a word; it is taken as gone after the time in the line.", "None."},
	{EventUpstreamGone, "UpstreamGone", LevelInfo, "An upstream is taken as gone and gets nothing new.", "None."},
	{EventPeersChanged, "PeersChanged", LevelInfo, "The registered routers changed.", "None."},
	{EventPeerMissed, "PeerMissed", LevelWarn, "A message to a router could not be queued.", "Check the link to it."},
	{EventStateFromPeer, "StateFromPeer", LevelInfo, "A router that cannot reach the store, or that missed an update, took the fleet's state from another router.", "Check the store and the links to it when it repeats."},
	{EventSpeedLearnt, "SpeedLearnt", LevelInfo, "What the router believes of how fast a service's engines read changed by a fifth or more.", "None; a service that turns slow as a whole shows here."},
	{EventDomainEvacuated, "DomainEvacuated", LevelInfo, "The evacuation of a failure domain is in force at this router: its upstreams get nothing new, what runs there goes on.", "None."},
	{EventDomainRestored, "DomainRestored", LevelInfo, "The evacuation of a failure domain was taken back; its upstreams take requests again.", "None."},
	{EventUpstreamCold, "UpstreamCold", LevelInfo, "An upstream is cold, or took no connection and will be when it is back; the fleet sends it at most what it accepts then. Holder tells whether this router sends it any.", "None; look at the upstream when it repeats."},
	{EventUpstreamWarm, "UpstreamWarm", LevelInfo, "An upstream that was cold takes requests as before.", "None."},
	{EventStoreReadRepeated, "StoreReadRepeated", LevelWarn, "A read of the platform's store was not answered in the time that the bound of configuration leaves, and is made once more. AfterMS is how long it took, UpdateAgeMS the time since the last update from another router.", "Check the way to the store when it repeats."},
}
