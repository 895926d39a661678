package main

// config returns a configuration of a small deployment, with the limits of PROTOCOL.md, and a
// version. A route has a path of its own.
func config(version int, routes []map[string]any, more map[string]any) map[string]any {
	out := map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{{"name": "app"}, {"name": "llm"}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000,
		},
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// route returns a route for a path.
func route(name, kind, service string, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": "a.example", "prefix": "/" + name + "/", "kind": kind, "service": service,
		"timeout_ms": 4000, "target_latency_ms": 300, "priority": 1, "max_attempts": 1, "public": true,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}
