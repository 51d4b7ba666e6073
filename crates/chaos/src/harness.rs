//! The thread that holds relays and processes, and does to them what the course says.

use crate::children::{Life, Process, Program};
use crate::course::{Course, Decision};
use crate::fleet::State;
use crate::relays::Relays;
use crate::schedule::Act;
use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::{Receiver, SyncSender};
use std::time::{Duration, Instant};
use vetchkeel_link::fault::Fault;
use vetchkeel_link::{Name, Tenths};

/// Nothing to do: how long the thread waits at most.
const LONGEST: Duration = Duration::from_millis(200);
/// Deeds remembered; the first ones go.
const HISTORY: usize = 10_000;

/// What the handle asks of the thread.
pub(crate) enum Order {
    Link { from: Name, to: Name, fault: Fault, done: SyncSender<()> },
    Act { name: Name, act: Act, done: SyncSender<io::Result<()>> },
    State { name: Name, told: SyncSender<State> },
    History { told: SyncSender<Vec<(Tenths, Decision)>> },
    Counts { told: SyncSender<(u64, u64)> },
    End,
}

/// A start of a program: what is started at which incarnation.
pub(crate) type Programs = Box<dyn Fn(&Name, u64) -> Program + Send>;

pub(crate) struct Harness {
    pub(crate) course: Course,
    pub(crate) relays: Relays,
    /// The relay of each directed link.
    pub(crate) links: BTreeMap<(Name, Name), usize>,
    pub(crate) processes: BTreeMap<Name, (Process, u64)>,
    pub(crate) programs: Option<Programs>,
    pub(crate) orders: Receiver<Order>,
    pub(crate) began: Instant,
    pub(crate) history: Vec<(Tenths, Decision)>,
}

impl Harness {
    /// Until it is told to end. Every process is ended before it returns.
    pub(crate) fn run(mut self) {
        loop {
            let now = tenths(self.began);
            while let Ok(order) = self.orders.try_recv() {
                if let Order::End = order {
                    return;
                }
                self.order(now, order);
            }
            self.play(now);
            self.relays.carry_on(tenths(self.began));
            let wakes = [self.course.wake_at(), self.relays.wake_at()];
            let wait = wakes.into_iter().flatten().min().map_or(LONGEST, |at| {
                let left = at.saturating_sub(tenths(self.began)).clamp(0, 10_000) as u64;
                Duration::from_micros(left * 100).min(LONGEST)
            });
            let began = self.began;
            if self.relays.wait(wait, || tenths(began)).is_err() {
                return;
            }
        }
    }

    fn play(&mut self, now: Tenths) {
        while let Some(decision) = self.course.next_decision(now) {
            // A process that can't be acted on shows in its state; the course goes on.
            let _ = self.carry_out(now, decision);
        }
    }

    fn order(&mut self, now: Tenths, order: Order) {
        match order {
            Order::Link { from, to, fault, done } => {
                self.course.set(&from, &to, fault);
                self.play(now);
                let _ = done.try_send(());
            }
            Order::Act { name, act, done } => {
                let _ = done.try_send(self.carry_out(now, Decision::Process { name, act }));
            }
            Order::State { name, told } => {
                let state = self.processes.get_mut(&name).map_or(State::Never, |(process, _)| state(process));
                let _ = told.try_send(state);
            }
            Order::History { told } => {
                let _ = told.try_send(self.history.clone());
            }
            Order::Counts { told } => {
                let _ = told.try_send(self.relays.counts());
            }
            Order::End => {}
        }
    }

    pub(crate) fn carry_out(&mut self, now: Tenths, decision: Decision) -> io::Result<()> {
        if self.history.len() >= HISTORY {
            self.history.remove(0);
        }
        self.history.push((now, decision.clone()));
        match decision {
            Decision::Link { from, to, fault } => {
                if let Some(relay) = self.links.get(&(from, to)) {
                    self.relays.set(now, *relay, fault);
                }
                Ok(())
            }
            Decision::Process { name, act } => {
                let (Some(programs), Some((process, starts))) =
                    (&self.programs, self.processes.get_mut(&name))
                else {
                    return Err(io::Error::new(
                        io::ErrorKind::NotFound,
                        format!("no process of the name {name}"),
                    ));
                };
                let again = act == Act::Restart || !matches!(process.life(), Life::Runs { .. });
                if again && matches!(act, Act::Start | Act::Restart) {
                    *starts += 1;
                }
                process.act(act, &programs(&name, *starts))
            }
        }
    }
}

fn state(process: &mut Process) -> State {
    match process.life() {
        Life::Never => State::Never,
        Life::Runs { child, stopped } => State::Runs { pid: child.id(), stopped: *stopped },
        Life::Over(status) => State::Over { code: status.code() },
    }
}

pub(crate) fn tenths(began: Instant) -> Tenths {
    (began.elapsed().as_micros() / 100) as Tenths
}
