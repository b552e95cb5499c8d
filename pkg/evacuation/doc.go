// Package evacuation keeps which data halls are being evacuated.
//
// A hall that is being evacuated gets no new tasks until the operator withdraws that; what runs there goes on to its end. The
// operator writes one key a hall into the platform's store. A process may read these keys on several ways at once, such as a watch
// and a list, so news arrive in any order: Halls puts them in order by the store's revisions, and an older one changes nothing.
//
// Package jobhost reads the keys and keeps a Halls; package dispatch is told the names and starts nothing there.
//
// # Usage
//
//	halls := evacuation.New()
//	halls.Put("hall-a", 7)                                 // true: changed
//	halls.List(map[string]int64{"hall-a": 7}, 9)           // false: nothing that was not known
//	halls.Remove("hall-a", 12)                             // true: it was withdrawn
//	halls.Put("hall-a", 7)                                 // false: an older answer that came late
//	halls.Names()                                          // none
package evacuation
