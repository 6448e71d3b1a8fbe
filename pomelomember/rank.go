package pomelomember

import (
	"cmp"
	"slices"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the nodes in order of preference for the job with the given key, by rendezvous hashing: every router computes the
// same order, and adding or removing a node moves only the jobs assigned to that node.
func Rank(key string, nodes []pomelorelay.NodeID) []pomelorelay.NodeID {
	hash := xxhash.Sum64String(key)
	scored := make([]scoredNode, len(nodes))
	for i, node := range nodes {
		scored[i] = scoredNode{node: node, score: score(hash, node)}
	}
	slices.SortFunc(scored, compare)
	ranked := make([]pomelorelay.NodeID, len(nodes))
	for i := range scored {
		ranked[i] = scored[i].node
	}
	return ranked
}

// scoredNode is a node with its score for a key.
type scoredNode struct {
	node  pomelorelay.NodeID
	score uint64
}

// Owner returns the first node of Rank without sorting, or false if there are no nodes.
func Owner(key string, nodes []pomelorelay.NodeID) (pomelorelay.NodeID, bool) {
	if len(nodes) == 0 {
		return "", false
	}
	hash := xxhash.Sum64String(key)
	best := scoredNode{node: nodes[0], score: score(hash, nodes[0])}
	for _, node := range nodes[1:] {
		if next := (scoredNode{node: node, score: score(hash, node)}); compare(next, best) < 0 {
			best = next
		}
	}
	return best.node, true
}

func compare(a, b scoredNode) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
}

// score combines the hashes of key and node with the finaliser of SplitMix64.
func score(key uint64, node pomelorelay.NodeID) uint64 {
	x := key + 0x9e3779b97f4a7c15*xxhash.Sum64String(string(node))
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
