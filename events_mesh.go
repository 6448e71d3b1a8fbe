package pomelorelay

// Events of the router mesh, 1000 to 1099.
const (
	EventMeshLinkUp      EventID = 1000
	EventMeshLinkDown    EventID = 1001
	EventMeshRefused     EventID = 1002
	EventMeshMalformed   EventID = 1003
	EventMeshKeysChanged EventID = 1004
	EventMeshKeysBad     EventID = 1005
	EventMeshOverBudget  EventID = 1006
	EventMeshKeysEnding  EventID = 1007
)

var meshEvents = []EventInfo{
	{EventMeshLinkUp, "MeshLinkUp", LevelDebug, "A link to a router opened.", "None."},
	{EventMeshLinkDown, "MeshLinkDown", LevelInfo, "A link to a router broke or was closed when idle.", "None unless it repeats; then check the network between the two."},
	{EventMeshRefused, "MeshRefused", LevelWarn, "A link was refused: the keys, the name or the incarnation does not fit, or the caller is no router.", "Check the router's settings and certificate, and that no two routers share a name."},
	{EventMeshMalformed, "MeshMalformed", LevelWarn, "A message from a router could not be decoded and was dropped.", "Check that router's version and its host."},
	{EventMeshKeysChanged, "MeshKeysChanged", LevelInfo, "Changed key files are in use for new links.", "None."},
	{EventMeshKeysBad, "MeshKeysBad", LevelError, "Changed key files cannot be used; the former keys stay in use.", "Correct the files before the former certificate ends."},
	{EventMeshOverBudget, "MeshOverBudget", LevelWarn, "The byte budget of a link class is spent; less urgent messages wait.", "Check the counters, or raise the budget."},
	{EventMeshKeysEnding, "MeshKeysEnding", LevelWarn, "The router's certificate is in the last fifth of its life, or past its end.", "Replace the key files before its end; no restart is needed."},
}
