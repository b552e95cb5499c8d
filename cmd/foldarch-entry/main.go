// Command foldarch-entry is the process of an entry host: the door for callers and the
// owner of shards.
package main

import (
	"os"

	"foldarch.dev/foldarch/pkg/entry"
)

func main() {
	os.Exit(entry.Main(os.Args[1:], os.Stdout, os.Stderr))
}
