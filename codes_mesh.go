package pomelorelay

// Result codes of the router mesh, 2200 to 2299.
const (
	CodeMeshUnknownPeer ResultCode = 2200
	CodeMeshQueueFull   ResultCode = 2201
	CodeMeshMalformed   ResultCode = 2202
	CodeMeshTLS         ResultCode = 2203
	CodeMeshUnknownKind ResultCode = 2204
	CodeMeshListen      ResultCode = 2205
)

var meshCodes = []CodeInfo{
	{CodeMeshUnknownPeer, "MeshUnknownPeer", 503, RanNo, "The router is not among the peers.", "Check the host list and the settings."},
	{CodeMeshQueueFull, "MeshQueueFull", 503, RanNo, "The queue to the peer is full.", "Check the peer and the byte budget."},
	{CodeMeshMalformed, "MeshMalformed", 400, RanNo, "A control message could not be decoded.", "Check the versions of the routers."},
	{CodeMeshTLS, "MeshTLS", 500, RanNo, "The keys for mutual TLS cannot be used.", "Check the key, certificate and authority files."},
	{CodeMeshUnknownKind, "MeshUnknownKind", 400, RanNo, "A control message is of a kind that this version does not know.", "None while versions are mixed; else update the router."},
	{CodeMeshListen, "MeshListen", 500, RanNo, "The control address cannot be listened on.", "Check Listen in the settings and who holds the port."},
}
