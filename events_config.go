package pomelorelay

// Events of configuration distribution, 800 to 899.
const (
	EventConfigInForce    EventID = 800
	EventConfigRefused    EventID = 801
	EventConfigStoreOlder EventID = 802
	EventConfigForked     EventID = 803
	EventConfigBadRoot    EventID = 804
	EventConfigBadPart    EventID = 805
)

var configEvents = []EventInfo{
	{EventConfigInForce, "ConfigInForce", LevelInfo, "A configuration came into force at this router.", "None."},
	{EventConfigRefused, "ConfigRefused", LevelError, "The router cannot apply a newer configuration and goes on with the last.", "Look up the code; apply a corrected configuration, or update the router."},
	{EventConfigStoreOlder, "ConfigStoreOlder", LevelError, "The store holds an older configuration than the one in force: it was restored from an old copy.", "Apply the wanted configuration again with --router; its generation is then above the one in force."},
	{EventConfigForked, "ConfigForked", LevelError, "The store holds another configuration under the generation that is in force.", "Apply the wanted configuration again with --router."},
	{EventConfigBadRoot, "ConfigBadRoot", LevelWarn, "A peer or the store gave a configuration root that cannot be read.", "Compare the versions of the routers."},
	{EventConfigBadPart, "ConfigBadPart", LevelWarn, "A peer or the store gave a configuration part that was not asked for or does not match its hash.", "Compare the versions of the routers; check the link."},
}
