package pomeloconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/pomelorelay/pomelorelay"
)

// Snapshot is a validated configuration compiled for lookups: immutable, compact and safe for concurrent use.
type Snapshot struct {
	root          Root
	teams         []Team
	regions       []Region
	services      []Service
	serviceIndex  map[pomelorelay.ServiceID]int32
	upstreams     []Upstream
	upstreamIndex map[pomelorelay.UpstreamID]int32
	// poolServiceIndex maps each pool to the index of its service in services.
	poolServiceIndex map[pomelorelay.PoolID]int32
	accounts         []compiledAccount
	accountIndex     map[pomelorelay.AccountID]int32
	// tokens is sorted by hash.
	tokens    []tokenEntry
	minWeight pomelorelay.Weight
	evacuated []pomelorelay.DomainID
}

// compiledAccount is an account in compact form; shares is nil for the many accounts without shares by service.
type compiledAccount struct {
	name   pomelorelay.AccountID
	team   int32
	share  pomelorelay.Weight
	shares []serviceShare
}

type serviceShare struct {
	service int32
	weight  pomelorelay.Weight
}

type tokenEntry struct {
	hash    tokenHash
	account int32
}

var _ pomelorelay.Weights = (*Snapshot)(nil)

// NewSnapshot validates and compiles a configuration; it returns CodeConfigInvalid if it has problems.
func NewSnapshot(root Root, c Configuration) (*Snapshot, error) {
	c.FillDefaults()
	if err := problemsError(pomelorelay.CodeConfigInvalid, Check(c)); err != nil {
		return nil, err
	}
	s := &Snapshot{root: root, teams: c.Teams, regions: c.Regions, services: c.Services, upstreams: c.Upstreams, evacuated: c.Evacuated}
	s.compileServices()
	s.compileAccounts(c)
	return s, nil
}

func (s *Snapshot) compileServices() {
	s.serviceIndex = make(map[pomelorelay.ServiceID]int32, len(s.services))
	for i, service := range s.services {
		s.serviceIndex[service.Name] = int32(i)
	}
	s.upstreamIndex = make(map[pomelorelay.UpstreamID]int32, len(s.upstreams))
	s.poolServiceIndex = make(map[pomelorelay.PoolID]int32)
	for i, upstream := range s.upstreams {
		s.upstreamIndex[upstream.Name] = int32(i)
		s.poolServiceIndex[upstream.Pool()] = s.serviceIndex[upstream.Service]
	}
}

func (s *Snapshot) compileAccounts(c Configuration) {
	teamOf := make(map[string]int32, len(c.Teams))
	for i, team := range c.Teams {
		teamOf[team.Name] = int32(i)
	}
	s.accounts = make([]compiledAccount, len(c.Accounts))
	s.accountIndex = make(map[pomelorelay.AccountID]int32, len(c.Accounts))
	s.tokens = make([]tokenEntry, 0, len(c.Accounts))
	s.minWeight = c.Accounts[0].Share
	for i, a := range c.Accounts {
		s.accounts[i] = compiledAccount{name: a.Name, team: teamOf[a.Team], share: a.Share, shares: s.compileShares(a)}
		s.accountIndex[a.Name] = int32(i)
		s.minWeight = min(s.minWeight, a.Share)
		s.addTokens(int32(i), a.TokenHashes)
	}
	slices.SortFunc(s.tokens, func(a, b tokenEntry) int { return slices.Compare(a.hash[:], b.hash[:]) })
}

func (s *Snapshot) compileShares(a Account) []serviceShare {
	if len(a.Shares) == 0 {
		return nil
	}
	shares := make([]serviceShare, 0, len(a.Shares))
	for service, weight := range a.Shares {
		shares = append(shares, serviceShare{service: s.serviceIndex[service], weight: weight})
		s.minWeight = min(s.minWeight, weight)
	}
	slices.SortFunc(shares, func(a, b serviceShare) int { return int(a.service) - int(b.service) })
	return shares
}

// addTokens adds every hash; parsing cannot fail because Check has validated them.
func (s *Snapshot) addTokens(account int32, hashes []string) {
	for _, text := range hashes {
		hash, err := parseTokenHash(text)
		if err == nil {
			s.tokens = append(s.tokens, tokenEntry{hash: hash, account: account})
		}
	}
}

// Root returns the root that the snapshot was built from.
func (s *Snapshot) Root() Root { return s.root }

// Generation returns the generation of the configuration.
func (s *Snapshot) Generation() pomelorelay.Generation { return s.root.Generation }

// HashToken returns the SHA-256 of a bearer token in hexadecimal, as stored in Account.TokenHashes.
func HashToken(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

// Authenticate returns the account of a bearer token, or false when no account has it. The search branches only on the first
// eight bytes of the token's hash, which a caller cannot choose, and the full hash is compared in constant time: a comparison
// that ends at the first difference would let a caller recover a stored hash byte by byte from the response time.
func (s *Snapshot) Authenticate(token string) (pomelorelay.AccountID, bool) {
	hash := tokenHash(sha256.Sum256([]byte(token)))
	want := binary.BigEndian.Uint64(hash[:8])
	i, _ := slices.BinarySearchFunc(s.tokens, want, compareTokenPrefix)
	for ; i < len(s.tokens) && compareTokenPrefix(s.tokens[i], want) == 0; i++ {
		if subtle.ConstantTimeCompare(s.tokens[i].hash[:], hash[:]) == 1 {
			return s.accounts[s.tokens[i].account].name, true
		}
	}
	return "", false
}

func compareTokenPrefix(entry tokenEntry, want uint64) int {
	have := binary.BigEndian.Uint64(entry.hash[:8])
	switch {
	case have < want:
		return -1
	case have > want:
		return 1
	}
	return 0
}

// MayCall reports whether the account may call the service, that is, whether the service belongs to the account's team or is listed in the
// account's shares.
func (s *Snapshot) MayCall(account pomelorelay.AccountID, service pomelorelay.ServiceID) bool {
	accountAt, accountKnown := s.accountIndex[account]
	serviceAt, serviceKnown := s.serviceIndex[service]
	if !accountKnown || !serviceKnown {
		return false
	}
	if _, ok := s.accounts[accountAt].shareOf(serviceAt); ok {
		return true
	}
	return s.services[serviceAt].Team == s.teams[s.accounts[accountAt].team].Name
}

func (a compiledAccount) shareOf(service int32) (pomelorelay.Weight, bool) {
	for _, share := range a.shares {
		if share.service == service {
			return share.weight, true
		}
	}
	return 0, false
}

// Weight returns the account's weight in the pool; for an unknown account it returns the smallest configured weight.
func (s *Snapshot) Weight(pool pomelorelay.PoolID, account pomelorelay.AccountID) pomelorelay.Weight {
	i, known := s.accountIndex[account]
	if !known {
		return s.minWeight
	}
	if service, ok := s.poolServiceIndex[pool]; ok {
		if weight, ok := s.accounts[i].shareOf(service); ok {
			return weight
		}
	}
	return s.accounts[i].share
}

// Service returns the service with the name.
func (s *Snapshot) Service(name pomelorelay.ServiceID) (Service, bool) {
	i, ok := s.serviceIndex[name]
	if !ok {
		return Service{}, false
	}
	return s.services[i], true
}

// PoolService returns the service of a pool.
func (s *Snapshot) PoolService(pool pomelorelay.PoolID) (Service, bool) {
	i, ok := s.poolServiceIndex[pool]
	if !ok {
		return Service{}, false
	}
	return s.services[i], true
}

// Upstream returns the upstream with the given name, and false if there is none.
func (s *Snapshot) Upstream(name pomelorelay.UpstreamID) (Upstream, bool) {
	i, ok := s.upstreamIndex[name]
	if !ok {
		return Upstream{}, false
	}
	return s.upstreams[i], true
}

// Services returns the services; the caller must not modify the slice.
func (s *Snapshot) Services() []Service { return s.services }

// Upstreams returns the upstreams; the caller must not modify the slice.
func (s *Snapshot) Upstreams() []Upstream { return s.upstreams }

// Regions returns the regions; the caller must not modify the slice.
func (s *Snapshot) Regions() []Region { return s.regions }

// Teams returns the teams; the caller must not modify the slice.
func (s *Snapshot) Teams() []Team { return s.teams }

// AccountCount returns the number of accounts.
func (s *Snapshot) AccountCount() int { return len(s.accounts) }
