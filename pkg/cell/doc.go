// Package cell defines the identifiers and quantities that the other packages share: halls, shards, epochs,
// resources and the layout of a cell.
//
// A cell is one installation. It consists of data halls. The workers and endpoints of a hall are partitioned
// into a fixed number of shards. Each shard has at most one owner at a time, and only the owner assigns work
// in the shard. The layout is part of the settings. It can't be changed once the cell is running, because
// the home shard of a key depends on the number of shards.
//
// # Usage
//
//	layout := cell.Layout{Halls: []cell.HallLayout{{Name: "seoul-1", Region: "seoul", Shards: 2}}}
//	layout.Home("order-17")          // seoul-1/0 or seoul-1/1, the same on every host
//	layout.ShardOf("seoul-1", "w-3") // the shard that a worker belongs to
package cell
