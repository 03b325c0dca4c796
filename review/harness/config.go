package main

import "time"

// contactMS is contact_ms of the settings.
const contactMS = 4000 * time.Millisecond

// config returns a configuration with one route to a single service and one over shards.
func config(version int, single string, shards []string) map[string]any {
	var services []map[string]any
	for _, s := range append([]string{single}, shards...) {
		services = append(services, map[string]any{"name": s, "health_path": "/health", "max_conns": 46, "protocol": "h1", "tls": false, "warmup_s": 3.0, "cold_per_s": 0.0})
	}
	return map[string]any{"version": version, "routes": []map[string]any{
		{"name": "r-all", "host": "all.example", "prefix": "/all/", "type": "safe", "timeout_ms": 1200, "slo_ms": 250, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": 10, "oldest_version": 0.75},
		{"name": "r-one", "host": "one.example", "prefix": "/one/", "type": "safe", "timeout_ms": 5000, "slo_ms": 800, "priority": 2, "service": single, "max_attempts": 2},
	}, "services": services, "limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}
