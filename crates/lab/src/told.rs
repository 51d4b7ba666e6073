//! The settings a router starts with, as the platform would tell them.

use crate::setup::Setup;
use vetchkeel::SettingValues;
use vetchkeel_emulated::{Access, Checks, Effect, ListMode, Micros};

fn ms(time: Micros) -> String {
    format!("{:.3}", time as f64 / 1e3)
}

/// Names to values, as the decision module reads them.
pub fn told(setup: &Setup, router: usize) -> SettingValues {
    let (plan, permits) = (&setup.plan, &setup.permits);
    let mut told = SettingValues::new();
    let mut tell = |name: &str, value: String| {
        told.insert(name.to_owned(), value);
    };
    tell("me", router.to_string());
    tell("balancers", plan.routers.len().to_string());
    tell("tick_ms", "1.0".into());
    let mode = if plan.list.mode == ListMode::Push { "automatic" } else { "subscribe" };
    tell("membership_mode", mode.into());
    let access = |a: &Access| match a {
        Access::Any => "any",
        Access::Bounded(_) => "bounded",
        Access::Session => "session",
        Access::Fresh => "fresh",
        Access::Write => "write",
    };
    let list = |parts: Vec<String>| parts.join(",");
    tell("family_info.class_read", list(plan.groups.iter().map(|g| access(&g.access).to_owned()).collect()));
    let bound = |a: &Access| if let Access::Bounded(bound) = a { ms(*bound) } else { "0.0".into() };
    tell("family_info.lag_allowed_ms", list(plan.groups.iter().map(|g| bound(&g.access)).collect()));
    let (checks, wait) = match plan.checks {
        Checks::Nothing => ("none", 0),
        Checks::Refuse => ("refuse", 0),
        Checks::Wait(wait) => ("wait", wait),
    };
    tell("family_info.server_checks", checks.into());
    tell("family_info.wait_ms", ms(wait));
    tell("family_info.token_mode", "remembered".into());
    tell("family_info.progress_told", plan.reports.positions.to_string());
    tell("report.via", "probe".into());
    tell("report.fields", "x0,x1".into());
    tell("permissions.cancel", permits.cancel.to_string());
    tell("permissions.may_probe", permits.probes.to_string());
    tell("permissions.retry_after", permits.hold_off.to_string());
    tell("permissions.max_attempts", permits.attempts.to_string());
    tell("permissions.dial_timeout_ms", ms(plan.connections.dial_timeout));
    tell("permissions.conn_idle_ms", ms(plan.connections.idle));
    tell("rules.drain_grace_ms", ms(plan.list.drain_grace));
    tell("rules.start_capacity", plan.warming.from.to_string());
    tell("rules.warm_after_ms", ms(plan.warming.over));
    tell("rules.tip_multiple", plan.warming.multiple.to_string());
    tell("rules.fall_ms", ms(plan.warming.span));
    tell("projects.count", setup.customers.len().to_string());
    let all: f64 = setup.customers.iter().map(|c| c.1).sum();
    for (i, (name, share)) in setup.customers.iter().enumerate() {
        tell(&format!("projects.{i}.name"), name.clone());
        tell(&format!("projects.{i}.share"), (share / all).to_string());
    }
    tell("request_classes.count", plan.groups.len().to_string());
    for (i, group) in plan.groups.iter().enumerate() {
        let mut tell = |name: &str, value: String| tell(&format!("request_classes.{i}.{name}"), value);
        tell("name", group.name.clone());
        tell("semantics", if group.effect == Effect::Mutating { "side_effect" } else { "pure" }.into());
        tell("hard_limit_ms", ms(group.timeout));
        tell("aim_ms", ms(group.target));
        tell("late_value", group.late_share.to_string());
        tell("importance", group.benefit.to_string());
    }
    told
}
