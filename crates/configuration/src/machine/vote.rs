//! Elections among keepers: which machine may write, in which epoch, and which changes each keeper holds.

use std::collections::BTreeMap;

use super::{Event, Machine, Role};
use crate::persisted_state::Record;
use crate::{Change, Message, Name, Tenths, Version, replica};

/// The state of a keeper that is a candidate for writer.
pub(super) struct Candidacy {
    epoch: u32,
    trial: bool,
    founding: bool,
    /// When the ballot ends, before the allowance for writes.
    pub(super) until: Tenths,
    votes: BTreeMap<Name, Vote>,
}

struct Vote {
    granted: bool,
    held: Version,
    nonvoting: bool,
}

impl Machine {
    /// Restarts the election timeout. It leaves the writer time to make contact, and is random so that the keepers do
    /// not all become candidates at once.
    pub(super) fn reset_election_timer(&mut self, now: Tenths) {
        let wait = self.random_between(self.plan.stand, 2 * self.plan.stand);
        self.election_at = now + wait;
    }

    /// Starts an election when no writer was heard within the timeout, and ends an election that has timed out.
    pub(super) fn run_election(&mut self, now: Tenths) {
        let allowance = self.write_allowance();
        match &self.role {
            Role::Follower if self.is_keeper() && now >= self.election_at + allowance => {
                // A keeper that was partitioned would raise the epoch again and again, and depose a working writer on
                // its return. So it first runs a trial ballot, which only asks whether votes would be granted.
                self.request_votes(now, true, false);
            }
            Role::Candidate(candidacy) if now >= candidacy.until + allowance => {
                self.role = Role::Follower;
                self.reset_election_timer(now);
            }
            _ => {}
        }
    }

    fn request_votes(&mut self, now: Tenths, trial: bool, founding: bool) {
        let epoch = self.highest_epoch.max(self.kept.promised).saturating_add(1);
        if !trial {
            self.persist(Record::Promised(epoch));
            self.highest_epoch = epoch;
            self.last_ballot = Some((epoch, now));
            if founding && self.kept.nonvoting {
                self.settle();
            }
        }
        let held = self.kept.held();
        let own = Vote { granted: !self.kept.nonvoting, held, nonvoting: self.kept.nonvoting };
        let votes = BTreeMap::from([(self.me.clone(), own)]);
        let until = now + self.plan.patience / 3;
        self.role = Role::Candidate(Candidacy { epoch, trial, founding, until, votes });
        for keeper in self.other_keepers() {
            self.send(&keeper, Message::Prepare { epoch, held, trial, founding });
        }
        self.count_votes(now);
    }

    pub(super) fn settle(&mut self) {
        self.persist(Record::Voting);
        self.notify(Event::VotingRestored);
    }

    /// Handles another keeper's request for a vote.
    pub(super) fn handle_prepare(
        &mut self,
        now: Tenths,
        from: &Name,
        epoch: u32,
        held: Version,
        trial: bool,
        founding: bool,
    ) {
        if !self.is_keeper() || !self.keepers.contains(from) {
            return;
        }
        self.highest_epoch = self.highest_epoch.max(epoch.min(self.highest_epoch.saturating_add(1_000)));
        let own = self.kept.held();
        let writes = matches!(self.role, Role::Writer(_));
        let followed = writes
            || self
                .last_writer
                .as_ref()
                .is_some_and(|(name, _, at)| name != from && now - at < self.plan.stand);
        // A keeper that lost its disk could break an earlier promise.
        let counts = !self.kept.nonvoting || (founding && own == Version::NONE);
        // A writer that lacks a change which a majority holds would undo that change.
        let granted = epoch > self.kept.promised && held >= own && counts && !followed;
        if granted && !trial {
            self.persist(Record::Promised(epoch));
            if self.kept.nonvoting {
                self.settle();
            }
            self.role = Role::Follower;
            self.reset_election_timer(now);
        }
        let (promised, nonvoting) = (self.kept.promised, self.kept.nonvoting);
        self.send(from, Message::Promised { epoch, trial, granted, promised, held: own, nonvoting });
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn handle_promised(
        &mut self,
        now: Tenths,
        from: &Name,
        (epoch, trial): (u32, bool),
        granted: bool,
        promised: u32,
        held: Version,
        nonvoting: bool,
    ) {
        self.highest_epoch = self.highest_epoch.max(promised);
        if !self.keepers.contains(from) {
            return;
        }
        // A vote that is too late for any ballot tells of a paused process or a cut link.
        let longest = self.plan.patience / 3 + self.max_write_allowance();
        let ballot =
            self.last_ballot.filter(|(last, began)| !trial && *last == epoch && now - began <= longest);
        if let Some((_, began)) = ballot {
            self.write_time.record_vote(now, now - began);
        }
        let Role::Candidate(candidacy) = &mut self.role else { return };
        if (candidacy.epoch, candidacy.trial) == (epoch, trial) {
            candidacy.votes.insert(from.clone(), Vote { granted, held, nonvoting });
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Tenths) {
        let Role::Candidate(candidacy) = &self.role else { return };
        let granted = candidacy.votes.values().filter(|vote| vote.granted && !vote.nonvoting).count();
        let empty = candidacy.votes.values().filter(|vote| vote.held == Version::NONE).count();
        let (trial, epoch, founding) = (candidacy.trial, candidacy.epoch, candidacy.founding);
        // Keepers that lost their disks could found a second, empty fleet. So founding needs an answer from all
        // keepers, and none of them may hold anything.
        let founds = empty == self.keepers.len();
        // A candidate that lost its disk would write without the changes that it had acknowledged.
        let wins = granted >= self.majority() && !self.kept.nonvoting;
        match trial {
            true if wins => self.request_votes(now, false, founding),
            true if founds => self.request_votes(now, false, true),
            false if wins => self.become_writer(now, epoch),
            _ => {}
        }
    }

    /// Handles a round of the writer: its epoch, the released version, and the changes to hold.
    pub(super) fn handle_accept(&mut self, now: Tenths, from: &Name, message: Message) {
        let Message::Accept { epoch, round, released, tail, judged, mark, stable } = message else { return };
        let known = self.last_writer.as_ref().map_or(0, |(_, epoch, _)| *epoch).max(self.kept.promised);
        // Rejects a deposed writer that comes back, or whose message was delayed.
        if epoch < known || self.writer_epoch().is_some_and(|own| epoch <= own) {
            return self.send_accepted(from, known.max(self.writer_epoch().unwrap_or(0)), round);
        }
        self.follow_writer(now, from, epoch);
        if self.is_keeper() && epoch > self.kept.promised {
            self.persist(Record::Promised(epoch));
        }
        self.judged = self.judged.max(judged);
        self.advance_released(now, released);
        if self.is_keeper() {
            self.hold_unreleased(released, tail);
        }
        self.handle_confirmation(now, mark, stable, released);
        self.send_accepted(from, epoch, round);
    }

    fn send_accepted(&mut self, to: &Name, epoch: u32, round: u64) {
        let (held, released, nonvoting) = (self.kept.held(), self.kept.version(), self.kept.nonvoting);
        self.send(to, Message::Accepted { epoch, round, held, released, nonvoting });
    }

    fn follow_writer(&mut self, now: Tenths, from: &Name, epoch: u32) {
        if self.writer_epoch().is_some() {
            self.step_down(now);
        }
        self.role = Role::Follower;
        self.highest_epoch = self.highest_epoch.max(epoch);
        if self.last_writer.as_ref().is_none_or(|(name, old, _)| (name, *old) != (from, epoch)) {
            self.reports.reset_for_new_writer(now);
        }
        self.last_writer = Some((from.clone(), epoch, now));
        if std::mem::take(&mut self.no_writer_reported) {
            self.notify(Event::WriterContact(from.clone()));
        }
        if self.is_keeper() {
            self.reset_election_timer(now);
        }
    }

    /// Releases the held changes up to this version. What this machine does not hold has to be fetched.
    fn advance_released(&mut self, now: Tenths, released: Version) {
        if let Some(at) = self.kept.tail.iter().position(|change| change.version == released) {
            let changes = self.kept.tail[..=at].to_vec();
            self.release(now, Record::Released(changes));
        }
        self.catch_up.target = self.catch_up.target.max(released);
    }

    /// As a keeper, holds the changes that follow the released version. This keeper may know of a later released
    /// version than the writer does.
    fn hold_unreleased(&mut self, released: Version, mut tail: Vec<Change>) {
        if self.kept.version() != released {
            let known = tail.iter().position(|change| change.version == self.kept.version());
            let Some(at) = known else { return };
            tail.drain(..=at);
        }
        // A reordered accept has a shorter tail and would drop changes that this keeper has already acknowledged.
        let own = &self.kept.tail;
        let same = own.iter().zip(&tail).take_while(|(own, new)| own.version == new.version).count();
        if same == tail.len() {
            return;
        }
        let mut version = self.kept.version();
        let mut document = self.kept.document().clone();
        for change in &tail {
            match replica::apply(version, &document, change) {
                Ok(next) => (version, document) = (change.version, next),
                Err(bad) => return self.notify(Event::InvalidData(change.version, bad)),
            }
        }
        self.persist(Record::Unreleased(tail));
    }
}
