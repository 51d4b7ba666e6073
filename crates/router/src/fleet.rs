//! The fleet: which other routers are there, and the configuration that control machines hold for all of them. Built in
//! only with the feature `fleet`, and then each on only where an operator file asks for it. No decision about commands
//! depends on the other routers yet: what changes is counted and told in the log.

#[cfg(feature = "fleet")]
mod configuration;
#[cfg(feature = "fleet")]
mod duty;
#[cfg(feature = "fleet")]
mod file;
#[cfg(feature = "fleet")]
mod host;
#[cfg(feature = "fleet")]
mod view;

#[cfg(feature = "fleet")]
pub use configuration::Configuration;
#[cfg(feature = "fleet")]
pub use on::Fleet;

#[cfg(not(feature = "fleet"))]
pub use off::{Configuration, Fleet};

/// A name that both the membership and the link take.
#[cfg(feature = "fleet")]
fn name_of(text: &str) -> Option<vetchkeel_membership::Name> {
    vetchkeel_link::Name::new(text)?;
    vetchkeel_membership::Name::new(text).ok()
}

#[cfg(not(feature = "fleet"))]
mod off {
    use crate::Program;
    use calloop::LoopHandle;

    /// The file's settings alone.
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

        pub fn is_held_elsewhere(&self) -> bool {
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
    use super::duty::{Ended, Outside, Pulse, Watch};
    use super::host::{Host, Order};
    use super::view::{Told, View, Word};
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

    /// Changes that wait for the loop; at the bound the view is told whole as soon as there is room.
    const TOLD: usize = 256;
    /// Orders that wait for the thread.
    const ORDERS: usize = 8;
    /// How often the loop looks whether the thread is at work.
    const LOOK: Duration = Duration::from_secs(1);

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
        wholes: u64,
        hung: u64,
        stopped: u64,
    }

    struct Joined {
        outside: Outside<Told, Order>,
        waker: Waker,
        leaving: bool,
        watch: Watch,
        over: bool,
    }

    /// This router's part in its fleet; alone where it has none.
    #[derive(Default)]
    pub struct Fleet {
        asked: bool,
        joined: Option<Joined>,
        view: View,
        counters: Counters,
    }

    impl Fleet {
        /// On where VETCHKEEL_FLEET names an operator file. A wrong file is an error; an address that can't be had is
        /// not: the router serves alone, and says so.
        pub fn open(name: &str, seed: u64, handle: &LoopHandle<'static, Program>) -> Result<Fleet, String> {
            let Some(path) = std::env::var_os("VETCHKEEL_FLEET") else { return Ok(Fleet::default()) };
            let place = file::read(Path::new(&path))?;
            let expected = "expected a router name of 1 to 32 letters, digits, '-', '_' or '.' for its fleet";
            let name = name_of(name).ok_or_else(|| format!("{expected}, found '{name}'"))?;
            let mut fleet = Fleet { asked: true, ..Fleet::default() };
            let address = place.address;
            match Host::bind(name, place, seed) {
                Err(why) => fleet.alone(&why),
                Ok(host) => match Joined::start(host, handle) {
                    Err(why) => fleet.alone(&why),
                    Ok(joined) => {
                        log!("fleet: this router is reached on {address}");
                        fleet.joined = Some(joined);
                    }
                },
            }
            Ok(fleet)
        }

        fn alone(&mut self, why: &str) {
            self.counters.stopped += 1;
            self.view = View::default();
            log!("fleet: the thread has ended: {why}; this router goes on alone until its next start");
        }

        /// Takes in what the thread told, and whether it still works. Never waits.
        fn look(&mut self) {
            let Some(mut joined) = self.joined.take() else { return };
            // Danger: asked first. A thread that ends after its ring was read would be taken for one with nothing to say.
            let ended = joined.outside.ended().cloned();
            // As many as there may be at once: the loop has other work.
            for _ in 0..TOLD {
                match joined.outside.next() {
                    None => break,
                    Some(Told::Change(change)) => {
                        self.view.apply(&change);
                        self.note(&change);
                    }
                    Some(Told::Whole(view)) => {
                        self.counters.wholes += 1;
                        self.view = *view;
                    }
                }
            }
            match ended {
                None => joined.look(&mut self.counters.hung),
                Some(_) if joined.over => {}
                Some(ended) => {
                    joined.over = true;
                    match ended {
                        Ended::Done if joined.leaving => log!("fleet: left"),
                        Ended::Done => self.alone("it had nothing more to do"),
                        Ended::Failed(why) => self.alone(&why),
                        Ended::Panicked => self.alone("it panicked"),
                    }
                }
            }
            self.joined = Some(joined);
        }

        fn note(&mut self, change: &Change) {
            let c = &mut self.counters;
            match change {
                Change::Joined(i) => {
                    c.joined += 1;
                    log!("fleet: {} is there, at {}, start {}", i.name, i.address, i.start);
                }
                Change::Restarted(i) => {
                    c.restarted += 1;
                    log!("fleet: {} has started again, at {}, start {}", i.name, i.address, i.start);
                }
                Change::Suspected(name) => {
                    c.suspected += 1;
                    log!("fleet: {name} is suspected");
                }
                Change::Returned(name) => {
                    c.returned += 1;
                    log!("fleet: {name} is back");
                }
                Change::Died(name) => {
                    c.died += 1;
                    log!("fleet: {name} is held dead");
                }
                Change::Left(name) => {
                    c.left += 1;
                    log!("fleet: {name} has left");
                }
                Change::Doubting(level) => {
                    c.doubted += 1;
                    log!("fleet: this router doubts itself: {level} of 8");
                }
                Change::Raised(start) => {
                    c.raised += 1;
                    log!("fleet: an earlier life of this router had a later clock; counted as start {start}");
                }
                Change::Superseded(i) => {
                    c.superseded += 1;
                    log!(
                        "fleet: another router has this name, at {}, start {}: silent from now on",
                        i.address,
                        i.start
                    );
                }
                Change::Crowded(name) => {
                    c.crowded += 1;
                    log!("fleet: {name} was not taken in: the fleet is full");
                }
                Change::Missed(_) => {}
            }
        }

        /// Says good-bye. The thread ends by it; the router goes on with its clients.
        pub fn leave(&mut self) {
            if let Some(joined) = &mut self.joined {
                joined.leaving = true;
                if !joined.outside.order(Order::Leave) {
                    log!("fleet: the thread takes no orders: the others will hold this router dead");
                }
                let _ = joined.waker.wake();
            }
        }

        pub fn print(&self) {
            if !self.asked {
                return;
            }
            let (v, c) = (&self.view, &self.counters);
            let works = self.joined.as_ref().is_some_and(|j| !j.over && !j.watch.is_hung());
            vetchkeel_log::log_always!(
                "counters fleet: works={} alive={} suspect={} dead={} gone={} doubt={} joined={} restarted={} \
                 suspected={} returned={} died={} left={} doubted={} raised={} superseded={} crowded={} wholes={} \
                 hung={} stopped={}",
                u8::from(works),
                v.count(Word::Alive),
                v.count(Word::Suspect),
                v.count(Word::Dead),
                v.count(Word::Left),
                v.doubt,
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
                c.wholes,
                c.hung,
                c.stopped
            );
            vetchkeel_log::log_always!("fleet view:{v}");
        }
    }

    impl Joined {
        fn start(host: Host, handle: &LoopHandle<'static, Program>) -> Result<Joined, String> {
            let (ping, pinged) = make_ping().map_err(|e| format!("no way to wake the loop: {e}"))?;
            let hear = |program: &mut Program| program.guarded("the fleet", |p| p.fleet.look(), |_| {});
            let source = handle.insert_source(pinged, move |(), (), program| hear(program));
            source.map_err(|e| e.to_string())?;
            let timer = handle.insert_source(Timer::from_duration(LOOK), move |_, _, program| {
                hear(program);
                TimeoutAction::ToDuration(LOOK)
            });
            timer.map_err(|e| e.to_string())?;
            let waker = host.waker();
            let outside = Outside::start(
                "fleet",
                (TOLD, ORDERS),
                move || ping.ping(),
                move |i, wake| host.run(i, wake),
            );
            let outside = outside.map_err(|e| format!("no thread: {e}"))?;
            Ok(Joined { outside, waker, leaving: false, watch: Watch::default(), over: false })
        }

        /// Whether the thread is at work.
        fn look(&mut self, count: &mut u64) {
            let (now, age) = self.outside.beat.ages();
            match self.watch.look(now, age) {
                None => {}
                Some(Pulse::Back) => log!("fleet: the thread works again"),
                Some(Pulse::Hung(age)) => {
                    *count += 1;
                    log!("fleet: the thread has not worked for {age} ms; this router goes on without it");
                }
            }
        }
    }
}
