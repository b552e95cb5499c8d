// Package cli implements the program foldarch, with which operators declare what a cell runs and inspect it.
// Each subcommand has a file of its own, which holds the struct with its flags, the method Help and the
// method Run. The struct Program lists all subcommands.
//
// # Usage
//
//	func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
package cli
