// Package loadcli is the program foldarch-load: it runs an experiment of package load,
// writes the result as JSON, draws it, and compares two results.
//
// # Usage
//
//	func main() { os.Exit(loadcli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
package loadcli
