// Package tomlfile decodes a TOML text into a struct and reports each unknown key with its line and the
// most similar known key. The TOML library reports unknown keys without their lines, so the package
// searches the text for them.
//
// # Usage
//
//	var cfg Config
//	for _, p := range tomlfile.Decode(text, &cfg) {
//		fmt.Printf("%s:%d: %s: %s\n", path, p.Line, p.Key, p.Text)
//	}
package tomlfile
