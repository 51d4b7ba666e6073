//! The blocks of an experiment.

use vetchkeel_emulated::{
    Access, Checks, Connections, Copying, Draw, Effect, Group, Kind, ListMode, ListPlan, Machine, MemberPlan,
    Micros, On, Plan, Reports, Rhythm, SECOND, TrafficPlan, Trouble, Warming, WaysPlan,
};
use vetchkeel_operator::{FileError, Labelled, Section, Value};

const ABOVE: f64 = f64::MIN_POSITIVE;
const LONG: Micros = 600 * SECOND;

/// A time, or a distribution of times: `"20ms"`, `between("1s", "3s")`, `exponential("20ms")`,
/// `lognormal("20ms", 0.8)`, `heavy("20ms", 1.8)`.
fn draw(value: &Value<'_>) -> Result<Draw, FileError> {
    let Some((name, parts)) = value.call() else {
        return value.time(0..=LONG).map(|t| Draw::Fixed(t as f64));
    };
    let time = |i: usize| parts[i].time(0..=LONG).map(|t| t as f64);
    match (name, parts.len()) {
        ("fixed", 1) => Ok(Draw::Fixed(time(0)?)),
        ("between", 2) if time(0)? <= time(1)? => Ok(Draw::Between(time(0)?, time(1)?)),
        ("exponential", 1) => Ok(Draw::Exponential(time(0)?.max(1.0))),
        ("lognormal", 2) => Ok(Draw::LogNormal(time(0)?.max(1.0), parts[1].number(ABOVE..=20.0)?)),
        ("heavy", 2) => Ok(Draw::Heavy(time(0)?.max(1.0), parts[1].number(1.05..=20.0)?)),
        _ => Err(value.wrong(
            "a time, between(low, high), exponential(mean), lognormal(mean, spread over mean) or heavy(mean, exponent)",
        )),
    }
}

fn drawn(section: &Section<'_>, name: &str, or: Draw) -> Result<Draw, FileError> {
    section.value(name).map_or(Ok(or), |v| draw(&v))
}

fn between(low_ms: f64, high_ms: f64) -> Draw {
    Draw::Between(low_ms * 1e3, high_ms * 1e3)
}

pub(super) fn command_group(block: &Labelled<'_>) -> Result<Group, FileError> {
    let s = &block.section;
    let name = block.label.clone().ok_or_else(|| s.wrong("a name in quotes behind command_group", "none"))?;
    let words = [("any", 0), ("bounded", 1), ("session", 2), ("fresh", 3), ("write", 4)];
    let bound = s.value("bound").map(|b| b.time(1_000..=LONG)).transpose()?;
    let access = match s.require("access")?.choice(&words)? {
        0 => Access::Any,
        1 => {
            Access::Bounded(bound.ok_or_else(|| s.wrong(format!("a value for {}.bound", s.path()), "none"))?)
        }
        2 => Access::Session,
        3 => Access::Fresh,
        _ => Access::Write,
    };
    let or = if access == Access::Write { Effect::Mutating } else { Effect::Replayable };
    let effects = [("replayable", Effect::Replayable), ("mutating", Effect::Mutating)];
    let timeout = s.require("timeout")?.time(10_000..=LONG)?;
    let group = Group {
        name,
        access,
        effect: s.choice("effect", or, &effects)?,
        share: s.require("share")?.number(ABOVE..=1e6)?,
        work: draw(&s.require("work")?)?,
        target: s.require("target")?.time(1_000..=timeout)?,
        timeout,
        benefit: s.number("benefit", 1.0, 0.0..=1e6)?,
        late_share: s.number("late_share", 0.0, 0.0..=1.0)?,
        blocks: s.flag("blocks", false)?,
    };
    s.done()?;
    Ok(group)
}

pub(super) fn customers(root: &Section<'_>) -> Result<Vec<(String, f64)>, FileError> {
    let mut customers = Vec::new();
    for block in root.blocks("customer")? {
        let name = block
            .label
            .clone()
            .ok_or_else(|| block.section.wrong("a name in quotes behind customer", "none"))?;
        customers.push((name, block.section.number("share", 1.0, ABOVE..=1e6)?));
        block.section.done()?;
    }
    Ok(customers)
}

fn zones(s: &Section<'_>) -> Result<Vec<String>, FileError> {
    let Some(zones) = s.value("zones") else { return Ok(vec!["zone".into()]) };
    let list: Vec<String> =
        zones.list()?.iter().map(|z| z.text().map(str::to_owned)).collect::<Result<_, _>>()?;
    if list.is_empty() { Err(zones.wrong("at least one zone")) } else { Ok(list) }
}

fn machines(s: &Section<'_>) -> Result<Vec<Machine>, FileError> {
    let mut machines = Vec::new();
    for block in s.blocks("machine")? {
        let m = &block.section;
        let cores = m.whole("cores", 4, 1..=1_024)? as usize;
        machines.push(Machine {
            name: block.label.clone().unwrap_or_else(|| "machine".into()),
            cores,
            speed: m.number("speed", 1.0, ABOVE..=1e3)?,
            queue: m.whole("queue", 16 * cores as u64, 0..=1_000_000)? as usize,
            connections: m.whole("connections", 200 * cores as u64, 1..=1_000_000)? as usize,
        });
        m.done()?;
    }
    if machines.is_empty() {
        return Err(s.wrong("a block machine", "none"));
    }
    Ok(machines)
}

pub(super) fn fleet_plan(s: &Section<'_>, groups: Vec<Group>) -> Result<Plan, FileError> {
    let zones = zones(s)?;
    let machines = machines(s)?;
    let sets = s.whole("sets", 1, 1..=10_000)? as usize;
    let members = s.whole("members", 3, 1..=64)? as usize;
    let routers = s.whole("routers", 1, 1..=100_000)? as usize;
    // Members of a set stand in the zones by turns, and so do the primaries of the sets; kinds of machines too.
    let (in_zones, of_kinds) = (zones.len(), machines.len());
    let member = |set: usize, i: usize| MemberPlan {
        zone: (set + i) % in_zones,
        machine: (set * members + i) % of_kinds,
    };
    let ways = s.block("ways")?;
    let ways_plan = match &ways {
        None => WaysPlan { same: between(0.15, 0.3), cross: between(0.5, 1.0) },
        Some(w) => {
            let ways = WaysPlan {
                same: drawn(w, "same", between(0.15, 0.3))?,
                cross: drawn(w, "cross", between(0.5, 1.0))?,
            };
            w.done()?;
            ways
        }
    };
    let copying = match s.block("copying")? {
        None => copying(s, false)?,
        Some(c) => copying(&c, true)?,
    };
    let wait = s.time("wait", 50_000, 1_000..=LONG)?;
    let checks = s.choice("checks", 2, &[("none", 0), ("refuse", 1), ("wait", 2)])?;
    let reports = match s.block("reports")? {
        None => Reports { refresh: 100_000, probe_work: 300.0, positions: false },
        Some(r) => {
            let reports = Reports {
                refresh: r.time("refresh", 100_000, 1_000..=LONG)?,
                probe_work: r.time("probe_work", 300, 0..=SECOND)? as f64,
                positions: r.flag("positions", false)?,
            };
            r.done()?;
            reports
        }
    };
    let warming = match s.block("warming")? {
        None => Warming { from: 0.2, over: 12 * SECOND, multiple: 2.0, span: SECOND },
        Some(w) => {
            let warming = Warming {
                from: w.number("from", 0.2, 0.01..=1.0)?,
                over: w.time("over", 12 * SECOND, 1_000..=LONG)?,
                multiple: w.number("multiple", 2.0, 1.0..=100.0)?,
                span: w.time("span", SECOND, 10_000..=LONG)?,
            };
            w.done()?;
            warming
        }
    };
    let list = match s.block("list")? {
        None => list_plan(s, false)?,
        Some(l) => list_plan(&l, true)?,
    };
    let connections = match s.block("connections")? {
        None => Connections { work: 2_000.0, handshake: 1.0, idle: 15 * SECOND, dial_timeout: 250_000 },
        Some(c) => {
            let connections = Connections {
                work: c.time("work", 2_000, 0..=SECOND)? as f64,
                handshake: c.number("handshake", 1.0, 0.0..=10.0)?,
                idle: c.time("idle", 15 * SECOND, 10_000..=LONG)?,
                dial_timeout: c.time("dial_timeout", 250_000, 1_000..=LONG)?,
            };
            c.done()?;
            connections
        }
    };
    Ok(Plan {
        ways: ways_plan,
        machines,
        groups,
        sets: (0..sets).map(|set| (0..members).map(|i| member(set, i)).collect()).collect(),
        routers: (0..routers).map(|r| r % in_zones).collect(),
        zones,
        copying,
        checks: [Checks::Nothing, Checks::Refuse, Checks::Wait(wait)][checks],
        reports,
        warming,
        list,
        connections,
        clocks_apart: s.time("clocks_apart", 0, 0..=LONG)?,
        cancel_stops_running: s.flag("cancel_stops_running", true)?,
    })
}

/// What stands in its own block; `own` is false where the file leaves all of it out.
fn copying(c: &Section<'_>, own: bool) -> Result<Copying, FileError> {
    let value = |name: &str, or: Draw| if own { drawn(c, name, or) } else { Ok(or) };
    let copying = Copying {
        ship: value("ship", between(4.0, 14.0))?,
        apply: value("apply", Draw::LogNormal(4_000.0, 0.5))?,
        detect: value("detect", between(1_300.0, 2_500.0))?,
        elect: value("elect", between(1_200.0, 4_000.0))?,
        switch: value("switch", between(600.0, 1_000.0))?,
        seed_age: value("seed_age", between(2_000.0, 6_000.0))?,
    };
    if own {
        c.done()?;
    }
    Ok(copying)
}

fn list_plan(l: &Section<'_>, own: bool) -> Result<ListPlan, FileError> {
    let value = |name: &str, or: Draw| if own { drawn(l, name, or) } else { Ok(or) };
    let modes = [("push", ListMode::Push), ("ask", ListMode::Ask), ("watch", ListMode::Watch)];
    let list = ListPlan {
        mode: if own { l.choice("mode", ListMode::Push, &modes)? } else { ListMode::Push },
        late: value("late", between(500.0, 2_000.0))?,
        role_late: value("role_late", between(1_900.0, 4_200.0))?,
        spread: value("spread", between(30.0, 390.0))?,
        drain_grace: if own { l.time("drain_grace", 500_000, 1_000..=LONG)? } else { 500_000 },
    };
    if own {
        l.done()?;
    }
    Ok(list)
}

/// Parts that fall as one over a power of the place.
fn skewed(count: usize, skew: f64) -> Vec<f64> {
    (0..count).map(|i| ((i + 1) as f64).powf(-skew)).collect()
}

pub(super) fn traffic_plan(
    s: &Section<'_>,
    plan: &Plan,
    customers: &[(String, f64)],
    until: Micros,
) -> Result<TrafficPlan, FileError> {
    // Load 1 takes all cores of all members, or those of all primaries with what only they take.
    let total: f64 = plan.groups.iter().map(|g| g.share).sum();
    let work = |writes: bool| -> f64 {
        let kept = |g: &&Group| !writes || matches!(g.access, Access::Write | Access::Fresh);
        plan.groups.iter().filter(kept).map(|g| g.share / total * g.work.mean()).sum()
    };
    let members = plan.members() as f64;
    let all = plan.capacity() / work(false).max(1.0);
    let primaries = plan.capacity() / members * plan.sets.len() as f64 / work(true).max(1e-9);
    let rate = match (s.value("rate"), s.value("load")) {
        (Some(rate), None) => rate.number(ABOVE..=1e7)?,
        (None, Some(load)) => load.number(ABOVE..=20.0)? * all.min(primaries),
        (Some(_), Some(load)) => return Err(load.wrong("either rate or load, not both,")),
        (None, None) => return Err(s.wrong(format!("a value for {0}.rate or {0}.load", s.path()), "neither")),
    };
    let rhythm = match s.value("rhythm") {
        None => Rhythm::Poisson,
        Some(v) => match v.call().as_ref().map(|(name, parts)| (*name, parts.as_slice())) {
            Some(("poisson", [])) => Rhythm::Poisson,
            Some(("bursts", [times, on, off])) => Rhythm::Bursts {
                times: times.number(1.0..=100.0)?,
                on: on.time(1_000..=LONG)?,
                off: off.time(1_000..=LONG)?,
            },
            Some(("recorded", [list, length])) => {
                let length = length.time(1..=LONG)?;
                let mut times = Vec::new();
                for time in list.list()? {
                    times.push(time.time(times.last().copied().unwrap_or(0)..=length)?);
                }
                if times.is_empty() {
                    return Err(list.wrong("at least one time"));
                }
                Rhythm::Recorded { times, length }
            }
            _ => {
                return Err(v.wrong("poisson(), bursts(times, on, off) or recorded([times], length)"));
            }
        },
    };
    Ok(TrafficPlan {
        rate,
        rhythm,
        sets: skewed(plan.sets.len(), s.number("set_skew", 0.0, 0.0..=3.0)?),
        customers: if customers.is_empty() { vec![1.0] } else { customers.iter().map(|c| c.1).collect() },
        routers: skewed(plan.routers.len(), s.number("router_skew", 0.0, 0.0..=3.0)?),
        sessions: s.whole("sessions", 2_000, 1..=10_000_000)? as usize,
        until,
    })
}

fn members_on(s: &Section<'_>, plan: &Plan) -> Result<On, FileError> {
    let words = [("all", None), ("primaries", Some(true)), ("replicas", Some(false))];
    let primaries = s.choice("of", None, &words)?;
    match (s.value("members"), s.value("part")) {
        (Some(members), None) => {
            let most = plan.members() as u64 - 1;
            let list = members.list()?;
            let numbers = list.iter().map(|m| m.whole(0..=most).map(|m| m as usize));
            Ok(On::Members(numbers.collect::<Result<_, _>>()?))
        }
        (None, Some(part)) => Ok(On::Part { part: part.number(0.0..=1.0)?, primaries }),
        (Some(members), Some(_)) => Err(members.wrong("either members or part, not both,")),
        (None, None) => Err(s.wrong(format!("a value for {0}.members or {0}.part", s.path()), "neither")),
    }
}

fn place<'a>(value: &Value<'a>, names: impl Iterator<Item = &'a String>) -> Result<usize, FileError> {
    let names: Vec<&String> = names.collect();
    let text = value.text()?;
    let known = || names.iter().map(|n| format!("\"{n}\"")).collect::<Vec<_>>().join(", ");
    names.iter().position(|n| *n == text).ok_or_else(|| value.wrong(format!("one of {}", known())))
}

pub(super) fn trouble(
    block: &Labelled<'_>,
    plan: &Plan,
    customers: &[(String, f64)],
    length: Micros,
) -> Result<Trouble, FileError> {
    let s = &block.section;
    let kind = block.label.clone().unwrap_or_default();
    let from = s.require("from")?.time(0..=length)?;
    let until = s.require("until")?.time(from + 1..=length)?;
    let listed = |or: bool| s.flag("listed", or);
    let times = |most: f64| s.require("times")?.number(1.0..=most);
    let part = |name: &str, most: f64| s.require(name)?.number(ABOVE..=most);
    let span = |name: &str| s.require(name)?.time(1_000..=length);
    let zone = |v: &Value<'_>| {
        let names = plan.zones.clone();
        let text = v.text()?;
        let known = names.iter().map(|n| format!("\"{n}\"")).collect::<Vec<_>>().join(", ");
        names.iter().position(|n| n == text).ok_or_else(|| v.wrong(format!("one of {known}")))
    };
    let mut on = On::Members(Vec::new());
    let kind = match kind.as_str() {
        "crash" => Kind::Crash { listed: listed(true)? },
        "hang" => Kind::Hang,
        "pauses" => {
            let every = span("every")?;
            Kind::Pauses { length: s.require("length")?.time(1_000..=every - 1)?, every }
        }
        "slow" => Kind::Slow { times: times(1e4)? },
        "slow_apply" => Kind::SlowApply { times: times(1e4)? },
        "flapping" => Kind::Flapping { down: span("down")?, up: span("up")?, listed: listed(false)? },
        "drain" => Kind::Drain,
        "replace" => Kind::Replace,
        "lost_answers" => Kind::LostAnswers { part: part("share", 1.0)? },
        "resets" => Kind::Resets { part: part("share", 1.0)? },
        "squeeze" => Kind::Squeeze { part: part("share", 1.0)? },
        "zone_cut" => Kind::ZoneCut {
            zone: zone(&s.require("zone")?)?,
            to: s.value("to").map(|v| zone(&v)).transpose()?,
            one_way: s.flag("one_way", false)?,
        },
        "list_down" => Kind::ListDown,
        "list_stale" => Kind::ListStale,
        "routers" => {
            let most = plan.routers.len() as u64 - 1;
            let list = s.require("which")?.list()?;
            let which =
                list.iter().map(|r| r.whole(0..=most).map(|r| r as usize)).collect::<Result<_, _>>()?;
            Kind::Routers { which, old_list: s.flag("old_list", true)? }
        }
        "burst" => Kind::Burst { times: times(1e3)? },
        "hot_set" => {
            let set = s.require("set")?.whole(0..=plan.sets.len() as u64 - 1)? as usize;
            Kind::HotSet { set, part: part("share", 1.0)? }
        }
        "noisy" => {
            let names = customers.iter().map(|c| &c.0);
            let customer = s.require("customer")?;
            let names: Vec<String> = names.cloned().collect();
            let found = names.iter().position(|n| customer.text().is_ok_and(|t| t == n));
            let customer = found.ok_or_else(|| customer.wrong(format!("one of {}", names.join(", "))))?;
            Kind::Noisy { customer, times: times(1e4)? }
        }
        "surge" => {
            let group = s.require("command_group")?;
            let group = place(&group, plan.groups.iter().map(|g| &g.name))?;
            Kind::Surge { group, part: part("share", 0.99)? }
        }
        other => {
            let known = "crash, hang, pauses, slow, slow_apply, flapping, drain, replace, lost_answers, resets, squeeze, \
                         zone_cut, list_down, list_stale, routers, burst, hot_set, noisy, surge";
            return Err(s.wrong(format!("one of {known} behind trouble"), format!("\"{other}\"")));
        }
    };
    let of_members = !kind.of_traffic()
        && !matches!(kind, Kind::ZoneCut { .. } | Kind::ListDown | Kind::ListStale | Kind::Routers { .. });
    if of_members {
        on = members_on(s, plan)?;
    }
    s.done()?;
    Ok(Trouble { kind, on, from, until })
}
