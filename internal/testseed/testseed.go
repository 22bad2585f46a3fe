// Package testseed fixes the seed of property tests, so that their result is
// reproducible. Tests import it for its side effect. To use another seed, pass
// -rapid.seed=N to the tests of a package.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed is the default seed of all property tests.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // The rapid library no longer registers this flag.
	}
}
