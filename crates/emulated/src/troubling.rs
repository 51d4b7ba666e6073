//! How troubles strike: the beginning, the steps and the end of each kind.

use crate::Micros;
use crate::copy::Copy;
use crate::draw::{dice, one_of};
use crate::interface::Said;
use crate::list::Phase;
use crate::members::{Members, Task};
use crate::node::Node;
use crate::trouble::{Kind, On};

impl Members {
    /// Which members each trouble strikes: named, or drawn by the seed alone.
    pub(crate) fn draw_struck(&mut self, seed: u64) {
        for i in 0..self.troubles.len() {
            let mut dice = dice(seed, &format!("trouble {i}"));
            self.struck[i] = match &self.troubles[i].on {
                On::Members(members) => members.clone(),
                On::Part { part, primaries } => {
                    let fits = |n: &usize| {
                        let primary = self.sets[self.nodes[*n].set].primary == Some(*n);
                        primaries.is_none_or(|p| p == primary)
                    };
                    let mut all: Vec<usize> = (0..self.nodes.len()).filter(fits).collect();
                    let count = (part * all.len() as f64).round() as usize;
                    let mut drawn: Vec<usize> = (0..count.min(all.len()))
                        .map(|_| all.swap_remove(one_of(&mut dice, all.len())))
                        .collect();
                    drawn.sort_unstable();
                    drawn
                }
            };
        }
    }

    /// The members that a trouble strikes.
    pub fn struck(&self, trouble: usize) -> &[usize] {
        &self.struck[trouble]
    }

    pub(crate) fn begin(&mut self, now: Micros, i: usize) {
        self.settle_all(now);
        match self.troubles[i].kind.clone() {
            Kind::ZoneCut { zone, to, one_way } => {
                self.ways.cut(zone, to, one_way, 1);
                (0..self.sets.len()).for_each(|set| self.review(now, set));
            }
            Kind::ListDown => {
                self.list.down(1);
                for router in self.list.break_watches() {
                    self.said.push_back(Said::WatchBroke { router });
                }
            }
            Kind::ListStale => self.list.stale(1),
            Kind::Routers { which, .. } => {
                which.into_iter().for_each(|router| self.said.push_back(Said::RouterDied { router }));
            }
            _ => {
                let struck = self.struck[i].clone();
                struck.into_iter().for_each(|node| self.strike(now, i, node));
            }
        }
    }

    fn strike(&mut self, now: Micros, i: usize, node: usize) {
        let n = &mut self.nodes[node];
        match self.troubles[i].kind.clone() {
            Kind::Crash { listed } => self.go_down(now, node, listed),
            Kind::Flapping { .. } | Kind::Pauses { .. } => self.step(now, i, node, true),
            Kind::Hang => self.freeze(now, node),
            Kind::Slow { times } => {
                n.slow *= times;
                self.rate_again(now, node);
            }
            Kind::SlowApply { times } => n.slow_apply *= times,
            Kind::Drain => {
                n.draining += 1;
                let set = n.set;
                self.noticed(now, node, Phase::Draining, false);
                if self.sets[set].primary == Some(node) {
                    self.hand_over(now, set);
                }
            }
            Kind::Replace => {
                n.gone = true;
                n.clear(now);
                let set = n.set;
                self.said.push_back(Said::Vanished { node });
                self.rate_again(now, node);
                self.noticed(now, node, Phase::Gone, false);
                self.review(now, set);
            }
            Kind::LostAnswers { part } => n.lost += part,
            Kind::Resets { part } => n.resets += part,
            Kind::Squeeze { part } => n.squeeze *= part,
            _ => {}
        }
    }

    pub(crate) fn finish(&mut self, now: Micros, i: usize) {
        self.settle_all(now);
        match self.troubles[i].kind.clone() {
            Kind::ZoneCut { zone, to, one_way } => {
                self.ways.cut(zone, to, one_way, -1);
                (0..self.sets.len()).for_each(|set| self.review(now, set));
            }
            Kind::ListDown => {
                self.list.down(-1);
                self.tell_all(now);
            }
            Kind::ListStale => {
                self.list.stale(-1);
                self.tell_all(now);
            }
            Kind::Routers { which, old_list } => {
                let starts = |router| Said::RouterStarts { router, old_list };
                self.said.extend(which.into_iter().map(starts));
            }
            _ => {
                let struck = self.struck[i].clone();
                struck.into_iter().for_each(|node| self.mend(now, i, node));
            }
        }
    }

    fn mend(&mut self, now: Micros, i: usize, node: usize) {
        let n = &mut self.nodes[node];
        match self.troubles[i].kind.clone() {
            Kind::Crash { listed } => self.come_up(now, node, listed),
            Kind::Flapping { listed, .. } => {
                // Whatever its last step was, it runs from here on.
                let steps = std::mem::take(&mut n.flapping);
                if steps {
                    self.come_up(now, node, listed);
                }
            }
            Kind::Pauses { .. } => {
                let paused = std::mem::take(&mut n.paused);
                if paused {
                    self.unfreeze(now, node);
                }
            }
            Kind::Hang => self.unfreeze(now, node),
            Kind::Slow { times } => {
                n.slow /= times;
                self.rate_again(now, node);
            }
            Kind::SlowApply { times } => n.slow_apply /= times,
            Kind::Drain => {
                n.draining -= 1;
                if n.draining == 0 && n.alive() {
                    self.noticed(now, node, Phase::Up, false);
                }
            }
            Kind::Replace => self.replace(now, node),
            Kind::LostAnswers { part } => n.lost = (n.lost - part).max(0.0),
            Kind::Resets { part } => n.resets = (n.resets - part).max(0.0),
            Kind::Squeeze { part } => n.squeeze /= part,
            _ => {}
        }
    }

    /// A trouble that strikes again and again: down or standing still (`on`), and back.
    pub(crate) fn step(&mut self, now: Micros, i: usize, node: usize, on: bool) {
        if now >= self.troubles[i].until {
            return;
        }
        self.settle(now, node);
        match self.troubles[i].kind.clone() {
            Kind::Flapping { down, up, listed } => {
                self.nodes[node].flapping = on;
                if on {
                    self.go_down(now, node, listed)
                } else {
                    self.come_up(now, node, listed)
                }
                self.agenda.set(now + if on { down } else { up }, Task::Step(i, node, !on));
            }
            Kind::Pauses { length, every } => {
                self.nodes[node].paused = on;
                if on {
                    self.freeze(now, node)
                } else {
                    self.unfreeze(now, node)
                }
                self.agenda.set(now + if on { length } else { every - length }, Task::Step(i, node, !on));
            }
            _ => {}
        }
    }

    fn go_down(&mut self, now: Micros, node: usize, listed: bool) {
        let alive = self.nodes[node].alive();
        self.nodes[node].down += 1;
        if alive {
            self.die(now, node, false);
            if listed {
                self.noticed(now, node, Phase::Gone, false);
            }
        }
    }

    fn come_up(&mut self, now: Micros, node: usize, listed: bool) {
        let n = &mut self.nodes[node];
        n.down -= 1;
        if n.alive() {
            self.start(now, node);
            if listed {
                self.noticed(now, node, Phase::Up, false);
            }
        }
    }

    fn freeze(&mut self, now: Micros, node: usize) {
        self.nodes[node].frozen += 1;
        self.rate_again(now, node);
        self.review(now, self.nodes[node].set);
    }

    fn unfreeze(&mut self, now: Micros, node: usize) {
        self.nodes[node].frozen -= 1;
        if self.nodes[node].works() {
            self.thaw(now, node);
        }
    }

    /// Another machine takes the address of one that vanished, with a copy some seconds old.
    fn replace(&mut self, now: Micros, old: usize) {
        let (set, zone, place) = (self.nodes[old].set, self.nodes[old].zone, self.nodes[old].place);
        let mut node = Node::new(set, zone, place, self.nodes[old].machine.clone());
        let age = self.plan.copying.seed_age.sample(&mut self.dice) as Micros;
        node.ship = self.nodes[old].ship;
        node.copy = Copy::at(&self.sets[set].log, (now - age).max(0), now);
        let number = self.nodes.len();
        self.nodes.push(node);
        self.places[place] = number;
        self.sets[set].nodes.retain(|n| *n != old);
        self.sets[set].nodes.push(number);
        self.agenda.set(now, Task::Refresh(number));
        self.start(now, number);
        self.noticed(now, number, Phase::Up, false);
    }
}
