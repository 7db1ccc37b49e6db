package main

// The names of the configuration that the cases use.
const (
	host    = "ficu95.example"
	pool    = "tally-pool"
	records = "dispatch-api"
	model   = "daka510000"
	key     = "n2ctnfzs989anu6wsjnb"
	tenant  = "hule930"
)

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMillis, attempts int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMillis, "goal_ms": 1500,
		"priority": 1, "service": service, "attempts": attempts, "anon": false, "affinity": false,
	}
	if kind == "stream" {
		r["affinity"], r["resumable"], r["gap_aim_ms"] = true, true, 1200
	}
	return r
}

// configuration returns a configuration of the given routes.
func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": pool, "health_path": "/healthz", "max_conns": 230, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 32, "kv_capacity": 761808, "token_kv_bytes": 35136, "net_mbps": 260000.0, "moves": true, "backups": true,
				"stride": 7, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": []map[string]any{{"name": model, "cost": 0.013}},
			}},
			{"name": records, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	}
}
