// Command standin-2 stands for the platform, its workers, its machine service and its clients in the cases of
// the second review. It uses the store of platform/emulator; the workers, the machine service and the clients
// are its own and follow the users' pages (PROTOCOL.md, DEPLOY.md, RULES.md).
//
// It prints one line for each entry host, "host NAME SETTINGS", and expects that these hosts are started then.
// It plays one scenario, writes what was sent, answered and run into a record, and ends with 0 if the rule
// held, 1 if it was broken and 2 if the case could not run.
package main
