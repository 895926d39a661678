// Package srprocess holds the tests that need real processes on the loopback
// interface, which they kill, stop and send signals.
//
// # Usage
//
//	go test ./internal/proof/srprocess
package srprocess
