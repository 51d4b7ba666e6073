//! What a member list costs in the decision module and on its way there. No sockets.

use crate::catalogue::{Means, Measure, Play, measured};
use crate::list::{self, Places};
use crate::{allocated, processor};
use serde_json::Value;
use std::hint::black_box;
use vetchkeel::{MemberEntry, Router, SettingValues, Tenths};

/// Members listed: up to the size that decides the design.
pub const MEMBERS: [usize; 5] = [50, 500, 1_225, 2_450, 4_900];
/// Routers of the fleet, as each is told.
pub const ROUTERS: usize = 2_100;
const CHANGES: usize = 200;
const READS: usize = 10;
const WHOLES: usize = 5;

pub static LIST: Play = Play {
    measures: &[
        measured("list.whole.bytes", "bytes", "member"),
        measured("list.whole.read", "seconds", "member"),
        measured("module.list.memory", "bytes", "member"),
        measured("module.list.change", "seconds", "member"),
        measured("module.list.whole", "seconds", "member"),
        Measure {
            counted: |members| (members * members) as f64,
            ..measured("module.list.whole.pair", "seconds", "pair of members")
        },
    ],
    sizes: &MEMBERS,
    run: list_of,
    processes: false,
};

/// The settings of a router, by flat names. Three command groups: any read, a read with a bound, a write.
pub fn settings() -> Vec<(String, String)> {
    let plain = [
        ("me", "700"),
        ("tick_ms", "1.0"),
        ("membership_mode", "subscribe"),
        ("zone", "zone-03"),
        ("family_info.class_read", "any,bounded,write"),
        ("family_info.lag_allowed_ms", "0,1000,0"),
        ("family_info.server_checks", "wait"),
        ("family_info.wait_ms", "100"),
        ("family_info.token_mode", "remembered"),
        ("report.via", "probe"),
        ("report.fields", "x0,x1"),
        ("permissions.cancel", "true"),
        ("permissions.may_probe", "true"),
        ("permissions.retry_after", "true"),
        ("permissions.max_attempts", "6"),
        ("permissions.conn_idle_ms", "15000"),
        ("permissions.dial_timeout_ms", "1000"),
        ("rules.drain_grace_ms", "500"),
        ("projects.count", "1"),
        ("projects.0.name", "acme"),
        ("projects.0.share", "1"),
        ("request_classes.count", "3"),
    ];
    let owned = |(name, value): (&str, &str)| (name.to_owned(), value.to_owned());
    let mut all: Vec<(String, String)> = plain.into_iter().map(owned).collect();
    all.push(("balancers".into(), ROUTERS.to_string()));
    for (at, (name, effect)) in
        [("look", "pure"), ("near", "pure"), ("order", "side_effect")].iter().enumerate()
    {
        let group = [("name", *name), ("semantics", *effect), ("hard_limit_ms", "2000"), ("aim_ms", "600")];
        all.extend(group.map(|(key, value)| (format!("request_classes.{at}.{key}"), value.to_owned())));
    }
    all
}

fn decide_all(router: &mut Router, now: Tenths) {
    while let Some(decision) = router.next_decision(now) {
        black_box(decision);
    }
}

fn tell(router: &mut Router, now: Tenths, whole: bool, entries: &[MemberEntry]) {
    router.members_changed(now, whole, entries);
    decide_all(router, now);
}

fn one_entry(value: &Value) -> Result<Vec<MemberEntry>, String> {
    Ok(list::entries(vetchkeel_discovery::list_from_json(value)?))
}

fn list_of(_: &Means, members: usize, run: u32) -> Result<Vec<f64>, String> {
    let places = Places::named();
    let told = list::told(members, &places);
    let read =
        processor::spent(|| (0..READS).for_each(|_| drop(black_box(list::read(&told))))) / READS as f64;
    let settings: SettingValues = settings().into_iter().collect();
    let mut router = Router::start(settings, u64::from(run) + 1, 10_000)?;
    decide_all(&mut router, 10_000);
    let before = allocated::held();
    {
        let entries = list::entries(list::read(&told)?);
        tell(&mut router, 10_000, true, &entries);
    }
    let held = (allocated::held() - before) as f64;
    let entries = list::entries(list::read(&told)?);
    let now = |at: usize| 20_000 + 100 * at as Tenths;
    let whole = processor::spent(|| (0..WHOLES).for_each(|at| tell(&mut router, now(at), true, &entries)));
    // Rows far apart, each drained and then up again.
    let row = |at: usize| list::change(at / 2 * 37 % members, at + 1, at as u64 + 2, &places);
    let changes = (0..CHANGES).map(|at| one_entry(&row(at))).collect::<Result<Vec<_>, String>>()?;
    let change = processor::spent(|| {
        changes.iter().enumerate().for_each(|(at, row)| tell(&mut router, now(WHOLES + at), false, row));
    });
    let (whole, change) = (whole / WHOLES as f64, change / CHANGES as f64);
    Ok(vec![told.len() as f64, read, held, change, whole, whole])
}
