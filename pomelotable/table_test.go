package pomelotable_test

import (
	"strconv"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelotable"
)

func newTable() *pomelotable.Table {
	return pomelotable.New(&pomelorelay.FleetConfig{
		Version: 7,
		Routes: []pomelorelay.Route{
			{Name: "short", Host: "Shop.example", Prefix: "/a/"},
			{Name: "long", Host: "shop.example", Prefix: "/a/b/"},
			{Name: "other", Host: "other.example", Prefix: "/a/"},
		},
		Accounts: []pomelorelay.AccountSpec{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	})
}

func TestRoute(t *testing.T) {
	for _, c := range []struct {
		host, path string
		want       pomelorelay.RouteID
	}{
		{"shop.example", "/a/x", "short"},
		{"shop.example", "/a/b/x", "long"},
		{"shop.example:8080", "/a/b/", "long"},
		{"SHOP.example", "/a/bx", "short"},
		{"other.example", "/a/b/x", "other"},
		{"shop.example", "/a", ""},
		{"unknown.example", "/a/x", ""},
	} {
		r, ok := newTable().Route(c.host, c.path)
		if ok != (c.want != "") {
			t.Errorf("%s%s: found %v", c.host, c.path, ok)
			continue
		}
		if ok && r.Name != c.want {
			t.Errorf("%s%s: route %s, want %s", c.host, c.path, r.Name, c.want)
		}
	}
}

func TestAccount(t *testing.T) {
	for key, want := range map[string]pomelorelay.AccountID{"k1": "one", "k2": "one", "k3": "two"} {
		if a, ok := newTable().Account(key); !ok || a.Name != want {
			t.Errorf("key %s: account %v", key, a)
		}
	}
	if _, ok := newTable().Account(""); ok {
		t.Error("found an account for an empty key")
	}
}

func TestServicePickFollowsWeightsAndIsStable(t *testing.T) {
	r := &pomelorelay.Route{Shares: []pomelorelay.RouteShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	const requests = 10000
	picked := make(map[pomelorelay.ServiceID]int)
	for i := range requests {
		id := strconv.Itoa(i)
		s, ok := newTable().PickService(r, id)
		again, _ := newTable().PickService(r, id)
		if !ok || s != again {
			t.Fatalf("request %s went to %s, then to %s", id, s, again)
		}
		picked[s]++
	}
	if b := picked["b"]; b < requests/10-150 || b > requests/10+150 {
		t.Errorf("%d of %d requests went to a service with a share of one tenth", b, requests)
	}
	if _, ok := newTable().PickService(&pomelorelay.Route{}, "x"); ok {
		t.Error("found a service for a route without shares")
	}
}
