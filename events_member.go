package pomelorelay

// Events of fleet membership, 300 to 399.
const (
	EventMemberUp          EventID = 300
	EventMemberDead        EventID = 301
	EventMemberLeft        EventID = 302
	EventMemberRestarted   EventID = 303
	EventDomainUnreachable EventID = 304
	EventDomainReachable   EventID = 305
)

var memberEvents = []EventInfo{
	{EventMemberUp, "MemberUp", LevelInfo, "A router is heard and takes its shared jobs.", "None."},
	{EventMemberDead, "MemberDead", LevelWarn, "A router did not answer, directly or through others; its shared jobs are taken over.", "Check the host unless it was stopped or replaced."},
	{EventMemberLeft, "MemberLeft", LevelInfo, "A router said farewell; its shared jobs are taken over.", "None."},
	{EventMemberRestarted, "MemberRestarted", LevelInfo, "A router is heard under a later incarnation.", "None unless it repeats."},
	{EventDomainUnreachable, "DomainUnreachable", LevelWarn, "No router of a failure domain was heard for DomainSilent.", "Check the network between the domains; each goes on by itself."},
	{EventDomainReachable, "DomainReachable", LevelInfo, "A failure domain is heard again.", "None."},
}
