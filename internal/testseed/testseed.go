// Package testseed fixes the seed of property tests, so that CI gives the same
// verdict on the same code. Tests import it for its effect; another seed is
// tried with -rapid.seed=N on one package.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed of every property test unless the command line says otherwise.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // Only a library that renamed its flag.
	}
}
