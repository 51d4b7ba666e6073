//! The player on loopback: real router processes, each beside a stand-in of discovery's agent that counts. Times are those
//! of the machine, so figures differ from run to run.

mod agent;
mod processes;
mod ready;

use crate::arrivals::Arrivals;
use crate::list::List;
use crate::memory::resident;
use crate::report::{Arrived, Carried, Report, Served, Spent};
use crate::schedule::{Deed, Schedule, Speech, What};
use crate::tally::{Duty, Tally, Traffic};
use crate::{SECOND, Tenths};
use agent::{Agents, Members};
use processes::{Birth, Folder, Process};
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

const LIST_ALLOWED: Tenths = 6 * SECOND;
const START_ALLOWED: Tenths = 14 * SECOND;
/// How long the end waits for what the routers count.
const COUNTED_MOST: Duration = Duration::from_secs(20);
/// The longest nap between two looks.
const NAP: Duration = Duration::from_millis(10);

/// What threads beside tell the player.
pub(crate) enum News {
    /// The router answers an empty query.
    Ready { router: usize, life: u32, at: Instant },
    /// All bytes up to this version have been taken by the router's machine.
    Delivered { router: usize, version: u64, at: Instant },
}

struct Stage<'a> {
    schedule: &'a Schedule,
    program: &'a Path,
    began: Instant,
    folder: Folder,
    agents: Agents,
    members: Members,
    zones: Vec<String>,
    routers: Vec<Option<Process>>,
    lives: Vec<u32>,
    due: Vec<Tenths>,
    tally: Tally,
    lists: Arrivals,
    starts: Starts,
    news: Receiver<News>,
    tell: Sender<News>,
    /// Processor time of processes that have ended, and the time that all ran.
    spent: Duration,
    ran: Duration,
}

#[derive(Default)]
struct Starts {
    count: usize,
    took: Vec<Tenths>,
    waiting: std::collections::BTreeMap<usize, u32>,
}

/// Plays a schedule with this router program.
///
/// # Errors
/// One line, if a process or socket could not be had.
pub fn play(schedule: &Schedule, program: &Path, progress: &mut dyn FnMut(Tenths)) -> Result<Report, String> {
    if !program.exists() {
        let at = program.display();
        return Err(format!("expected the router program at {at}: `cargo build --release` builds it"));
    }
    let mut stage = Stage::new(schedule, program)?;
    stage.run(progress)?;
    stage.report()
}

impl<'a> Stage<'a> {
    fn new(schedule: &'a Schedule, program: &'a Path) -> Result<Stage<'a>, String> {
        let size = schedule.size;
        let zones: Vec<String> = schedule.zones().map(|(_, zone)| zone.to_owned()).collect();
        let members = Members::open()?;
        let address = members.address();
        let list = List::new(size.members, size.sets, &zones, |_| address);
        let (tell, news) = channel();
        Ok(Stage {
            schedule,
            program,
            began: Instant::now(),
            folder: Folder::new()?,
            agents: Agents::open(size.routers, list, &tell)?,
            members,
            zones,
            routers: (0..size.routers).map(|_| None).collect(),
            lives: vec![0; size.routers],
            due: vec![0; size.routers],
            tally: Tally::new(size.routers),
            lists: Arrivals::new(size.routers, LIST_ALLOWED),
            starts: Starts::default(),
            news,
            tell,
            spent: Duration::ZERO,
            ran: Duration::ZERO,
        })
    }

    fn now(&self) -> Tenths {
        tenths(self.began.elapsed())
    }

    fn run(&mut self, progress: &mut dyn FnMut(Tenths)) -> Result<(), String> {
        let steps = self.schedule.steps();
        let (mut next, mut second) = (0, SECOND);
        loop {
            let now = self.now();
            while let Some(step) = steps.get(next).filter(|step| step.at <= now) {
                self.carry_out(step.at, &step.deed)?;
                next += 1;
            }
            self.hear_news();
            while second <= now.min(self.schedule.length) {
                self.end_second();
                progress(second);
                second += SECOND;
            }
            if now >= self.schedule.length {
                return Ok(());
            }
            std::thread::sleep(NAP);
        }
    }

    fn end_second(&mut self) {
        for (router, bytes) in self.agents.take_sent() {
            self.tally.heard(router, Duty::List, bytes);
        }
        let routers = &self.routers;
        self.tally.end_second(|router| routers[router].is_some());
    }

    fn hear_news(&mut self) {
        while let Ok(news) = self.news.try_recv() {
            match news {
                News::Ready { router, life, at } if self.starts.waiting.get(&router) == Some(&life) => {
                    self.starts.waiting.remove(&router);
                    let at = tenths(at.duration_since(self.began));
                    self.starts.took.push(at - self.due[router]);
                }
                News::Ready { .. } => {}
                News::Delivered { router, version, at } => {
                    let at = tenths(at.duration_since(self.began));
                    if version > self.lists.held(router) {
                        self.lists.holds(at, router, version);
                    }
                }
            }
        }
    }

    /// What is due at `at`: from then on its time counts.
    fn carry_out(&mut self, at: Tenths, deed: &Deed) -> Result<(), String> {
        match *deed {
            Deed::StartRouter(router) => self.start(at, router)?,
            Deed::EndRouter(router) => self.end(router),
            Deed::ZoneLost { event, zone } => self.zone(at, event, zone, false),
            Deed::ZoneBack { event, zone } => self.zone(at, event, zone, true),
            Deed::ChangeList { event, number } => self.change(at, event, number),
            Deed::SilenceBegins(event) => self.silence(event, true),
            Deed::SilenceEnds(event) => self.silence(event, false),
            // The file lets none of these through.
            _ => {}
        }
        Ok(())
    }

    fn start(&mut self, at: Tenths, router: usize) -> Result<(), String> {
        let birth = Birth {
            router,
            routers: self.schedule.size.routers,
            agent: self.agents.address(router),
            seed: self.schedule.seed + router as u64,
        };
        let process = Process::start(self.program, &self.folder, &birth)?;
        self.lives[router] += 1;
        self.due[router] = at;
        self.starts.count += 1;
        self.starts.waiting.insert(router, self.lives[router]);
        self.lists.started(at, router);
        ready::wait(process.listen(), router, self.lives[router], self.tell.clone());
        self.routers[router] = Some(process);
        Ok(())
    }

    fn end(&mut self, router: usize) {
        if let Some(process) = self.routers[router].take() {
            let (spent, ran) = process.spent();
            self.spent += spent;
            self.ran += ran;
        }
    }

    fn change(&mut self, at: Tenths, event: usize, number: usize) {
        let What::ListChanges { rows, count, .. } = self.schedule.events[event].what else { return };
        let sets = self.schedule.size.sets;
        let version = self.agents.change(|list| {
            let mut changed = Vec::new();
            for set in 0..rows.div_ceil(2) {
                changed.extend(list.move_primary((number * rows + set + event * count) % sets));
            }
            list.change(&changed, |_| {})
        });
        self.lists.due(at, version, event);
    }

    fn zone(&mut self, at: Tenths, event: usize, zone: usize, back: bool) {
        let zone = &self.zones[zone];
        let version = self.agents.change(|list| {
            let rows = list.in_zone(zone);
            list.change(&rows, |row| row.listed = back)
        });
        self.lists.due(at, version, event);
    }

    fn silence(&mut self, event: usize, begins: bool) {
        let What::Silent { routers, answers, .. } = self.schedule.events[event].what else { return };
        let speech = match (begins, answers) {
            (false, _) => Speech::Speaks,
            (true, true) => Speech::AnswersOnce,
            (true, false) => Speech::Mute,
        };
        self.agents.speak(0..routers, speech);
    }

    fn report(mut self) -> Result<Report, String> {
        let size = self.schedule.size;
        let memory: Vec<u64> = self
            .routers
            .iter()
            .flatten()
            .filter_map(|process| resident(&process.pid().to_string()))
            .collect();
        let unread = self.count_lists();
        (0..size.routers).for_each(|router| self.end(router));
        let (sent, heard) = self.tally.traffic(Duty::List);
        let rates = self.tally.rates(Some(Duty::List));
        let agents = self.agents.counted();
        let mean = memory.iter().sum::<u64>() / memory.len().max(1) as u64;
        Ok(Report {
            driver: "loopback",
            sizes: vec![("router processes", size.routers), ("members", size.members), ("sets", size.sets)],
            length: self.schedule.length,
            arrived: self.arrived(unread),
            carried: vec![Carried { duty: Duty::List, sent, heard, rates }],
            rates,
            served: vec![
                Served {
                    name: "agents".into(),
                    sent: agents.sent,
                    heard: Traffic { messages: agents.asks_all + agents.asks_since, bytes: agents.heard },
                    opened: agents.opened,
                    most_open: agents.most_open,
                },
                Served {
                    name: "members".into(),
                    sent: Traffic::default(),
                    heard: Traffic::default(),
                    opened: self.members.opened(),
                    most_open: 0,
                },
            ],
            counts: vec![
                ("asks for the whole list", agents.asks_all),
                ("asks for changes", agents.asks_since),
            ],
            breaches: vec![("lists that went back", self.lists.went_back())],
            spent: vec![self.processor()],
            memory: (!memory.is_empty()).then(|| (memory.iter().sum(), mean)),
        })
    }

    fn processor(&self) -> Spent {
        let seconds = self.spent.as_secs_f64();
        Spent {
            role: "router process",
            seconds,
            calls: self.starts.count as u64,
            share: seconds / self.ran.as_secs_f64().max(0.001),
            at: self.schedule.size.routers,
        }
    }

    /// Routers that have read fewer lists than their agent sent them, by their own count.
    fn count_lists(&mut self) -> Vec<String> {
        let until = Instant::now() + COUNTED_MOST;
        let mut behind = Vec::new();
        for (router, process) in self.routers.iter().enumerate() {
            let Some(process) = process else { continue };
            let sent = self.agents.pieces(router);
            let read = process.count_lists(sent, until);
            if read < sent {
                behind.push(format!("router-{router:04} read {read} of {sent}"));
            }
        }
        behind
    }

    fn arrived(&mut self, unread: Vec<String>) -> Vec<Arrived> {
        let end = self.schedule.length;
        let event = |event: usize| self.schedule.events[event].name.clone();
        let mut lines: Vec<Arrived> = vec![self.started(end)];
        for outcome in self.lists.outcomes(end) {
            lines.push(Arrived::of("list", event(outcome.event), LIST_ALLOWED, &outcome));
        }
        let (routers, read) = (self.schedule.size.routers, unread.len());
        lines.push(Arrived {
            what: "lists read",
            event: "by their count".into(),
            due: routers,
            arrived: routers - read,
            p50: None,
            p99: None,
            last: None,
            allowed: tenths(COUNTED_MOST),
            late: 0,
            open: 0,
            never: unread,
        });
        lines
    }

    fn started(&self, end: Tenths) -> Arrived {
        let mut took = self.starts.took.clone();
        took.sort_unstable();
        let is_open = |router: &&usize| self.due[**router] + START_ALLOWED > end;
        let (open, never): (Vec<&usize>, Vec<&usize>) = self.starts.waiting.keys().partition(|r| is_open(r));
        let never = never.into_iter().map(|router| format!("router-{router:04}")).collect();
        Arrived::starts(self.starts.count, &took, START_ALLOWED, open.len(), never)
    }
}

fn tenths(time: Duration) -> Tenths {
    (time.as_micros() / 100) as Tenths
}
