// Package srgroup gives the endpoints of a service one order of work for all instances. It
// divides them into groups, finds the instance that coordinates a group, and decides for it.
// It does no input or output: the time is an argument.
//
// # Usage
//
//	groups := srgroup.Split(service, ids)
//	coordinators := srgroup.Coordinators(names, members)
//
//	g := srgroup.New(srgroup.Options{Name: name, Seed: seed}) // at the coordinator
//	g.Configure(now, endpoints)
//	reply, deliveries, err := g.Report(now, report)
//	deliveries := g.Tick(now)
//
//	h := srgroup.NewHolder(name, self, last) // at each instance with requests
//	h.Ask(now, ask)
//	report, ok := h.Next(now)
//	decisions := h.Reply(now, reply)
//
// Load patterns and how they are handled:
//
//   - More instances than slots of an endpoint, each with requests of several ranks. A queue
//     for each instance serves low ranks at one instance while another one refuses high ones.
//     A group has one queue (group.go).
//   - A service of few endpoints behind many instances. Shares of less than a slot leave slots
//     idle at some instances while others refuse. The group is the whole service (split.go).
//   - Many refused callers that return. Their times are spread over the group, not by each
//     instance for itself.
//   - A coordinator that ends, pauses or is cut off under load. Holders decide alone from their
//     shares after one report without an answer, and the next coordinator starts with what is
//     in flight (holder.go, group.go).
//   - A holder that ends or pauses with slots. The slots are free again after holderTimeout.
package srgroup
