// Package srprocess holds the proofs that need real processes on loopback:
// kills, stops and signals.
//
// # Usage
//
//	go test ./internal/proof/srprocess
package srprocess
