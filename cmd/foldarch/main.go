// Command foldarch declares what a cell runs, and looks into it.
package main

import (
	"os"

	"foldarch.dev/foldarch/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
