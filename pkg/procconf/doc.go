// Package procconf reads the settings of one process from a TOML file and checks them
// whole before anything starts. These are the settings that differ from host to host:
// addresses, hall, limits. What operators declare for the cell is package settings.
//
// # Usage
//
//	cfg, err := procconf.Load("entry.toml")
//	// entry.toml:4: calers_address: unknown key, did you mean "callers_address"?
package procconf
