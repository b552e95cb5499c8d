// Package settings reads the operators' declarations for a cell and computes the effective rules of
// each workload.
//
// The declarations are a directory tree of TOML files, which operators keep in version control:
//
//	cell.toml                 the root: halls, teams and their quotas, rules for all workloads
//	baseball/group.toml       rules for the group baseball
//	baseball/scoring.toml     the workload scoring
//	baseball/kbo/group.toml   a group within the group
//
// Rules are inherited from the root through the groups down to the workload. A lower level overrides
// single keys of a higher level. A place rule marked final also applies to all lower levels, which may
// narrow it but not widen it.
//
// Parse does no I/O: it turns the texts of the files into a Tree or a list of faults, each with file,
// line and key. Package revision stores declarations in the platform store.
//
// # Usage
//
//	docs, err := settings.ReadDirectory("declarations")
//	tree, faults := settings.Parse(docs)
//	for _, f := range faults {
//		fmt.Println(f) // baseball/scoring.toml:7: rules.windw: unknown key, did you mean "window"?
//	}
//	w := tree.Workloads["scoring"]
//	w.SourceFiles["rules.window"] // "baseball/group.toml"
package settings
