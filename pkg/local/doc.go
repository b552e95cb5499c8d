// Package local runs a small cell in one process on the loopback.
package local
