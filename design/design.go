// Package design describes the caller and operator interfaces of
// sassafrasrail in the goa design language.
//
// # Usage
//
//	go tool goa gen github.com/sassafrasrail/sassafrasrail/design
//
// The generated code is committed under gen/, so a build needs no generator.
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("sassafrasrail", func() {
	Title("sassafrasrail")
	Description("Request scheduler for unlike engines.")
	Server("entry", func() {
		Services("requests", "operator")
	})
})

// Problem is the body of every refusal.
var Problem = Type("Problem", func() {
	Description("Problem says why a request was refused and whether it may have run.")
	ErrorName("name", String, "Stable name of the refusal")
	Field(2, "reason", String, "One sentence for people")
	Field(3, "outcome", String, "What became of the request", func() {
		Enum("not-run", "unknown", "cut-short", "complete")
	})
	Field(4, "ticket", String, "Fresh ticket, when one is needed")
	Field(5, "retry", Int, "Seconds to wait before a retry; 0 when none is advised")
	Required("name", "reason", "outcome")
})

// Event is one event of an answer.
var Event = Type("Event", func() {
	Description("Event is one event of an answer. Sequence numbers start at 1 and have no gaps.")
	Attribute("id", String, "Sequence number, decimal")
	Attribute("type", String, "Kind of event", func() {
		Enum("receipt", "text", "end")
	})
	Attribute("data", EventData)
	Required("id", "type", "data")
})

// EventData is the JSON payload of an event.
var EventData = Type("EventData", func() {
	Attribute("ticket", String, "Ticket of the request")
	Attribute("receipt", String, "Receipt that resumes the stream at any instance")
	Attribute("endpoint", String, "Endpoint the request was sent to")
	Attribute("text", String, "Piece of the answer")
	Attribute("outcome", String, "Outcome, on the last event")
	Attribute("reason", String, "Why the answer ended, on the last event")
	Attribute("tokens", Int, "Tokens in the whole answer, on the last event")
})

// Refusals lists the errors that every method of the caller interface shares.
func refusals() {
	Error("unauthorized", Problem)
	Error("forbidden", Problem)
	Error("invalid", Problem)
	Error("missing", Problem)
	Error("conflict", Problem)
	Error("ticket-required", Problem)
	Error("expired", Problem)
	Error("too-large", Problem)
	Error("limited", Problem)
	Error("overloaded", Problem)
	Error("unknown-outcome", Problem)
	Error("issuer-gone", Problem)
	Error("draining", Problem)
}

func refusalCodes() {
	Response("unauthorized", StatusUnauthorized)
	Response("forbidden", StatusForbidden)
	Response("invalid", StatusBadRequest)
	Response("missing", StatusNotFound)
	Response("conflict", StatusConflict)
	Response("ticket-required", StatusPreconditionRequired)
	Response("expired", StatusGone)
	Response("too-large", StatusRequestEntityTooLarge)
	Response("limited", StatusTooManyRequests, func() { Header("retry:Retry-After") })
	Response("overloaded", StatusServiceUnavailable, func() { Header("retry:Retry-After") })
	Response("unknown-outcome", StatusBadGateway)
	Response("issuer-gone", StatusBadGateway)
	Response("draining", StatusServiceUnavailable)
}

func key() {
	Attribute("key", String, "Workspace key, as 'Bearer KEY'")
}

var _ = Service("requests", func() {
	Description("Caller interface.")
	refusals()
	HTTP(func() { refusalCodes() })

	Method("tickets", func() {
		Description("Issue tickets. Safe to repeat.")
		Payload(func() {
			key()
			Attribute("count", Int, "How many tickets", func() { Default(1) })
		})
		Result(func() {
			Attribute("tickets", ArrayOf(String))
			Attribute("lifetime", Int, "Seconds until the tickets expire")
			Required("tickets", "lifetime")
		})
		HTTP(func() {
			POST("/v1/tickets")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("generate", func() {
		Description("Submit a model request and receive its answer as a stream.")
		Payload(func() {
			key()
			Attribute("ticket", String, "Ticket of the request")
			Attribute("model", String, "Model")
			Attribute("prompt", String, "Prompt")
			Attribute("tokens", Int, "Most tokens to generate", func() { Default(256) })
			Attribute("tier", String, "Tier; the workspace's own when empty")
			Attribute("deadline", Int, "Milliseconds until the answer is of no use; the tier's own when 0", func() { Default(0) })
			Required("model", "prompt")
		})
		StreamingResult(Event)
		HTTP(func() {
			POST("/v1/generate")
			Header("key:Authorization")
			Header("ticket:Ticket")
			ServerSentEvents(func() {
				SSEEventID("id")
				SSEEventType("type")
				SSEEventData("data")
			})
		})
	})

	Method("call", func() {
		Description("Call a plain service once.")
		Payload(func() {
			key()
			Attribute("ticket", String, "Ticket of the request")
			Attribute("service", String, "Service")
			Attribute("operation", String, "Operation of the service")
			Attribute("body", String, "Body, passed on as it is")
			Attribute("deadline", Int, "Milliseconds until the answer is of no use", func() { Default(0) })
			Required("service", "operation")
		})
		Result(func() {
			Attribute("ticket", String)
			Attribute("outcome", String)
			Attribute("reason", String)
			Attribute("status", Int, "HTTP status of the service")
			Attribute("body", String, "Answer of the service")
			Attribute("endpoint", String)
			Required("ticket", "outcome")
		})
		HTTP(func() {
			POST("/v1/services/{service}/{operation}")
			Header("key:Authorization")
			Header("ticket:Ticket")
			Response(StatusOK)
		})
	})

	Method("status", func() {
		Description("Say what became of a request.")
		Payload(func() {
			key()
			Attribute("ticket", String)
			Required("ticket")
		})
		Result(func() {
			Attribute("ticket", String)
			Attribute("state", String, "issued, waiting, sent, ended or unknown")
			Attribute("outcome", String)
			Attribute("reason", String)
			Attribute("endpoint", String)
			Attribute("receipt", String)
			Attribute("events", Int, "Events so far")
			Attribute("status", Int, "HTTP status of a plain service")
			Attribute("body", String, "Answer of a plain service")
			Required("ticket", "state", "outcome")
		})
		HTTP(func() {
			GET("/v1/requests/{ticket}")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("resume", func() {
		Description("Receive the rest of an answer by its ticket or its receipt.")
		Payload(func() {
			key()
			Attribute("ticket", String, "Ticket of the request")
			Attribute("receipt", String, "Receipt, when the issuer may be gone")
			Attribute("after", Int, "Last sequence number received", func() { Default(0) })
			Required("ticket")
		})
		StreamingResult(Event)
		HTTP(func() {
			POST("/v1/requests/{ticket}/events")
			Header("key:Authorization")
			ServerSentEvents(func() {
				SSEEventID("id")
				SSEEventType("type")
				SSEEventData("data")
			})
		})
	})
})

var _ = Service("operator", func() {
	Description("Operator interface.")
	Error("missing", Problem)
	Error("not-ready", Problem)
	HTTP(func() {
		Response("missing", StatusNotFound)
		Response("not-ready", StatusServiceUnavailable)
	})

	Method("dump", func() {
		Description("State of the process as JSON.")
		Result(Any)
		HTTP(func() {
			GET("/v1/dump")
			Response(StatusOK)
		})
	})

	Method("metrics", func() {
		Description("Every metric by name.")
		Result(Any)
		HTTP(func() {
			GET("/v1/metrics")
			Response(StatusOK)
		})
	})

	Method("explain", func() {
		Description("Record of the decisions taken for one ticket.")
		Payload(func() {
			Attribute("ticket", String)
			Required("ticket")
		})
		Result(Explanation)
		HTTP(func() {
			GET("/v1/explain/{ticket}")
			Response(StatusOK)
		})
	})

	Method("live", func() {
		Description("Whether the process runs.")
		Result(String)
		HTTP(func() {
			GET("/v1/live")
			Response(StatusOK)
		})
	})

	Method("ready", func() {
		Description("Whether the process takes new requests.")
		Result(String)
		HTTP(func() {
			GET("/v1/ready")
			Response(StatusOK)
		})
	})
})

// Explanation is the record of one request's decisions.
var Explanation = Type("Explanation", func() {
	Attribute("ticket", String)
	Attribute("instance", String, "Instance that kept the record")
	Attribute("summary", String, "One sentence for people")
	Attribute("steps", ArrayOf(ExplanationStep))
	Required("ticket", "instance", "summary", "steps")
})

// ExplanationStep is one recorded decision.
var ExplanationStep = Type("ExplanationStep", func() {
	Attribute("at", String, "Time, RFC 3339 with nanoseconds")
	Attribute("step", String, "Name of the decision")
	Attribute("detail", String, "What was decided and on what grounds")
	Required("at", "step", "detail")
})
