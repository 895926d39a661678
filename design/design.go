// Package design defines the caller and operator interfaces of sassafrasrail in the
// goa design language.
//
// # Usage
//
//	go tool goa gen github.com/sassafrasrail/sassafrasrail/design
//
// The generated code is committed under gen/, so that builds don't run the generator.
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("sassafrasrail", func() {
	Title("sassafrasrail")
	Description("Request scheduler for heterogeneous engines.")
	Server("entry", func() {
		Services("requests", "operator")
	})
})

// Problem is the body of every refusal.
var Problem = Type("Problem", func() {
	Description("Problem says why a request was refused and whether it may have run.")
	ErrorName("name", String, "Stable name of the refusal")
	Field(2, "reason", String, "Reason as one sentence")
	Field(3, "outcome", String, "Outcome of the request", func() {
		Enum("not-run", "unknown", "cut-short", "complete")
	})
	Field(4, "ticket", String, "New ticket, when the request must be sent again with one")
	Field(5, "retry", Int, "Seconds to wait before a retry; 0 when no retry is advised")
	Required("name", "reason", "outcome")
})

// Event is one event of an answer.
var Event = Type("Event", func() {
	Description("Event is one event of an answer. Sequence numbers start at 1 and have no gaps.")
	Attribute("id", String, "Sequence number in decimal")
	Attribute("type", String, "Kind of event", func() {
		Enum("receipt", "text", "end")
	})
	Attribute("data", EventData)
	Required("id", "type", "data")
})

// EventData is the JSON payload of an event.
var EventData = Type("EventData", func() {
	Attribute("ticket", String, "Ticket of the request")
	Attribute("receipt", String, "Receipt with which any instance can resume the stream")
	Attribute("endpoint", String, "Endpoint that the request was sent to")
	Attribute("text", String, "Part of the answer text")
	Attribute("outcome", String, "Outcome, on the last event")
	Attribute("reason", String, "Why the answer ended, on the last event")
	Attribute("tokens", Int, "Number of tokens in the complete answer, on the last event")
})

// refusals declares the errors that all methods of the caller interface share.
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

// refusalCodes maps the errors to HTTP status codes.
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
		Description("Issue tickets. The call may be repeated safely.")
		Payload(func() {
			key()
			Attribute("count", Int, "Number of tickets", func() { Default(1) })
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
			Attribute("model", String, "Name of the model")
			Attribute("prompt", String, "Prompt")
			Attribute("tokens", Int, "Maximum number of tokens to generate", func() { Default(256) })
			Attribute("tier", String, "Name of the tier; the default is the tier of the workspace")
			Attribute("deadline", Int, "Deadline in milliseconds from now; 0 means the deadline of the tier", func() { Default(0) })
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
		Description("Call an operation of a plain service. It runs at most once unless it is repeatable.")
		Payload(func() {
			key()
			Attribute("ticket", String, "Ticket of the request")
			Attribute("service", String, "Name of the service")
			Attribute("operation", String, "Operation of the service")
			Attribute("body", String, "Request body, forwarded unchanged")
			Attribute("deadline", Int, "Deadline in milliseconds from now", func() { Default(0) })
			Required("service", "operation")
		})
		Result(func() {
			Attribute("ticket", String)
			Attribute("outcome", String)
			Attribute("reason", String)
			Attribute("status", Int, "HTTP status of the service")
			Attribute("body", String, "Response body of the service")
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
		Description("Return the state of a request.")
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
			Attribute("events", Int, "Number of events so far")
			Attribute("status", Int, "HTTP status of a plain service")
			Attribute("body", String, "Response body of a plain service")
			Required("ticket", "state", "outcome")
		})
		HTTP(func() {
			GET("/v1/requests/{ticket}")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("resume", func() {
		Description("Receive the remaining events of an answer, identified by its ticket or receipt.")
		Payload(func() {
			key()
			Attribute("ticket", String, "Ticket of the request")
			Attribute("receipt", String, "Receipt of the answer; needed when the issuer may no longer run")
			Attribute("after", Int, "Sequence number of the last event received", func() { Default(0) })
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
		Description("Return the state of the process as JSON.")
		Result(Any)
		HTTP(func() {
			GET("/v1/dump")
			Response(StatusOK)
		})
	})

	Method("metrics", func() {
		Description("Return all metrics by name.")
		Result(Any)
		HTTP(func() {
			GET("/v1/metrics")
			Response(StatusOK)
		})
	})

	Method("explain", func() {
		Description("Return the recorded decisions on the request with a ticket.")
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
		Description("Report whether the process is running.")
		Result(String)
		HTTP(func() {
			GET("/v1/live")
			Response(StatusOK)
		})
	})

	Method("ready", func() {
		Description("Report whether the process accepts new requests.")
		Result(String)
		HTTP(func() {
			GET("/v1/ready")
			Response(StatusOK)
		})
	})
})

// Explanation lists the decisions recorded for one request.
var Explanation = Type("Explanation", func() {
	Attribute("ticket", String)
	Attribute("instance", String, "Instance that recorded the decisions")
	Attribute("summary", String, "Summary as one sentence")
	Attribute("steps", ArrayOf(ExplanationStep))
	Required("ticket", "instance", "summary", "steps")
})

// ExplanationStep is one recorded decision.
var ExplanationStep = Type("ExplanationStep", func() {
	Attribute("at", String, "Time in RFC 3339 format with nanoseconds")
	Attribute("step", String, "Name of the decision")
	Attribute("detail", String, "What was decided and why")
	Required("at", "step", "detail")
})
