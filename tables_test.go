package pomelorelay_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay"
)

// updateVariable is the environment variable that makes TestTablesMatchDocs write the tables to the documentation instead of comparing them.
const updateVariable = "POMELORELAY_UPDATE_DOCS"

func codesPage() string {
	var page strings.Builder
	page.WriteString("# Result codes\n\nEvery refusal and failure carries one of these numbers. `Ran` tells whether the request ran on an upstream.\n\n")
	page.WriteString("| Code | Name | HTTP | Ran | Meaning | What to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range pomelorelay.Codes() {
		fmt.Fprintf(&page, "| %d | %s | %d | %s | %s | %s |\n", c.Code, c.Name, c.HTTPStatus, c.Ran, c.Meaning, c.Advice)
	}
	return page.String()
}

func eventsPage() string {
	var page strings.Builder
	page.WriteString("# Log events\n\nEvery log line carries the number of one of these events.\n\n")
	page.WriteString("| Event | Name | Level | Meaning | What to do |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range pomelorelay.Events() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s |\n", e.ID, e.Name, e.Level, e.Meaning, e.Action)
	}
	return page.String()
}

func TestTablesMatchDocs(t *testing.T) {
	for file, want := range map[string]string{"docs/RESULTCODES.md": codesPage(), "docs/EVENTS.md": eventsPage()} {
		if os.Getenv(updateVariable) != "" {
			if err := os.WriteFile(file, []byte(want), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		got, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("%s differs from the code; run: make tables", file)
		}
	}
}

func TestNumbersAscendAndNamesAreUnique(t *testing.T) {
	names := make(map[string]bool)
	last := 0
	for _, c := range pomelorelay.Codes() {
		checkRow(t, names, &last, int(c.Code), c.Name, c.Meaning)
	}
	last = 0
	names = make(map[string]bool)
	for _, e := range pomelorelay.Events() {
		checkRow(t, names, &last, int(e.ID), e.Name, e.Meaning)
	}
}

func checkRow(t *testing.T, names map[string]bool, last *int, number int, name, meaning string) {
	t.Helper()
	if number <= *last {
		t.Errorf("%d %s: number is not greater than the previous one, %d", number, name, *last)
	}
	*last = number
	if names[name] {
		t.Errorf("%d: duplicate name %s", number, name)
	}
	names[name] = true
	if meaning == "" {
		t.Errorf("%d %s has no meaning", number, name)
	}
}
