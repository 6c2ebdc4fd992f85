// Package fixedseed runs property tests with the same random cases each time, so
// that their result does not change between runs.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with a fixed seed and the given number of random
// cases for the rapid library, and exits. Flags on the command line take
// precedence.
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
