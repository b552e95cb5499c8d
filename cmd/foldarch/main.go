// Command foldarch applies the declarations of what a cell runs and shows the state of the cell.
package main

import (
	"os"

	"foldarch.dev/foldarch/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
