// Command foldarch-standin runs stand-ins for the platform store, the workers and the endpoints. It serves
// tests and demonstrations.
package main

import (
	"os"

	"foldarch.dev/foldarch/pkg/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
