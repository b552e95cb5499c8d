// Package cli is the program foldarch, with which operators declare what the cell is to
// run, and look in. Each subcommand stands in a file of its own, in the same order: the
// struct with its flags and help, then Run. The table of all is the struct Program.
//
// # Usage
//
//	func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
package cli
