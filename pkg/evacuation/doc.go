// Package evacuation tracks which data halls are being evacuated.
//
// A hall that is being evacuated gets no new tasks until the operator withdraws the evacuation. Tasks that
// run there continue to their end. The operator writes one key for each such hall into the platform's
// store. A process may read these keys in several ways at once, such as by a watch and by lists, so
// changes can arrive out of order. Halls orders them by the store's revisions and ignores outdated ones.
//
// Package jobhost reads the keys and keeps a Halls. It passes the halls' names to package dispatch, which
// starts no tasks there.
//
// # Usage
//
//	halls := evacuation.New()
//	halls.Put("hall-a", 7)                                 // true: the evacuation begins
//	halls.List(map[string]int64{"hall-a": 7}, 9)           // false: no change
//	halls.Remove("hall-a", 12)                             // true: the evacuation was withdrawn
//	halls.Put("hall-a", 7)                                 // false: an outdated answer that arrived late
//	halls.Names()                                          // none
package evacuation
