// Package sassafrasrail holds the interfaces and the shared value types of the
// request scheduler. Implementations live below internal/.
//
// # Usage
//
// An entry instance is assembled from the interfaces of this package:
//
//	Engine    model engines, met over HTTP by internal/peer/srendpoint
//	Service   plain services, met over HTTP by internal/peer/srservice
//	Platform  configuration service and instance list, internal/peer/srplatform
//	Peers     the other entry instances, met over net/rpc by internal/peer/srinstance
//
// Durations cross process boundaries, points in time never do: clocks of
// different machines are not compared.
package sassafrasrail
