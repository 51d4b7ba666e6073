"""The settings that a router is given at the operators' sites, in the names of the wire page, with the figures of the
site files."""


def jelgava_main(routers=1):
    """`jelgava-main` and `jelgava-main-later`, whose groups and rules are the same: members check the age of data
    themselves, and probes alone carry reports."""

    def group(name, aim, limit, worth, semantics, late):
        return {
            "name": name,
            "aim_ms": aim,
            "hard_limit_ms": limit,
            "importance": worth,
            "semantics": semantics,
            "group": "all",
            "late_value": late,
            "stream": False,
            "window_ms": 5000.0,
        }

    return {
        "balancers": routers,
        "me": 0,
        "membership_mode": "automatic",
        "domain_type": "replicas",
        "family_info": {
            "class_read": ["bounded", "any", "any", "write"],
            "lag_allowed_ms": [300.0, 0.0, 0.0, 0.0],
            "progress_told": False,
            "report_x0": "position_in_seconds_after_zero",
            "report_x1": "1_from_a_primary",
            "role_in_list": "late",
            "server_checks": "wait",
            "token_mode": "remembered",
            "wait_ms": 50.0,
            "waits_for_copy": False,
            "zero_ms": 0.0,
        },
        "kinds": ["std-4"],
        "localities": ["jelgava-room"],
        "zone": "jelgava-room",
        "over_share_worth": 0.2,
        "penalties": {"cross_zone": 0.0, "late_fail": 0.067, "probe": 0.04, "waste": 0.041},
        "permissions": {
            "cancel": True,
            "conn_idle_ms": 15000.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 133333,
            "dial_timeout_ms": 250.0,
            "max_attempts": 6,
            "max_open": 26666,
            "max_retry_after_ms": 1000.0,
            "may_probe": True,
            "peers": False,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 8,
        },
        "projects": [],
        "report": {"fields": ["x0", "x1"], "via": "probe"},
        "request_classes": [
            group("map-view", 600.0, 1500.0, 1.0, "pure", 0.0),
            group("status-check", 250.0, 600.0, 2.0, "pure", 0.0),
            group("season-report", 6000.0, 12000.0, 6.0, "pure", 0.0),
            group("issue-warning", 600.0, 3000.0, 6.0, "side_effect", 0.5),
        ],
        "rules": {
            "answer_slack_ms": 20.0,
            "ask_every_ms": 10000.0,
            "drain_grace_ms": 500.0,
            "fall_ms": 1000.0,
            "start_capacity": 0.15,
            "tip_multiple": 2.0,
            "warm_after_ms": 18000.0,
        },
        "tick_ms": 5.0,
        "weight_kind": "nominal",
        "worth_by": "request",
    }
