// Package sassafrasrail holds the interfaces and the shared value types of the
// request scheduler. Implementations live below internal/.
//
// # Usage
//
// An entry instance is assembled from the interfaces of this package:
//
//	Engine    model engines, called over HTTP by internal/peer/srendpoint
//	Service   plain services, called over HTTP by internal/peer/srservice
//	Platform  configuration service and instance list, read by internal/peer/srplatform
//	Peers     the other entry instances, called over net/rpc by internal/peer/srinstance
//
// Only durations cross process boundaries, never points in time, because the
// clocks of different machines are not compared.
package sassafrasrail
