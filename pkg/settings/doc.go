// Package settings reads a tree of operators' declarations and works out which rules
// hold for each workload.
//
// A tree is a directory of TOML files, kept in version control by the operators:
//
//	cell.toml                 the root: halls, teams and their quotas, rules for all
//	baseball/group.toml       rules for the group baseball
//	baseball/scoring.toml     the workload scoring
//	baseball/kbo/group.toml   a group within the group
//
// Rules flow down. A lower level overrides a key of a higher one. A place rule that is
// marked final stays in force below: a lower level may narrow it and never widen it.
//
// The package is pure: it maps texts to a Tree or to a list of faults, each with file,
// line and key. How a tree is kept in the platform store is the matter of package
// revision.
//
// # Usage
//
//	docs, err := settings.ReadDirectory("declarations")
//	tree, faults := settings.Parse(docs)
//	for _, f := range faults {
//		fmt.Println(f) // baseball/scoring.toml:7: rules.windw: unknown key, did you mean "window"?
//	}
//	w := tree.Workloads["scoring"]
//	w.From["rules.window"] // "baseball/group.toml"
package settings
