// Package fixedseed gives the property tests the same random cases at each
// run, so that their verdict does not change.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with a fixed seed and number of random cases for
// rapid. Flags on the command line go first.
func Main(m *testing.M, checks string) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": checks} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
