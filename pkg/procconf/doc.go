// Package procconf reads the settings of a single process from a TOML file and validates all of them
// before the process starts any work. They differ from host to host: addresses, hall, limits. The settings
// of the whole cell, which operators declare once, are in package settings.
//
// # Usage
//
//	cfg, err := procconf.Load("entry.toml")
//	// entry.toml:4: calers_address: unknown key, did you mean "callers_address"?
package procconf
