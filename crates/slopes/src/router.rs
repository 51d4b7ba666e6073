//! What real `vetchkeel-router` processes cost beside stand-ins on loopback.

mod process;
mod stage;

use crate::catalogue::{Means, Play, measured};
use crate::module::MEMBERS;
use crate::processor;
use process::Process;
use stage::{Load, Stage, Tally};
use std::time::Duration;

/// Statements a second of one router at the size that decides the design, and of the first look.
const DESIGN: f64 = 3_571.0;
const LEAD: f64 = 390.0;
/// Members where the size is something else. With fewer, the highest rate would wait for turns at them.
const FEW: usize = 200;
/// From the first statement to the window: as long as an unused connection is kept, and a third more.
const WARM: Duration = Duration::from_secs(20);
const WINDOW: Duration = Duration::from_secs(12);
/// A play in which more than this part of the statements in the window got no row is void.
const UNANSWERED_MOST: f64 = 0.01;

pub static MEMORY_OF_MEMBERS: Play = Play {
    measures: &[
        measured("router.memory.member", "bytes", "member"),
        measured("router.cpu.idle.member", "seconds", "member"),
        measured("router.list.silent", "bytes a second", "member"),
    ],
    sizes: &MEMBERS,
    run: quiet,
    processes: true,
};

pub static MEMORY_OF_CLIENTS: Play = Play {
    measures: &[measured("router.memory.client", "bytes", "client")],
    sizes: &[250, 500, 1_000, 2_000, 4_000],
    run: clients,
    processes: true,
};

pub static STATEMENTS: Play = Play {
    measures: &[measured("router.cpu.statement", "seconds", "statement a second")],
    sizes: &[250, 500, 1_000, 2_000, 3_571],
    run: statements,
    processes: true,
};

pub static MEMBERS_AT_DESIGN: Play = Play {
    measures: &[
        measured("router.cpu.statement.member", "seconds", "member"),
        measured("router.connections.member", "connections", "member"),
        measured("router.dials.member", "connections a second", "member"),
        measured("router.probes.member", "probes a second", "member"),
    ],
    // With fewer members the rate would wait for turns at them.
    sizes: &[500, 1_225, 2_450, 3_675, 4_900],
    run: |means, members, run| loaded(means, members, run, DESIGN),
    processes: true,
};

pub static MEMBERS_AT_LEAD: Play = Play {
    measures: &[
        measured("router.cpu.statement.member.390", "seconds", "member"),
        measured("router.connections.member.390", "connections", "member"),
        measured("router.dials.member.390", "connections a second", "member"),
        measured("router.probes.member.390", "probes a second", "member"),
    ],
    sizes: &MEMBERS,
    run: |means, members, run| loaded(means, members, run, LEAD),
    processes: true,
};

pub static LIST_CHANGES: Play = Play {
    measures: &[measured("router.list.change", "seconds", "member")],
    sizes: &MEMBERS,
    run: list_changes,
    processes: true,
};

/// A router that has its list and hears clients, with the stage around it.
fn begun(means: &Means, members: usize, run: u32, sockets: u64) -> Result<(Stage, Process), String> {
    let mut stage = Stage::new(members, u64::from(run) + 1)?;
    let mut process = Process::start(&means.router, &stage, u64::from(run) + 1, sockets)?;
    let limit = Duration::from_secs(30);
    let heard = stage.run_until(limit, |_| process.heard_clients())?;
    process.alive()?;
    let address = process.address().filter(|_| heard).ok_or("the router did not start in 30 s")?;
    stage.router = Some(address);
    // What the start left is cleared away.
    stage.run_for(Duration::from_secs(1))?;
    Ok((stage, process))
}

/// Nothing asked: memory; then the agent falls silent, and what is asked again is counted over three rounds.
fn quiet(means: &Means, members: usize, run: u32) -> Result<Vec<f64>, String> {
    const ROUNDS: usize = 3;
    let (mut stage, mut process) = begun(means, members, run, 1_024)?;
    let (began, from) = (std::time::Instant::now(), processor::of_process(process.id())?);
    stage.run_for(Duration::from_secs(8))?;
    let idle = (processor::of_process(process.id())? - from).as_secs_f64() / began.elapsed().as_secs_f64();
    let memory = processor::resident(process.id())?;
    stage.agent_silent = true;
    let enough = stage.tally.lists.len() + 1 + ROUNDS;
    stage.run_until(Duration::from_secs(60), |stage| stage.tally.lists.len() >= enough)?;
    process.alive()?;
    // The first round after the silence begins anywhere in a beat, and is left out.
    let lists = &stage.tally.lists;
    let asked = lists.get(enough - 1 - ROUNDS..).unwrap_or_default();
    let [first, rest @ .., last] = asked else {
        return Err(format!("expected {enough} lists asked for, found {}", lists.len()));
    };
    let bytes = rest.iter().map(|l| l.bytes).sum::<usize>() + last.bytes;
    Ok(vec![memory, idle, bytes as f64 / (last.at - first.at).as_secs_f64()])
}

/// Resident memory with so many clients, each of which has asked once.
fn clients(means: &Means, clients: usize, run: u32) -> Result<Vec<f64>, String> {
    let (mut stage, mut process) = begun(means, FEW, run, 18_000)?;
    // Danger: the router ends a client that asks nothing for long. Each asks soon after it has come.
    const AT_ONCE: usize = 50;
    let mut all = true;
    for _ in 0..clients / AT_ONCE {
        stage.clients(AT_ONCE)?;
        all &= stage.ask_each()?;
    }
    process.alive()?;
    let Tally { answered, failed, .. } = stage.tally;
    if !all {
        return Err(format!("of {clients} clients {answered} were answered, {failed} refused"));
    }
    stage.run_for(Duration::from_secs(1))?;
    if stage.client_count() < clients {
        return Err(format!("{} of {clients} clients are left", stage.client_count()));
    }
    Ok(vec![processor::resident(process.id())?])
}

/// What passed in the window, and the processor time of it.
struct Window {
    before: Tally,
    after: Tally,
    processor: f64,
    seconds: f64,
    open: f64,
}

impl Window {
    fn a_second(&self, count: impl Fn(&Tally) -> u64) -> f64 {
        (count(&self.after) - count(&self.before)) as f64 / self.seconds
    }
}

fn window(
    stage: &mut Stage,
    process: &mut Process,
    load: Load,
    warm: Duration,
    length: Duration,
) -> Result<Window, String> {
    const LOOKS: u32 = 12;
    // So many that one is free, also while answers take half a second.
    stage.clients((load.rate / 2.0).ceil().max(32.0) as usize)?;
    stage.begin(load);
    stage.run_for(warm)?;
    let (before, from) = (stage.tally.clone(), processor::of_process(process.id())?);
    let began = std::time::Instant::now();
    let mut open = 0.0;
    for _ in 0..LOOKS {
        stage.run_for(length / LOOKS)?;
        open += stage.member_connections() as f64 / f64::from(LOOKS);
    }
    let processor = (processor::of_process(process.id())? - from).as_secs_f64();
    let window = Window {
        before,
        after: stage.tally.clone(),
        processor,
        seconds: began.elapsed().as_secs_f64(),
        open,
    };
    process.alive()?;
    let (asked, answered) = (window.a_second(|t| t.asked), window.a_second(|t| t.answered));
    let (refused, missed) = (window.a_second(|t| t.failed), window.a_second(|t| t.missed));
    if answered < asked * (1.0 - UNANSWERED_MOST) || asked < load.rate * 0.95 {
        let rate = load.rate;
        return Err(format!(
            "of {rate} a second {asked:.0} were asked, {answered:.0} answered, {refused:.0} refused, {missed:.0} \
             had no client"
        ));
    }
    Ok(window)
}

fn statements(means: &Means, rate: usize, run: u32) -> Result<Vec<f64>, String> {
    let (mut stage, mut process) = begun(means, FEW, run, 8_192)?;
    let load = Load { rate: rate as f64 };
    let w = window(&mut stage, &mut process, load, Duration::from_secs(8), Duration::from_secs(8))?;
    // At the rate that was meant: what was asked differs by chance.
    Ok(vec![w.processor / w.seconds * rate as f64 / w.a_second(|t| t.asked)])
}

fn loaded(means: &Means, members: usize, run: u32, rate: f64) -> Result<Vec<f64>, String> {
    let (mut stage, mut process) = begun(means, members, run, 18_000)?;
    let w = window(&mut stage, &mut process, Load { rate }, WARM, WINDOW)?;
    let statements = w.a_second(|t| t.asked) * w.seconds;
    Ok(vec![w.processor / statements, w.open, w.a_second(|t| t.dials), w.a_second(|t| t.probes)])
}

/// Processor time of one changed row in the whole process: 50 a second.
fn list_changes(means: &Means, members: usize, run: u32) -> Result<Vec<f64>, String> {
    const EVERY: Duration = Duration::from_millis(20);
    const CHANGES: usize = 300;
    let (mut stage, mut process) = begun(means, members, run, 1_024)?;
    let from = processor::of_process(process.id())?;
    for change in 0..CHANGES {
        stage.change_row(change / 2 * 37 % members, change + 1);
        stage.run_for(EVERY)?;
    }
    let spent = (processor::of_process(process.id())? - from).as_secs_f64();
    process.alive()?;
    Ok(vec![spent / CHANGES as f64])
}
