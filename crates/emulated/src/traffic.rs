//! Which command comes in when: open-loop, whatever becomes of the ones before. Troubles of the traffic (bursts, hot
//! sets, noisy customers, surges) change it on their timeline.

use crate::draw::{Dice, Draw, dice, happens, one_of, weighted};
use crate::plan::Group;
use crate::trouble::{Kind, Trouble};
use crate::{Micros, SECOND};

/// How arrivals follow each other.
#[derive(Clone, Debug, PartialEq)]
pub enum Rhythm {
    /// Independent of each other.
    Poisson,
    /// By turns so many times the mean rate for about `on`, and as little as keeps the mean for about `off`.
    Bursts { times: f64, on: Micros, off: Micros },
    /// At these times, over and over.
    Recorded { times: Vec<Micros>, length: Micros },
}

#[derive(Clone, Debug)]
pub struct TrafficPlan {
    /// Commands a second, in the mean.
    pub rate: f64,
    pub rhythm: Rhythm,
    /// Parts of the traffic, in any unit: of each set, customer and router.
    pub sets: Vec<f64>,
    pub customers: Vec<f64>,
    pub routers: Vec<f64>,
    /// Sessions; each belongs to one customer, router and set.
    pub sessions: usize,
    pub until: Micros,
}

/// One command that a client sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub at: Micros,
    pub router: usize,
    pub group: usize,
    pub set: usize,
    pub customer: usize,
    pub session: u32,
    /// Core-microseconds at speed 1.
    pub work: f64,
}

/// Independent bits of a session's number, for what belongs to it.
fn spread(session: u32, salt: u64) -> f64 {
    let mut x =
        (session as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 29)) >> 11) as f64 / (1u64 << 53) as f64
}

fn sums(parts: &[f64]) -> Vec<f64> {
    let mut sum = 0.0;
    parts
        .iter()
        .map(|p| {
            sum += p;
            sum
        })
        .collect()
}

fn at(sums: &[f64], part: f64) -> usize {
    let wanted = part * sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|s| *s <= wanted).min(sums.len().saturating_sub(1))
}

pub struct Traffic {
    plan: TrafficPlan,
    works: Vec<Draw>,
    shares: Vec<f64>,
    troubles: Vec<Trouble>,
    /// Times at which the rate changes, with how far they are past.
    edges: Vec<Micros>,
    edge: usize,
    set_sums: Vec<f64>,
    customer_sums: Vec<f64>,
    router_sums: Vec<f64>,
    dice: Dice,
    now: Micros,
    /// Commands a microsecond of each command group, and of noisy customers beyond their usual.
    group_sums: Vec<f64>,
    noise: Vec<(usize, f64)>,
    hot: Vec<(usize, f64)>,
    burst_on: bool,
    burst_until: Micros,
    recorded: usize,
}

impl Traffic {
    pub fn new(plan: TrafficPlan, groups: &[Group], troubles: &[Trouble], seed: u64) -> Traffic {
        let troubles: Vec<Trouble> = troubles.iter().filter(|t| t.kind.of_traffic()).cloned().collect();
        let mut edges: Vec<Micros> = troubles.iter().flat_map(|t| [t.from, t.until]).collect();
        edges.sort_unstable();
        let total: f64 = groups.iter().map(|g| g.share).sum();
        let mut traffic = Traffic {
            works: groups.iter().map(|g| g.work).collect(),
            shares: groups.iter().map(|g| g.share / total).collect(),
            set_sums: sums(&plan.sets),
            customer_sums: sums(&plan.customers),
            router_sums: sums(&plan.routers),
            dice: dice(seed, "traffic"),
            plan,
            troubles,
            edges,
            edge: 0,
            now: 0,
            group_sums: Vec::new(),
            noise: Vec::new(),
            hot: Vec::new(),
            burst_on: false,
            burst_until: 0,
            recorded: 0,
        };
        traffic.change();
        traffic
    }

    /// The rates from `now` on, until the next edge.
    fn change(&mut self) {
        let now = self.now;
        let holds = |t: &&Trouble| t.from <= now && now < t.until;
        let mut rates: Vec<f64> = self.shares.iter().map(|s| s * self.plan.rate / SECOND as f64).collect();
        (self.noise, self.hot) = (Vec::new(), Vec::new());
        let customers = self.customer_sums.last().copied().unwrap_or(1.0);
        let mut times = 1.0;
        for trouble in self.troubles.iter().filter(holds) {
            match trouble.kind {
                Kind::Burst { times: more } => times *= more,
                Kind::HotSet { set, part } => self.hot.push((set, part)),
                Kind::Noisy { customer, times } => {
                    let share = self.plan.customers[customer] / customers;
                    self.noise.push((customer, (times - 1.0).max(0.0) * share));
                }
                Kind::Surge { group, part } => {
                    let others: f64 = rates.iter().sum::<f64>() - rates[group];
                    rates[group] = rates[group].max(others * part / (1.0 - part));
                }
                _ => {}
            }
        }
        if let Rhythm::Bursts { times: high, on, off } = self.plan.rhythm {
            let (on, off) = (on as f64, off as f64);
            let low = ((on + off - high * on) / off).max(0.0);
            times *= if self.burst_on { high } else { low };
        }
        rates.iter_mut().for_each(|r| *r *= times);
        let total: f64 = rates.iter().sum();
        self.noise.iter_mut().for_each(|n| n.1 *= total);
        self.group_sums = sums(&rates);
    }

    fn next_edge(&self) -> Micros {
        let edge = self.edges.get(self.edge).copied().unwrap_or(Micros::MAX);
        if matches!(self.plan.rhythm, Rhythm::Bursts { .. }) { edge.min(self.burst_until) } else { edge }
    }

    fn pass(&mut self, edge: Micros) {
        self.now = edge;
        while self.edges.get(self.edge).is_some_and(|e| *e <= edge) {
            self.edge += 1;
        }
        if let (Rhythm::Bursts { on, off, .. }, true) = (&self.plan.rhythm, self.burst_until <= edge) {
            self.burst_on = !self.burst_on;
            let mean = if self.burst_on { *on } else { *off };
            self.burst_until =
                edge + Draw::Exponential(mean as f64).sample(&mut self.dice).max(1.0) as Micros;
        }
        self.change();
    }

    /// The next command, in order of time; None after the last.
    pub fn next_arrival(&mut self) -> Option<Arrival> {
        if let Rhythm::Recorded { times, length } = &self.plan.rhythm {
            let (round, i) = (self.recorded / times.len().max(1), self.recorded % times.len().max(1));
            let at = round as Micros * length.max(&1) + times.get(i)?;
            self.recorded += 1;
            if self.next_edge() <= at {
                self.pass(at);
            }
            self.now = at;
            return (at < self.plan.until).then(|| self.draw(None));
        }
        loop {
            let noise: f64 = self.noise.iter().map(|n| n.1).sum();
            let usual = self.group_sums.last().copied().unwrap_or(0.0);
            let edge = self.next_edge();
            let rate = usual + noise;
            let wait =
                if rate > 0.0 { Draw::Exponential(1.0 / rate).sample(&mut self.dice) } else { f64::MAX };
            let at = self.now.saturating_add(wait as Micros);
            if edge <= at && edge < self.plan.until {
                self.pass(edge);
                continue;
            }
            self.now = at;
            if at >= self.plan.until {
                return None;
            }
            let noisy = happens(&mut self.dice, noise / rate);
            let sums = sums(&self.noise.iter().map(|n| n.1).collect::<Vec<f64>>());
            let customer = noisy.then(|| self.noise[weighted(&mut self.dice, &sums)].0);
            return Some(self.draw(customer));
        }
    }

    fn draw(&mut self, customer: Option<usize>) -> Arrival {
        let group = weighted(&mut self.dice, &self.group_sums);
        let mut session = one_of(&mut self.dice, self.plan.sessions.max(1)) as u32;
        let belongs = |session: u32, sums: &[f64], salt: u64| at(sums, spread(session, salt));
        if let Some(customer) = customer {
            // A noisy customer's commands come from its own sessions.
            let most = self.plan.sessions.max(1) as u32;
            let of = |s: &u32| belongs(*s, &self.customer_sums, 1) == customer;
            session = (session..most).chain(0..session).find(of).unwrap_or(session);
        }
        let mut set = belongs(session, &self.set_sums, 2);
        for i in 0..self.hot.len() {
            let (hot, part) = self.hot[i];
            if happens(&mut self.dice, part) {
                set = hot;
            }
        }
        let work = self.works[group].sample(&mut self.dice);
        Arrival {
            at: self.now,
            router: belongs(session, &self.router_sums, 3),
            group,
            set,
            customer: customer.unwrap_or_else(|| belongs(session, &self.customer_sums, 1)),
            session,
            work,
        }
    }
}
