package pomelobudget_test

import (
	"testing"

	"github.com/pomelorelay/pomelorelay/pomelobudget"
)

func TestBudget(t *testing.T) {
	b := pomelobudget.New(pomelobudget.Config{Initial: 2, Max: 3})
	spend := func() int {
		n := 0
		for b.Spend() {
			n++
		}
		return n
	}
	if n := spend(); n != 2 {
		t.Errorf("%d retries at the start, want 2", n)
	}
	for range 9 {
		b.Earn(0.125)
	}
	if n := spend(); n != 1 {
		t.Errorf("%d retries for nine requests at an eighth, want 1", n)
	}
	for range 1000 {
		b.Earn(1)
	}
	if n := spend(); n != 3 {
		t.Errorf("%d retries saved up, want at most 3", n)
	}
}
