package pomeloconfig_test

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed makes the random schedules reproducible; -rapid.seed selects others.
const fixedSeed = "20261202"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
