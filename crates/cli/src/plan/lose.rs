//! What a lost zone or primary does, and the order in which members are started again. Elections feed back on the load,
//! so all of it is played.

use super::Question;
use super::played::play;
use crate::{Failed, say};
use vetchkeel_emulated::{Kind, Micros, On, SECOND, Trouble};
use vetchkeel_lab::result::RunResult;
use vetchkeel_lab::setup::Setup;
use vetchkeel_planner::restart_order;

const BEFORE: Micros = 8 * SECOND;
const SEEDS: [u64; 4] = [21, 22, 23, 24];

struct Loss {
    what: String,
    members: Vec<usize>,
}

fn losses(setup: &Setup) -> Vec<Loss> {
    let mut number = 0..;
    let members: Vec<(usize, usize, usize)> = setup
        .plan
        .sets
        .iter()
        .enumerate()
        .flat_map(|(set, of)| of.iter().enumerate().map(move |(i, m)| (set, i, m.zone)))
        .collect();
    let numbered: Vec<(usize, (usize, usize, usize))> =
        members.into_iter().map(|m| (number.next().unwrap_or(0), m)).collect();
    let zone = |z: usize| numbered.iter().filter(|(_, m)| m.2 == z).map(|(n, _)| *n).collect();
    let mut losses: Vec<Loss> = Vec::new();
    if setup.plan.zones.len() > 1 {
        let of = |(z, name): (usize, &String)| Loss { what: format!("zone {name}"), members: zone(z) };
        losses.extend(setup.plan.zones.iter().enumerate().map(of));
    }
    let busiest = (0..setup.traffic.sets.len())
        .max_by(|a, b| setup.traffic.sets[*a].total_cmp(&setup.traffic.sets[*b]));
    let primary = numbered.iter().find(|(_, m)| Some(m.0) == busiest && m.1 == 0).map(|(n, _)| *n);
    losses.extend(primary.map(|n| Loss { what: "the primary of the busiest set".into(), members: vec![n] }));
    losses
}

/// Part in target of what was asked in these seconds, and the interval over the runs.
pub(super) fn share(runs: &[RunResult], from: usize, until: usize) -> (f64, f64) {
    let of = |r: &RunResult| {
        let seconds = &r.every_second[from.min(r.every_second.len())..until.min(r.every_second.len())];
        let asked: u64 = seconds.iter().map(|s| s.asked).sum();
        let in_target: u64 = seconds.iter().map(|s| s.in_target).sum();
        if asked == 0 { 1.0 } else { in_target as f64 / asked as f64 }
    };
    let spread = vetchkeel_records::spread(&runs.iter().map(of).collect::<Vec<f64>>());
    (spread.mean, spread.half.unwrap_or(0.0))
}

/// A phase of a loss: its name, and its first second and the one behind its last.
pub(super) type Phase = (&'static str, usize, usize);

/// The setup in which these members vanish, and are replaced so much later; and its phases.
fn lost(setup: &Setup, members: &[usize], replaced_after: Micros) -> (Setup, [Phase; 5]) {
    let plan = &setup.plan;
    let over = |draw: &vetchkeel_emulated::Draw| match *draw {
        vetchkeel_emulated::Draw::Between(_, high) => high,
        ref other => 2.0 * other.mean(),
    };
    let election = ((over(&plan.copying.detect) + over(&plan.copying.elect)) as Micros).max(SECOND);
    let back = BEFORE + replaced_after.max(election);
    let length = back + plan.warming.over + 4 * SECOND;
    let at = |time: Micros| (time / SECOND) as usize;
    let phases = [
        ("before", 2, at(BEFORE)),
        ("until the election", at(BEFORE), at(BEFORE + election)),
        ("without them", at(BEFORE + election), at(back)),
        ("replacements get warm", at(back), at(back + plan.warming.over)),
        ("after", at(back + plan.warming.over), at(length)),
    ];
    let mut lost = setup.clone();
    (lost.length, lost.traffic.until) = (length, length);
    lost.troubles.push(Trouble {
        kind: Kind::Replace,
        on: On::Members(members.to_vec()),
        from: BEFORE,
        until: back,
    });
    (lost, phases)
}

/// The setup in which a zone is lost.
pub(super) fn zone_lost(setup: &Setup, zone: usize, replaced_after: Micros) -> (Setup, [Phase; 5]) {
    let all = setup.plan.sets.iter().flatten().enumerate();
    let members: Vec<usize> = all.filter(|(_, m)| m.zone == zone).map(|(n, _)| n).collect();
    lost(setup, &members, replaced_after)
}

pub(super) fn run(q: &Question, replaced_after: u64, json: bool) -> Result<(), Failed> {
    let plan = &q.setup.plan;
    let replaced_after = replaced_after.clamp(1, 600) as Micros * SECOND;
    let mut documents = Vec::new();
    let mut broken = 0;
    for loss in losses(&q.setup) {
        let (setup, phases) = lost(&q.setup, &loss.members, replaced_after);
        let runs = play(&SEEDS.map(|seed| (setup.clone(), seed)))?;
        broken += runs.iter().map(RunResult::broken).sum::<u64>();
        let figures: Vec<(&str, (f64, f64))> =
            phases.iter().map(|(n, a, b)| (*n, share(&runs, *a, *b))).collect();
        if json {
            let phases: Vec<_> = figures
                .iter()
                .map(|(name, (mean, half))| serde_json::json!({ "phase": name, "in_target": mean, "half": half }))
                .collect();
            let fell: u64 = runs.iter().map(|r| r.happened.fell).sum();
            documents.push(serde_json::json!({ "lost": loss.what, "members": loss.members, "phases": phases, "fell": fell }));
            continue;
        }
        say(&format!(
            "Losing {} ({} of {} members), played at {:.0} commands a second:\n",
            loss.what,
            loss.members.len(),
            plan.members(),
            q.rate
        ));
        for (name, (mean, half)) in figures {
            say(&format!("  {name:<24} {mean:.4} +- {half:.4} in target\n"));
        }
        let fell: u64 = runs.iter().map(|r| r.happened.fell).sum();
        if fell > 0 {
            say(&format!(
                "  {fell} replacements in {} runs were pushed over while they were cold and stay down.\n",
                runs.len()
            ));
        }
    }
    if json {
        say(&format!("{:#}\n", serde_json::Value::from(documents)));
    }
    if broken > 0 { Err(Failed::Found(format!("rules were broken {broken} times"))) } else { Ok(()) }
}

/// The order of a restart, and what the lab shows of it.
pub(super) fn restart(q: &Question, json: bool) -> Result<(), Failed> {
    let plan = &q.setup.plan;
    let work: f64 = plan.groups.iter().map(|g| g.share * g.work.mean()).sum::<f64>()
        / plan.groups.iter().map(|g| g.share).sum::<f64>();
    let busy = (q.rate * work / plan.capacity()).min(1.0);
    let steps = restart_order(plan, &q.setup.traffic, busy);
    let mut setup = q.setup.clone();
    let mut at = 4 * SECOND;
    for step in &steps {
        // Drained first, so that a primary hands over and nothing is cut; then gone for a second.
        let (drained, down) = (at + 3 * SECOND, at + 4 * SECOND);
        let on = || On::Members(step.members.clone());
        setup.troubles.push(Trouble { kind: Kind::Drain, on: on(), from: at, until: down });
        setup.troubles.push(Trouble {
            kind: Kind::Crash { listed: true },
            on: on(),
            from: drained,
            until: down,
        });
        at = down + step.pause.max(SECOND);
    }
    setup.length = at + 4 * SECOND;
    setup.traffic.until = setup.length;
    let runs = play(&[(setup.clone(), 31), (setup, 32)])?;
    let (mean, half) = share(&runs, 2, usize::MAX);
    let (broken, fell) =
        (runs.iter().map(RunResult::broken).sum::<u64>(), runs.iter().map(|r| r.happened.fell).sum::<u64>());
    if json {
        let listed: Vec<_> = steps
            .iter()
            .map(|s| serde_json::json!({ "members": s.members, "pause_ms": s.pause / 1_000 }))
            .collect();
        let document = serde_json::json!({ "steps": listed, "in_target": mean, "half": half, "broken": broken, "fell": fell });
        say(&format!("{document:#}\n"));
    } else {
        for (i, step) in steps.iter().enumerate() {
            let members: Vec<String> = step.members.iter().map(usize::to_string).collect();
            let pause = step.pause as f64 / SECOND as f64;
            say(&format!("{:>3}. members {}; then wait {pause:.1} s\n", i + 1, members.join(", ")));
        }
        say(&format!(
            "Played twice: {mean:.4} in target, rules broken {broken} times, {fell} members pushed over.\n"
        ));
    }
    if broken + fell > 0 { Err(Failed::Found("the lab does not bear this order out".into())) } else { Ok(()) }
}
