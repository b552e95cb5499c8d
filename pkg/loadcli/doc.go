// Package loadcli implements the program foldarch-load, which runs an experiment of package load, writes the
// result as JSON, plots it, and compares two results.
//
// # Usage
//
//	func main() { os.Exit(loadcli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
package loadcli
