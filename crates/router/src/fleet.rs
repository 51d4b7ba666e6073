//! The fleet: the membership of the other routers, and the configuration that control machines hold for all routers. Both
//! are compiled only with the feature `fleet`, and each is enabled only by an operator file. No decision about commands
//! depends on the other routers yet: changes are only counted and logged.

#[cfg(feature = "fleet")]
mod configuration;
#[cfg(feature = "fleet")]
mod file;
#[cfg(feature = "fleet")]
mod host;
#[cfg(feature = "fleet")]
mod view;
#[cfg(feature = "fleet")]
mod worker;

#[cfg(feature = "fleet")]
pub use configuration::Configuration;
#[cfg(feature = "fleet")]
pub use on::Fleet;

#[cfg(not(feature = "fleet"))]
pub use off::{Configuration, Fleet};

/// Parses a name that is valid for both the membership and the link.
#[cfg(feature = "fleet")]
fn name_of(text: &str) -> Option<vetchkeel_membership::Name> {
    vetchkeel_link::Name::new(text)?;
    vetchkeel_membership::Name::new(text).ok()
}

#[cfg(not(feature = "fleet"))]
mod off {
    use crate::Program;
    use calloop::LoopHandle;

    /// Stands in for the control machines' settings: only the file's settings apply.
    pub struct Configuration;

    impl Configuration {
        pub fn open(
            _name: &str,
            _seed: u64,
            _handle: &LoopHandle<'static, Program>,
        ) -> Result<Configuration, String> {
            if std::env::var_os("VETCHKEEL_CONFIGURATION").is_some() {
                return Err(
                    "expected no VETCHKEEL_CONFIGURATION: this program was built without the feature fleet"
                        .into(),
                );
            }
            Ok(Configuration)
        }

        pub fn is_held_by_control_machines(&self) -> bool {
            false
        }

        pub fn may_serve(&self) -> bool {
            true
        }

        pub fn print(&self) {}
    }

    pub struct Fleet;

    impl Fleet {
        pub fn open(
            _name: &str,
            _seed: u64,
            _handle: &LoopHandle<'static, Program>,
        ) -> Result<Fleet, String> {
            if std::env::var_os("VETCHKEEL_FLEET").is_some() {
                return Err(
                    "expected no VETCHKEEL_FLEET: this program was built without the feature fleet".into()
                );
            }
            Ok(Fleet)
        }

        pub fn leave(&mut self) {}

        pub fn print(&self) {}
    }
}

#[cfg(feature = "fleet")]
mod on {
    use super::host::{Host, Request};
    use super::view::{FleetUpdate, RouterState, View};
    use super::worker::{HealthChange, LoopSide, ThreadExit, Watchdog};
    use super::{file, name_of};
    use crate::Program;
    use calloop::LoopHandle;
    use calloop::ping::make_ping;
    use calloop::timer::{TimeoutAction, Timer};
    use std::path::Path;
    use std::time::Duration;
    use vetchkeel_link::Waker;
    use vetchkeel_log::log;
    use vetchkeel_membership::Change;

    /// Maximum changes queued for the loop. When the queue is full, the full view is sent as soon as there is room.
    const MAX_PENDING_UPDATES: usize = 256;
    /// Maximum requests queued for the thread.
    const MAX_REQUESTS: usize = 8;
    /// How often the loop checks the thread's heartbeat.
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);

    #[derive(Default)]
    struct Counters {
        joined: u64,
        restarted: u64,
        suspected: u64,
        returned: u64,
        died: u64,
        left: u64,
        doubted: u64,
        raised: u64,
        superseded: u64,
        crowded: u64,
        full_views: u64,
        hung: u64,
        stopped: u64,
    }

    struct FleetThread {
        loop_side: LoopSide<FleetUpdate, Request>,
        waker: Waker,
        leaving: bool,
        watchdog: Watchdog,
        exited: bool,
    }

    /// This router's participation in its fleet. Without an operator file it takes part in none.
    #[derive(Default)]
    pub struct Fleet {
        enabled: bool,
        thread: Option<FleetThread>,
        view: View,
        counters: Counters,
    }

    impl Fleet {
        /// Enables the fleet if VETCHKEEL_FLEET names an operator file. An invalid file is an error. An address that cannot
        /// be bound is not: the router serves without the fleet and logs it.
        pub fn open(name: &str, seed: u64, handle: &LoopHandle<'static, Program>) -> Result<Fleet, String> {
            let Some(path) = std::env::var_os("VETCHKEEL_FLEET") else { return Ok(Fleet::default()) };
            let settings = file::read(Path::new(&path))?;
            let expected = "expected a router name of 1 to 32 letters, digits, '-', '_' or '.' for its fleet";
            let name = name_of(name).ok_or_else(|| format!("{expected}, found '{name}'"))?;
            let mut fleet = Fleet { enabled: true, ..Fleet::default() };
            let address = settings.address;
            match Host::bind(name, settings, seed) {
                Err(why) => fleet.continue_alone(&why),
                Ok(host) => match FleetThread::start(host, handle) {
                    Err(why) => fleet.continue_alone(&why),
                    Ok(thread) => {
                        log!("fleet: this router is reached on {address}");
                        fleet.thread = Some(thread);
                    }
                },
            }
            Ok(fleet)
        }

        fn continue_alone(&mut self, why: &str) {
            self.counters.stopped += 1;
            self.view = View::default();
            log!(
                "fleet: the thread has ended: {why}; this router continues without the fleet until its next start"
            );
        }

        /// Processes the thread's updates and checks whether it still runs. Never blocks.
        fn check(&mut self) {
            let Some(mut thread) = self.thread.take() else { return };
            // Danger: this is checked before the ring is read. Otherwise the last updates of a thread that ends after the
            // ring was read would be lost.
            let ended = thread.loop_side.ended().cloned();
            // At most one full queue per call, because the loop has other work.
            for _ in 0..MAX_PENDING_UPDATES {
                match thread.loop_side.next() {
                    None => break,
                    Some(FleetUpdate::Change(change)) => {
                        self.view.apply(&change);
                        self.count_change(&change);
                    }
                    Some(FleetUpdate::Full(view)) => {
                        self.counters.full_views += 1;
                        self.view = *view;
                    }
                }
            }
            match ended {
                None => thread.check(&mut self.counters.hung),
                Some(_) if thread.exited => {}
                Some(ended) => {
                    thread.exited = true;
                    match ended {
                        ThreadExit::Done if thread.leaving => log!("fleet: left"),
                        ThreadExit::Done => self.continue_alone("it finished without a request to leave"),
                        ThreadExit::Failed(why) => self.continue_alone(&why),
                        ThreadExit::Panicked => self.continue_alone("it panicked"),
                    }
                }
            }
            self.thread = Some(thread);
        }

        fn count_change(&mut self, change: &Change) {
            let c = &mut self.counters;
            match change {
                Change::Joined(i) => {
                    c.joined += 1;
                    log!("fleet: {} has joined, at {}, start {}", i.name, i.address, i.start);
                }
                Change::Restarted(i) => {
                    c.restarted += 1;
                    log!("fleet: {} has restarted, at {}, start {}", i.name, i.address, i.start);
                }
                Change::Suspected(name) => {
                    c.suspected += 1;
                    log!("fleet: {name} is suspected");
                }
                Change::Returned(name) => {
                    c.returned += 1;
                    log!("fleet: {name} is alive again");
                }
                Change::Died(name) => {
                    c.died += 1;
                    log!("fleet: {name} is considered dead");
                }
                Change::Left(name) => {
                    c.left += 1;
                    log!("fleet: {name} has left");
                }
                Change::LocalHealthChanged(level) => {
                    c.doubted += 1;
                    log!("fleet: local health of this router: {level} of 8 (0 is healthy)");
                }
                Change::StartRaised(start) => {
                    c.raised += 1;
                    log!(
                        "fleet: an earlier process of this router had a later clock; this one counts as start {start}"
                    );
                }
                Change::Superseded(i) => {
                    c.superseded += 1;
                    log!(
                        "fleet: another router has this name, at {}, start {}: this router sends nothing from now on",
                        i.address,
                        i.start
                    );
                }
                Change::ViewFull(name) => {
                    c.crowded += 1;
                    log!("fleet: {name} was not added: the fleet is full");
                }
                Change::ChangesDropped(_) => {}
            }
        }

        /// Announces to the fleet that this router leaves. The thread then ends; the router continues to serve its clients.
        pub fn leave(&mut self) {
            if let Some(thread) = &mut self.thread {
                thread.leaving = true;
                if !thread.loop_side.send(Request::Leave) {
                    log!(
                        "fleet: the thread's request queue is full: the other routers will consider this router dead"
                    );
                }
                let _ = thread.waker.wake();
            }
        }

        pub fn print(&self) {
            if !self.enabled {
                return;
            }
            let (v, c) = (&self.view, &self.counters);
            let running = self.thread.as_ref().is_some_and(|j| !j.exited && !j.watchdog.is_hung());
            vetchkeel_log::log_always!(
                "counters fleet: works={} alive={} suspect={} dead={} gone={} doubt={} joined={} restarted={} \
                 suspected={} returned={} died={} left={} doubted={} raised={} superseded={} crowded={} wholes={} \
                 hung={} stopped={}",
                u8::from(running),
                v.count(RouterState::Alive),
                v.count(RouterState::Suspect),
                v.count(RouterState::Dead),
                v.count(RouterState::Left),
                v.local_health,
                c.joined,
                c.restarted,
                c.suspected,
                c.returned,
                c.died,
                c.left,
                c.doubted,
                c.raised,
                c.superseded,
                c.crowded,
                c.full_views,
                c.hung,
                c.stopped
            );
            vetchkeel_log::log_always!("fleet view:{v}");
        }
    }

    impl FleetThread {
        fn start(host: Host, handle: &LoopHandle<'static, Program>) -> Result<FleetThread, String> {
            let (ping, ping_source) =
                make_ping().map_err(|e| format!("cannot create a wake-up for the event loop: {e}"))?;
            let poll = |program: &mut Program| program.guarded("the fleet", |p| p.fleet.check(), |_| {});
            let source = handle.insert_source(ping_source, move |(), (), program| poll(program));
            source.map_err(|e| e.to_string())?;
            let timer = handle.insert_source(Timer::from_duration(CHECK_INTERVAL), move |_, _, program| {
                poll(program);
                TimeoutAction::ToDuration(CHECK_INTERVAL)
            });
            timer.map_err(|e| e.to_string())?;
            let waker = host.waker();
            let loop_side = LoopSide::start(
                "fleet",
                (MAX_PENDING_UPDATES, MAX_REQUESTS),
                move || ping.ping(),
                move |i, wake| host.run(i, wake),
            );
            let loop_side = loop_side.map_err(|e| format!("cannot start a thread: {e}"))?;
            Ok(FleetThread { loop_side, waker, leaving: false, watchdog: Watchdog::default(), exited: false })
        }

        /// Checks the thread's heartbeat and logs a change.
        fn check(&mut self, count: &mut u64) {
            let (now, age) = self.loop_side.heartbeat.ages();
            match self.watchdog.check(now, age) {
                None => {}
                Some(HealthChange::Resumed) => log!("fleet: the thread responds again"),
                Some(HealthChange::Hung(age)) => {
                    *count += 1;
                    log!(
                        "fleet: the thread has not responded for {age} ms; this router continues without it"
                    );
                }
            }
        }
    }
}
