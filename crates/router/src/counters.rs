//! Counters of what the router has received, dispatched and answered since its start.

use crate::reasons::{ClientClose, MemberClose, Tally};
use std::collections::BTreeMap;
use std::fmt;
use vetchkeel::{Ending, GaveUp, Tenths, Written};

#[derive(Debug, Default)]
pub struct Counters {
    pub connections: u64,
    /// Messages and queries that did not become commands.
    pub rejected: u64,
    pub taken: u64,
    pub answered: u64,
    pub throttled: u64,
    pub failed: u64,
    /// Commands whose client left before the answer.
    pub left: u64,
    pub open: u64,
    pub dials: u64,
    pub reused: u64,
    pub lists: u64,
    /// Requests for the list, and those that failed or were not answered in time.
    pub list_requests: u64,
    pub watches_broken: u64,
    pub reloads: u64,
    /// Clients closed to make room for others.
    pub gave_way: u64,
    /// Messages whose values were dropped for lack of memory; their commands are refused.
    pub shortened: u64,
    /// Clients that were sent something to see whether they are still connected.
    pub presence_probes: u64,
    /// The longest time from when the final answer to a command was queued to its first write.
    pub longest_output_wait: Tenths,
    /// Idle clients ended because many clients had sent a query.
    pub quiet: u64,
    pub clients_closed: Tally<ClientClose>,
    pub members_closed: Tally<MemberClose>,
    pub given_up: Tally<GaveUp>,
    pub dispatches: Endings,
    pub probes: Endings,
    pub freshness: Freshness,
    pub barriers: Barriers,
}

/// Barriers on connections to members, and whole answers that arrived before the answer to one: they belong to an earlier
/// statement that was already answered.
#[derive(Debug, Default)]
pub struct Barriers {
    pub written: u64,
    pub answered: u64,
    pub late_answers: u64,
}

/// Reads with a staleness bound or session consistency, by outcome, and related events.
#[derive(Debug, Default)]
pub struct Freshness {
    pub written_to_primaries: u64,
    pub written_to_replicas: u64,
    pub too_old_as_written: u64,
    pub little_to_spare: u64,
    pub clock_moved: u64,
    pub reports_from_before: u64,
}

impl Freshness {
    pub fn written(&mut self, written: Written) {
        match written {
            Written::Free => {}
            Written::ToPrimary => self.written_to_primaries += 1,
            Written::ToReplica { .. } => self.written_to_replicas += 1,
            Written::TooOld { .. } => self.too_old_as_written += 1,
        }
    }
}

impl fmt::Display for Freshness {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "written_to_primaries={} written_to_replicas={} too_old_as_written={} little_to_spare={} \
             clock_moved={} reports_from_before={}",
            self.written_to_primaries,
            self.written_to_replicas,
            self.too_old_as_written,
            self.little_to_spare,
            self.clock_moved,
            self.reports_from_before
        )
    }
}

/// Counts by outcome.
#[derive(Debug, Default)]
pub struct Endings(BTreeMap<&'static str, u64>);

impl Endings {
    pub fn add(&mut self, ending: Ending) {
        let name = match ending {
            Ending::Answered => "answered",
            Ending::TooOld => "too_old",
            Ending::Error => "error",
            Ending::Full => "full",
            Ending::TimedOut => "timed_out",
            Ending::ConnectFailed => "connect_failed",
            Ending::Reset => "reset",
            Ending::CalledOff => "called_off",
            Ending::NeverSent => "never_sent",
            Ending::NotDialled => "not_dialled",
            Ending::Miss => "miss",
        };
        *self.0.entry(name).or_default() += 1;
    }
}

impl fmt::Display for Endings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.0.values().sum::<u64>())?;
        self.0.iter().try_for_each(|(name, count)| write!(f, " {name}={count}"))
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Counters { taken, answered, throttled, failed, left, open, rejected, connections, .. } = self;
        writeln!(
            f,
            "counters commands: taken={taken} answered={answered} throttled={throttled} failed={failed} \
             left={left} open={open} rejected={rejected}"
        )?;
        writeln!(f, "counters dispatches: {}", self.dispatches)?;
        writeln!(f, "counters probes: {}", self.probes)?;
        writeln!(f, "counters freshness: {}", self.freshness)?;
        let Barriers { written, answered: passed, late_answers } = self.barriers;
        writeln!(f, "counters barriers: written={written} answered={passed} late_answers={late_answers}")?;
        writeln!(f, "counters given up: {}", self.given_up)?;
        writeln!(f, "counters closed clients: {}", self.clients_closed)?;
        writeln!(f, "counters closed members: {}", self.members_closed)?;
        writeln!(
            f,
            "counters answers: longest_output_wait_ms={} presence_probes={}",
            self.longest_output_wait / 10,
            self.presence_probes
        )?;
        let Counters { dials, reused, lists, list_requests, watches_broken, .. } = self;
        let Counters { reloads, gave_way, quiet, shortened, .. } = self;
        write!(
            f,
            "counters connections: clients={connections} dials={dials} reused={reused} lists={lists} \
             list_requests={list_requests} watches_broken={watches_broken} reloads={reloads} gave_way={gave_way} quiet={quiet} shortened={shortened}"
        )
    }
}
