package pomelotable_test

import (
	"strconv"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelotable"
)

func table() *pomelotable.Table {
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
		r, ok := table().Route(c.host, c.path)
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
		if a, ok := table().Account(key); !ok || a.Name != want {
			t.Errorf("key %s: account %v", key, a)
		}
	}
	if _, ok := table().Account(""); ok {
		t.Error("an empty key has an account")
	}
}

func TestPickFollowsWeightsAndStays(t *testing.T) {
	r := &pomelorelay.Route{Shares: []pomelorelay.RouteShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	const requests = 10000
	picked := make(map[pomelorelay.ServiceID]int)
	for i := range requests {
		id := strconv.Itoa(i)
		s, ok := table().PickService(r, id)
		again, _ := table().PickService(r, id)
		if !ok || s != again {
			t.Fatalf("request %s went to %s, then to %s", id, s, again)
		}
		picked[s]++
	}
	if b := picked["b"]; b < requests/10-150 || b > requests/10+150 {
		t.Errorf("%d of %d requests went to a share of a tenth", b, requests)
	}
	if _, ok := table().PickService(&pomelorelay.Route{}, "x"); ok {
		t.Error("a route without services has one")
	}
}
