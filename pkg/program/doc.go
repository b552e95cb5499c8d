// Package program holds what the programs have in common: their exit codes and how they
// complain.
//
// # Usage
//
//	return program.Complain(os.Stderr, "foldarch-entry", err, program.ExitUsage)
package program
