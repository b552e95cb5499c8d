// Package cell holds the identifiers and quantities that every other package speaks of:
// halls, shards, epochs, resources and the layout of a cell.
//
// A cell is one installation. It has halls; the workers and endpoints of a hall are cut
// into a fixed number of shards; each shard has at most one owner at a time, and the
// owner alone gives work to the shard. The layout is part of the settings. The number of
// shards decides where a key is at home, so it is fixed when a cell is founded.
//
// # Usage
//
//	layout := cell.Layout{Halls: []cell.HallLayout{{Name: "seoul-1", Region: "seoul", Shards: 2}}}
//	layout.Home("order-17")          // seoul-1/0 or seoul-1/1, the same on every host
//	layout.ShardOf("seoul-1", "w-3") // the shard that a worker belongs to
package cell
