package pomeloledger

import "github.com/pomelorelay/pomelorelay"

// ShardOf returns the shard of an account; every pool of an account is in the same one.
func ShardOf(account pomelorelay.AccountID, shards uint32) pomelorelay.ShardID {
	if shards == 0 {
		return 0
	}
	return pomelorelay.ShardID(hash(string(account)) % uint64(shards))
}

func hash(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for i := range len(text) {
		sum = (sum ^ uint64(text[i])) * prime
	}
	return sum
}
