package sassafrasrail

import "time"

// Crash is the crash of an endpoint as one instance observed it.
type Crash struct {
	// Endpoint and Born identify the incarnation of the endpoint.
	Endpoint string
	Born     int64
	// Age is the time since the crash.
	Age time.Duration
	// Requests are the requests that ended with it before they had begun to answer, each
	// as the list of the IDs of its prompt's parts without the last one, its variant and its
	// identity. Instances of earlier versions send no identity.
	Requests [][]string
	// Ran is, for each request, the time from sending it to the crash. Instances of earlier
	// versions send none.
	Ran []time.Duration
}

// SoundPart is a part of prompts whose requests are answered soundly.
type SoundPart struct {
	ID string
	// Age is the time since the last sound answer.
	Age time.Duration
}

// SuspectPart is a part of prompts that is suspected of crashing endpoints.
type SuspectPart struct {
	ID string
	// Age is the time since the last crash.
	Age     time.Duration
	Crashes int
	// Rounds is how often the part has become suspected.
	Rounds int
}

// CrashReport is what an instance reports to the others about crashes of endpoints. It
// has a bounded number of entries.
type CrashReport struct {
	Crashes  []Crash
	Sound    []SoundPart
	Suspects []SuspectPart
}
