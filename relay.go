package sassafrasrail

import "time"

// Relay is the part of a Gossip message with which the instances of a large fleet pass on what
// they know of each other: the changes that the receiver has not acknowledged. Each instance
// numbers the changes that it learns; the numbers of one incarnation are its history.
type Relay struct {
	// Since and Until are positions in the sender's history. The message has all changes after
	// Since, up to Until.
	Since, Until uint64
	// Received is the position in the receiver's history up to which the sender has its changes.
	Received uint64
	Records  []MemberRecord
	// Beats are the records of which nothing but the version changed, as srgossip encodes them.
	Beats []byte
}

// MemberRecord is what changed in the record that an instance publishes about itself.
type MemberRecord struct {
	// Key identifies the incarnation: it is a hash of its address and number.
	Key uint64
	// Version grows with each record that the instance publishes. Age is the time since then.
	Version uint64
	Age     time.Duration
	// State is nil while it has not changed.
	State *MemberState
	// Spent is the total cost by workspace, of those that changed.
	Spent map[string]float64
	// Load is the load of the instance, nil while it has not changed.
	Load *MemberLoad
	// Crashes is what the instance observed of crashes. Suspects are left out, since each
	// instance reports all that it knows of to those that it talks to.
	Crashes *CrashReport
}

// MemberState is the part of a record that seldom changes. The fields have the same meaning as in
// Gossip.
type MemberState struct {
	ID                      InstanceID
	Domain                  string
	Power                   float64
	Joining, Leaving, Final bool
	Position                Position
	Prior                   Position
}

// MemberLoad is the load of an instance by endpoint, as in Usage.
type MemberLoad struct {
	Running map[string]int
	Pending map[string]int
}
