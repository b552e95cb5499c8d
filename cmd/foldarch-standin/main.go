// Command foldarch-standin runs stand-ins for the platform store, the workers and the
// endpoints. It is for tests and for trying foldarch out.
package main

import (
	"os"

	"foldarch.dev/foldarch/pkg/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
