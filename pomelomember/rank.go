package pomelomember

import (
	"cmp"
	"slices"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the nodes in the order in which they take the job named by key; every router computes the same order,
// and a node that comes or goes moves only the jobs that it takes or had.
func Rank(key string, nodes []pomelorelay.NodeID) []pomelorelay.NodeID {
	ranked := slices.Clone(nodes)
	hash := xxhash.Sum64String(key)
	slices.SortFunc(ranked, func(a, b pomelorelay.NodeID) int { return compare(hash, a, b) })
	return ranked
}

// Owner returns the first node of the rank without sorting, or false when there are no nodes.
func Owner(key string, nodes []pomelorelay.NodeID) (pomelorelay.NodeID, bool) {
	if len(nodes) == 0 {
		return "", false
	}
	hash := xxhash.Sum64String(key)
	best := nodes[0]
	for _, node := range nodes[1:] {
		if compare(hash, node, best) < 0 {
			best = node
		}
	}
	return best, true
}

func compare(key uint64, a, b pomelorelay.NodeID) int {
	if c := cmp.Compare(score(key, b), score(key, a)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// score mixes the hashes of key and node with the finaliser of SplitMix64.
func score(key uint64, node pomelorelay.NodeID) uint64 {
	x := key + 0x9e3779b97f4a7c15*xxhash.Sum64String(string(node))
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
