//! The state machine of one instance: probes, suspicions, news, comparisons, and coming back.

mod learn;
mod rounds;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;

use nanorand::{Rng, WyRand};

use crate::claim::{Claim, Instance, Standing};
use crate::doubt::Doubt;
use crate::order::Order;
use crate::peer::Peer;
use crate::plan::{BadPlan, MOST_INSTANCES, Plan};
use crate::probe::{Errand, Probe};
use crate::rumours::Rumours;
use crate::wire::{Body, LONGEST, Message, length};
use crate::{Name, Start, Tenths};

/// Most messages that wait to be pulled; at the bound the oldest goes, as a lost datagram would.
const MOST_WAITING: usize = 4_096;
/// Most changes that wait to be pulled: all may be suspected and dead at once. At the bound the oldest goes, and
/// [`Change::Missed`] says so.
const MOST_CHANGES: usize = 2 * MOST_INSTANCES;
/// Most errands for others at a time; a further one is answered with a regret at once.
const MOST_ERRANDS: usize = 256;
/// Probes whose late answers still tell a round trip.
const MOST_LATE: usize = 8;

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it as one datagram; it may be lost.
    Send {
        /// Where.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// Pass it on to whoever acts on the view.
    Tell(Change),
}

/// Something that changed in the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A name that was not known.
    Joined(Instance),
    /// The same name in a later life.
    Restarted(Instance),
    /// It is suspected.
    Suspected(Name),
    /// It was suspected or gone, and is there.
    Returned(Name),
    /// It is held dead.
    Died(Name),
    /// It said that it goes.
    Left(Name),
    /// This instance doubts itself that much (0 to [`Doubt::MOST`]).
    Doubting(u8),
    /// An earlier life of this instance had a later start: this one is now counted as the given one. Keep its count.
    Raised(Start),
    /// Another process has this name, elsewhere and with a later start: this one says and does nothing any more.
    Superseded(Instance),
    /// The fleet is full: this one was not taken in.
    Crowded(Name),
    /// So many changes were not pulled in time: read the whole view.
    Missed(u64),
}

/// One instance as it is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen<'a> {
    /// Who, in which life, where and in which zone.
    pub instance: &'a Instance,
    /// How.
    pub standing: &'a Standing,
    /// Since when.
    pub since: Tenths,
}

/// The membership as one instance knows it.
pub struct Membership {
    plan: Plan,
    me: Instance,
    incarnation: u32,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<Name, Peer>,
    doubt: Doubt,
    rumours: Rumours,
    order: Order,
    chance: WyRand,
    /// Ends of the running suspicions.
    ends: BTreeSet<(Tenths, Name)>,
    /// Whom to tell what is said against it, so that it can answer.
    slandered: BTreeMap<Name, Claim>,
    probe: Option<Probe>,
    late: VecDeque<(u64, Name, Tenths)>,
    errands: BTreeMap<u64, Errand>,
    waiting: VecDeque<Waiting>,
    changes: VecDeque<Change>,
    missed: u64,
    number: u64,
    at: Tenths,
    /// When the host was told to come back.
    promised: Option<Tenths>,
    next_probe: Tenths,
    next_news: Tenths,
    next_compare: Tenths,
    next_reach: Tenths,
    next_forget: Tenths,
    next_tell: Tenths,
    silent: bool,
}

struct Waiting {
    to: SocketAddr,
    body: Body,
    /// Goes first, whatever else there is room for.
    first: Vec<Claim>,
    /// May news fill the rest?
    news: bool,
}

impl Membership {
    /// An instance that begins its life now. It joins through any of `seeds` that answers; its own address among them is
    /// left out.
    ///
    /// # Errors
    /// [`BadPlan`] names the first value that can't be used.
    pub fn new(
        plan: Plan,
        me: Instance,
        seeds: &[SocketAddr],
        now: Tenths,
        seed: u64,
    ) -> Result<Membership, BadPlan> {
        plan.check()?;
        let mut chance = WyRand::new_seed(seed);
        let number = chance.generate::<u64>() >> 1;
        let mut early = |of: Tenths| now + chance.generate_range(0..of as u64) as Tenths;
        let (next_probe, next_compare) = (early(plan.period), early(plan.compare));
        let seeds = seeds.iter().filter(|seed| **seed != me.address).copied().collect();
        let mut rumours = Rumours::default();
        rumours.spread(Claim { instance: me.clone(), incarnation: 0, standing: Standing::Alive });
        Ok(Membership {
            plan,
            me,
            incarnation: 0,
            seeds,
            peers: BTreeMap::new(),
            doubt: Doubt::default(),
            rumours,
            order: Order::default(),
            chance,
            ends: BTreeSet::new(),
            slandered: BTreeMap::new(),
            probe: None,
            late: VecDeque::new(),
            errands: BTreeMap::new(),
            waiting: VecDeque::new(),
            changes: VecDeque::new(),
            missed: 0,
            number,
            at: now,
            promised: None,
            next_probe,
            next_news: now,
            next_compare,
            next_reach: now,
            next_forget: now + plan.reach,
            next_tell: now,
            silent: false,
        })
    }

    /// This instance, as others are told of it.
    pub fn me(&self) -> &Instance {
        &self.me
    }

    /// How far this instance doubts itself.
    pub fn doubt(&self) -> Doubt {
        self.doubt
    }

    /// All others that are known, also those that are gone and not forgotten, by name.
    pub fn view(&self) -> impl Iterator<Item = Seen<'_>> {
        self.peers.values().map(|peer| Seen {
            instance: &peer.claim.instance,
            standing: &peer.claim.standing,
            since: peer.since,
        })
    }

    /// How one is seen.
    pub fn seen(&self, name: &Name) -> Option<&Standing> {
        self.peers.get(name).map(|peer| &peer.claim.standing)
    }

    /// Says good-bye to a few; the host pulls what there is to send and stops.
    pub fn leave(&mut self) {
        let claim =
            Claim { instance: self.me.clone(), incarnation: self.incarnation, standing: Standing::Left };
        let mut there: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.is_there())
            .map(|peer| peer.claim.instance.address)
            .collect();
        self.chance.shuffle(&mut there);
        for to in there.into_iter().take(8) {
            self.put(to, Body::News, vec![claim.clone()], false);
        }
        self.silent = true;
    }

    /// A message has come.
    pub fn heard(&mut self, now: Tenths, message: &Message) {
        if self.silent || message.fleet != self.plan.fleet {
            return;
        }
        let from = &message.from;
        if from.name == self.me.name && from.start == self.me.start && from.address == self.me.address {
            return;
        }
        let speaks =
            Claim { instance: from.clone(), incarnation: message.incarnation, standing: Standing::Alive };
        self.hear_from(now, speaks);
        let page = matches!(message.body, Body::Page { .. });
        for claim in &message.claims {
            self.learn(now, claim, page);
        }
        match &message.body {
            Body::Ping { number, to } if *to == self.me.name => {
                self.put(from.address, Body::Ack { number: *number }, Vec::new(), true);
            }
            Body::Ping { .. } | Body::News => {}
            Body::Ack { number } => self.answered(now, *number, &from.name),
            Body::Errand { number, to, address } => self.run_errand(now, from.address, *number, to, *address),
            Body::Regret { number } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == *number) {
                    probe.regrets += 1;
                }
            }
            Body::Compare { digest, after } => {
                // Who asks on has none: the sum over all is not worked out for each page.
                if digest.is_none_or(|digest| digest != self.digest()) {
                    self.put_page(from.address, after.as_ref());
                }
            }
            Body::Page { next: Some(next) } => {
                let body = Body::Compare { digest: None, after: Some(next.clone()) };
                self.put(from.address, body, Vec::new(), false);
            }
            Body::Page { next: None } => {}
        }
    }

    /// The next thing to do, until none is left.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        self.wake(now);
        loop {
            if self.missed > 0 {
                return Some(Decision::Tell(Change::Missed(std::mem::take(&mut self.missed))));
            }
            if let Some(change) = self.changes.pop_front() {
                return Some(Decision::Tell(change));
            }
            if let Some(waiting) = self.waiting.pop_front() {
                return Some(self.write(waiting));
            }
            if self.silent || !self.do_next(now) {
                self.promised = self.wake_at();
                return None;
            }
        }
    }

    /// When to come back if nothing is heard before; none once it is silent.
    pub fn wake_at(&self) -> Option<Tenths> {
        if self.silent {
            return None;
        }
        let rounds = [self.next_compare, self.next_reach, self.next_forget];
        let ends = self.ends.first().map(|(at, _)| *at);
        let probe = self.probe.as_ref().map_or(self.next_probe, Probe::due);
        let errands = self.errands.values().map(|errand| errand.regret_at.unwrap_or(errand.ends)).min();
        let news = (!self.rumours.is_empty()).then_some(self.next_news);
        let tell = (!self.slandered.is_empty()).then_some(self.next_tell);
        rounds.into_iter().chain(ends).chain([probe]).chain(errands).chain(news).chain(tell).min()
    }

    /// Danger: a process that was stopped finds every timer run out, and would hold everybody dead. Time that it did not
    /// see does not count against others, and it doubts itself.
    fn wake(&mut self, now: Tenths) {
        let late = self.promised.take().map_or(0, |due| now - due);
        self.at = self.at.max(now);
        if late <= self.plan.period / 5 {
            return;
        }
        self.doubting(1 + late / self.plan.period);
        if let Some(probe) = &mut self.probe {
            probe.put_off(late);
        }
        self.ends.clear();
        for (name, peer) in &mut self.peers {
            if let Some(suspicion) = &mut peer.suspicion {
                suspicion.put_off(late);
                self.ends.insert((suspicion.ends(), name.clone()));
            }
        }
    }

    fn trusting(&mut self) {
        let before = self.doubt;
        self.doubt.ease();
        if before != self.doubt {
            self.change(Change::Doubting(self.doubt.level()));
        }
    }

    fn doubting(&mut self, by: i64) {
        let before = self.doubt;
        self.doubt.raise(by);
        if before != self.doubt {
            self.change(Change::Doubting(self.doubt.level()));
        }
    }

    fn change(&mut self, change: Change) {
        if self.changes.len() == MOST_CHANGES {
            self.changes.pop_front();
            self.missed += 1;
        }
        self.changes.push_back(change);
    }

    fn put(&mut self, to: SocketAddr, body: Body, first: Vec<Claim>, news: bool) {
        if self.waiting.len() == MOST_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Waiting { to, body, first, news });
    }

    fn write(&mut self, waiting: Waiting) -> Decision {
        let Waiting { to, body, first, news } = waiting;
        let mut message = Message {
            fleet: self.plan.fleet,
            from: self.me.clone(),
            incarnation: self.incarnation,
            body,
            claims: first,
        };
        if news && !self.rumours.is_empty() {
            // One byte of version, and up to two for the number of claims.
            let room = (LONGEST - 3).saturating_sub(length(&message));
            message.claims.extend(self.rumours.pick(room, self.tellings()));
        }
        Decision::Send { to, message }
    }

    /// How often news is passed on by each, which is how often each hears it: four times more than the binary logarithm of
    /// the fleet. What it misses by chance a comparison brings.
    fn tellings(&self) -> u32 {
        4 + (self.peers.len() as u32 + 2).ilog2()
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Check sum of who is there, in which life and incarnation, this instance with them.
    fn digest(&self) -> u32 {
        let mut sum = crc32fast::Hasher::new();
        let mut add = |instance: &Instance, incarnation: u32| {
            sum.update(instance.name.as_str().as_bytes());
            sum.update(&instance.start.at.to_le_bytes());
            sum.update(&instance.start.count.to_le_bytes());
            sum.update(&incarnation.to_le_bytes());
        };
        let mut told = false;
        for (name, peer) in self.peers.iter().filter(|(_, peer)| peer.is_there()) {
            if !told && *name > self.me.name {
                told = true;
                add(&self.me, self.incarnation);
            }
            add(&peer.claim.instance, peer.claim.incarnation);
        }
        if !told {
            add(&self.me, self.incarnation);
        }
        sum.finalize()
    }

    /// As much of all that is known as fits, behind `after`.
    fn put_page(&mut self, to: SocketAddr, after: Option<&Name>) {
        let mine =
            Claim { instance: self.me.clone(), incarnation: self.incarnation, standing: Standing::Alive };
        // The number of claims and the name to go on after take their part.
        let mut room = (LONGEST - 3 - Name::LONGEST - 64).saturating_sub(length(&mine));
        let (mut claims, mut next) = (Vec::new(), None);
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        for (_, peer) in self.peers.range::<Name, _>((from, Bound::Unbounded)) {
            let takes = length(&peer.claim);
            if takes > room {
                next = claims.last().map(|claim: &Claim| claim.instance.name.clone());
                break;
            }
            room -= takes;
            claims.push(peer.claim.clone());
        }
        self.put(to, Body::Page { next }, claims, false);
    }

    /// Room for one more name: forgets the one that has been gone for longest.
    fn make_room(&mut self) -> bool {
        if self.peers.len() < MOST_INSTANCES {
            return true;
        }
        let gone = self.peers.iter().filter(|(_, peer)| !peer.is_there());
        let longest = gone.min_by_key(|(_, peer)| peer.since).map(|(name, _)| name.clone());
        longest.is_some_and(|name| self.peers.remove(&name).is_some())
    }
}
