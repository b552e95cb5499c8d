// Command foldarch-entry is the server of an entry host. It accepts requests from callers and owns shards.
package main

import (
	"os"

	"foldarch.dev/foldarch/pkg/entry"
)

func main() {
	os.Exit(entry.Main(os.Args[1:], os.Stdout, os.Stderr))
}
