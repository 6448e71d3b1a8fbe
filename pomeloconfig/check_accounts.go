package pomeloconfig

import (
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
)

const minShare = 1e-6

func (k *configurationChecker) checkAccounts(accounts []Account) {
	names := make(map[string]string, len(accounts))
	hashes := make(map[string]string, len(accounts))
	if len(accounts) == 0 {
		k.add("Accounts", "no account is given", "list at least one")
	}
	for i, a := range accounts {
		path := indexedPath("Accounts", i)
		k.checkUniqueName(names, path+".Name", string(a.Name))
		k.checkExists(k.teams, path+".Team", a.Team, "the team")
		k.number(path+".Share", float64(a.Share), minShare, maxShare)
		k.shareSums[a.Team] += float64(a.Share)
		k.checkShares(path, a)
		k.checkHashes(hashes, path, a.TokenHashes)
	}
}

func (k *configurationChecker) checkShares(path string, a Account) {
	if len(a.Shares) == 0 {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(a.Shares)) {
		sharePath := path + ".Shares." + string(service)
		k.checkExists(k.services, sharePath, string(service), "the service")
		k.number(sharePath, float64(a.Shares[service]), minShare, maxShare)
	}
}

func (k *configurationChecker) checkHashes(seen map[string]string, path string, hashes []string) {
	if len(hashes) == 0 || len(hashes) > maxTokenHashes {
		k.add(path+".TokenHashes", fmt.Sprintf("%d token hashes are given", len(hashes)), fmt.Sprintf("give 1 to %d; pomeloctl token makes one", maxTokenHashes))
	}
	for i, hash := range hashes {
		hashPath := indexedPath(path+".TokenHashes", i)
		if _, err := parseTokenHash(hash); err != nil {
			k.add(hashPath, "it is not a SHA-256 digest in 64 lower-case hexadecimal digits", "take the hash that pomeloctl token prints, not the token")
			continue
		}
		k.unique(seen, hashPath, hash)
	}
}

func (k *configurationChecker) checkShareTotals(teams []Team) {
	for i, team := range teams {
		sum, want := k.shareSums[team.Name], float64(team.ShareTotal)
		if want > 0 && math.Abs(sum-want) > shareSumTolerance*want {
			k.add(indexedPath("Teams", i)+".ShareTotal", fmt.Sprintf("the shares of the team's accounts add up to %g, not %g", sum, want), "correct the shares or the total")
		}
	}
}

type tokenHash [32]byte

// parseTokenHash accepts lower case only: two spellings of one hash would pass the check for duplicates.
func parseTokenHash(text string) (tokenHash, error) {
	var hash tokenHash
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return hash, err
	}
	if len(decoded) != len(hash) || hex.EncodeToString(decoded) != text {
		return hash, hex.ErrLength
	}
	copy(hash[:], decoded)
	return hash, nil
}
