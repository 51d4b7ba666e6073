//! A size at a share of itself.

use crate::Size;
use std::ops::Deref;

const DAY: f64 = 86_400.0;

/// A [`Size`] of which everything that is counted is so many times as much: routers, members, sets, what one router has of
/// client connections and statements, what changes, fails and is held. What may be spent, the number of zones, regions and
/// control machines, and times stay as told.
#[derive(Clone, Copy)]
pub struct Scaled<'a> {
    size: &'a Size,
    share: f64,
}

impl Deref for Scaled<'_> {
    type Target = Size;

    fn deref(&self) -> &Size {
        self.size
    }
}

impl<'a> Scaled<'a> {
    pub fn new(size: &'a Size, share: f64) -> Scaled<'a> {
        Scaled { size, share }
    }

    pub fn routers(&self) -> f64 {
        self.share * self.size.routers
    }

    pub fn members(&self) -> f64 {
        self.share * self.size.members
    }

    pub fn sets(&self) -> f64 {
        self.share * self.size.sets
    }

    pub fn members_a_set(&self) -> f64 {
        self.share * self.size.members / self.size.sets
    }

    pub fn members_a_zone(&self) -> f64 {
        self.members() / self.size.zones
    }

    pub fn members_a_region(&self) -> f64 {
        self.members() / self.size.regions
    }

    /// Client connections of one router.
    pub fn clients(&self) -> f64 {
        self.share * self.size.client_connections / self.size.routers
    }

    /// Statements a second of one router.
    pub fn statements(&self) -> f64 {
        self.share * self.size.statements / self.size.routers
    }

    /// Changes of configuration a second.
    pub fn changes(&self) -> f64 {
        self.share * self.size.configuration.a_day / DAY
    }

    /// Bytes of the settings document.
    pub fn document(&self) -> f64 {
        self.share * self.size.document
    }

    /// Routers that one control machine serves, of all and of as many as are left at worst.
    pub fn served(&self) -> f64 {
        self.routers() / self.size.control_machines.count
    }

    pub fn served_at_worst(&self) -> f64 {
        self.routers() / self.size.control_machines.least
    }

    /// Rows of the member list that change on an ordinary day, a second: as if all machines were members.
    pub fn rows(&self) -> f64 {
        let m = &self.size.machines;
        let machines = (m.failed_a_day + m.restarted_a_day) * m.rows;
        self.share * (machines + 2.0 * self.size.primary_changes.a_day) / DAY
    }

    /// Machines restarted or replaced in a day.
    pub fn restarted(&self) -> f64 {
        self.share * self.size.machines.restarted_a_day
    }

    pub fn machines_in_a_rack(&self) -> f64 {
        self.share * self.size.machines.in_a_rack
    }

    /// Of one gateway.
    pub fn subscriptions(&self) -> f64 {
        self.share * self.size.feeds.subscriptions / self.size.feeds.gateways
    }

    pub fn pushes(&self) -> f64 {
        self.share * self.size.feeds.pushes / self.size.feeds.gateways
    }

    pub fn edges(&self) -> f64 {
        self.share * self.size.embargo.edges
    }

    pub fn bulletins(&self) -> f64 {
        self.share * self.size.embargo.bulletins
    }

    pub fn topics(&self) -> f64 {
        self.size.shared_topics
    }
}
