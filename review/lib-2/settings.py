"""Settings of a small deployment, in the names and units of the simulator's first message. The figures are those of the operators' briefs."""


def gauja():
    return {
        "me": 0, "balancers": 4, "tick_ms": 5.0, "membership_mode": "subscribe", "zone": "valmiera-room",
        "family_info": {"class_read": ["bounded", "any", "write"], "lag_allowed_ms": [500.0, 0.0, 0.0], "server_checks": "none",
                        "token_mode": "carried", "role_in_list": "late"},
        "report": {"via": "answers", "fields": ["x0", "x1", "util"]},
        "permissions": {"cancel": True, "may_probe": True, "retry_after": True, "second_copies": True, "max_attempts": 8,
                        "max_retry_after_ms": 1000.0, "conn_idle_ms": 15000.0, "dial_timeout_ms": 250.0},
        "rules": {"drain_grace_ms": 500.0, "start_capacity": 0.16, "tip_multiple": 4.0, "warm_after_ms": 18000.0,
                  "fall_ms": 1500.0, "ask_every_ms": 10000.0},
        "request_classes": [
            {"name": "desk-view", "semantics": "pure", "aim_ms": 300.0, "hard_limit_ms": 750.0, "late_value": 0.2, "importance": 1.0},
            {"name": "gauge-history", "semantics": "pure", "aim_ms": 300.0, "hard_limit_ms": 1000.0, "late_value": 0.2,
             "importance": 2.0},
            {"name": "issue-warning", "semantics": "side_effect", "aim_ms": 600.0, "hard_limit_ms": 5000.0, "late_value": 0.5,
             "importance": 6.0}]}
