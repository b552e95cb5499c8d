// Package tomlfile decodes a TOML text into a struct and reports every unknown key with
// its line and the nearest known key. The TOML library finds unknown keys but keeps no
// line for them, so the package looks the line up in the text.
//
// # Usage
//
//	var cfg Config
//	for _, p := range tomlfile.Decode(text, &cfg) {
//		fmt.Printf("%s:%d: %s: %s\n", path, p.Line, p.Key, p.Text)
//	}
package tomlfile
