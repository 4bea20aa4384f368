package main

// class is a class of requests in the settings.
func class(name, repeat, group string, aim, giveUp, window, worth float64) map[string]any {
	return map[string]any{"name": name, "repeat": repeat, "group": group, "aim_ms": aim, "give_up_ms": giveUp,
		"window_ms": window, "worth": worth, "late_worth": 0.0, "streamed": false}
}

// portalSettings are the settings of the deployment tender-portal as the page on the wire shows them, for one gateway.
func portalSettings() map[string]any {
	return map[string]any{
		"balancers": 1, "rank": 0, "zone": 0, "zones": []string{"suva", "lautoka"}, "family": "proxy", "tick_ms": 5.0,
		"registry_mode": "subscribe", "counted_by": "request", "tenants": []string{}, "weight_source": "silent",
		"bounds": map[string]any{"cancel": true, "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0,
			"max_retry_after_ms": 2000.0, "max_streams": 1, "may_probe": true, "most_tries": 4, "open_cap": 24486,
			"peers": false, "retry_after": true, "second_copies": true},
		"classes": []any{class("tender-view", "repeatable", "all", 800, 2000, 5000, 1),
			class("bid-lodge", "once", "all", 800, 2500, 5000, 8)},
		"clients": map[string]any{"marks_retry": true},
		"guarantees": map[string]any{"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.12,
			"drain_grace_ms": 250.0, "fall_multiple": 3.0, "overload_for_ms": 1000.0, "warm_after_ms": 24000.0},
		"report": map[string]any{"how": "piggyback", "columns": []string{"pending", "busy_reqs", "failed_ps"}},
	}
}

// runnerSettings are settings of a deployment like perth-runners, for one gateway: pushed lists, and a class whose
// requests carry a key and are given up after 750 ms.
func runnerSettings() map[string]any {
	return map[string]any{
		"balancers": 1, "rank": 0, "zone": 0, "zones": []string{"perth", "dundee", "stirling"}, "family": "proxy",
		"tick_ms": 5.0, "registry_mode": "automatic", "counted_by": "work", "tenants": []string{},
		"weight_source": "rough",
		"bounds": map[string]any{"cancel": true, "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0,
			"max_retry_after_ms": 2000.0, "max_streams": 1, "may_probe": false, "most_tries": 4, "open_cap": 20000,
			"peers": false, "retry_after": true, "second_copies": true},
		"classes": []any{class("test-run", "repeatable", "all", 400, 1500, 1500, 3),
			class("hand-in", "by_key", "cell", 150, 750, 1500, 8)},
		"clients": map[string]any{"marks_retry": false},
		"guarantees": map[string]any{"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.12,
			"drain_grace_ms": 500.0, "fall_multiple": 4.0, "overload_for_ms": 3000.0, "warm_after_ms": 24000.0},
		"report": map[string]any{"how": "silent", "columns": []string{}},
	}
}
