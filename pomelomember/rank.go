package pomelomember

import (
	"slices"

	"github.com/pomelorelay/pomelorelay"
)

// Rank returns the nodes in the order in which they take the job named by key; every router computes the same order.
func Rank(key string, nodes []pomelorelay.NodeID) []pomelorelay.NodeID {
	return slices.Clone(nodes)
}

// Owner returns the first node of the rank without sorting, or false when there are no nodes.
func Owner(key string, nodes []pomelorelay.NodeID) (pomelorelay.NodeID, bool) {
	if len(nodes) == 0 {
		return "", false
	}
	return nodes[0], true
}
