package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that the verdict is the same each time, and sets
// the number of random cases; flags on the command line go first.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
