package pomelorelay_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an entry of KNOWN-RED.txt that skips a test without telling which, how it fails and which issue is open for it.
func TestKnownRedEntriesAreComplete(t *testing.T) {
	const test, other, review = "TestKnownRedEntriesAreComplete", "TestTablesMatchDocs", "review/1/run.sh"
	for _, c := range []struct {
		name, list, want string
		valid            bool
	}{
		{"no entry", "", "", true},
		{"a test and a case", test + "; go test .; fails; 12\n" + review + "; sh " + review + ", no seed; breaks; 3\n", "^" + test + "$", true},
		{"two tests", test + "; go test .; fails; 12\n" + other + "; go test .; fails; 13\n", "^" + test + "$|^" + other + "$", true},
		{"two entries in a line", test + "; go test .; fails; 12 // " + other + "; go test .; fails; 13\n", "", false},
		{"no issue", test + "; go test .; fails\n", "", false},
		{"no number of an issue", test + "; go test .; fails; soon\n", "", false},
		{"nothing seen", test + "; go test .; ; 12\n", "", false},
		{"no such test", "TestThatIsNowhere; go test .; fails; 12\n", "", false},
		{"no such case", "review/99/run.sh; sh review/99/run.sh; breaks; 12\n", "", false},
		{"a pattern", "Test.*; go test .; fails; 12\n", "", false},
		{"listed twice", test + "; go test .; fails; 12\n" + test + "; go test -race .; fails; 13\n", "", false},
	} {
		path := filepath.Join(t.TempDir(), "list.txt")
		if err := os.WriteFile(path, []byte(c.list), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := exec.Command("sh", "scripts/known-red.sh", path).Output()
		if valid := err == nil; valid != c.valid {
			t.Errorf("%s: accepted %v, want %v (%v)", c.name, valid, c.valid, err)
		}
		if c.valid && strings.TrimSpace(string(got)) != c.want {
			t.Errorf("%s: pattern %q, want %q", c.name, got, c.want)
		}
	}
}
