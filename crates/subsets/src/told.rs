//! What is told: routers, members, the rule; and what of it is refused.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// The most routers, members, and members of one set told at once: above 2,100 routers and 4,900 members with room to
/// grow. More are refused: the work grows with routers times members, and mending with the square of a set besides.
pub const ROUTERS_MOST: usize = 8_192;
pub const MEMBERS_MOST: usize = 8_192;
pub const SET_MOST: usize = 128;

/// One router of the fleet. `number` is its `me`; `weight` is its part of the traffic, by any common unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Router {
    pub number: u64,
    pub weight: f64,
}

impl Router {
    /// A router known by name (from membership) instead of by number. Names fall anywhere, so that the spread over
    /// members is that of plain rendezvous before the bounds; numbers from 0 on spread better.
    pub fn named(name: &str, weight: f64) -> Router {
        Router { number: xxh3_64(name.as_bytes()), weight }
    }
}

/// The routers 0 to `balancers`, all alike: what is known from the settings alone.
pub fn numbered(balancers: u64) -> Vec<Router> {
    (0..balancers).map(|number| Router { number, weight: 1.0 }).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// One member of a set. `weight` is what it bears, by any unit common to its set.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub id: String,
    pub set: i64,
    pub role: Role,
    pub weight: f64,
    pub zone: String,
}

/// How large a subset is and how even.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Replicas of each set in every subset. A set that has fewer gives all it has.
    pub replicas: usize,
    /// A set with fewer replicas than this is told as short.
    pub short: usize,
    /// The most and the least of its fair part of the routers' weight that a replica is given, to the next whole
    /// router where one router is more than that.
    pub most: f64,
    pub least: f64,
    /// Two or more replicas of a set are not all of one zone, where the set has another. Goes before `most` and `least`.
    pub apart: bool,
}

impl Default for Rule {
    fn default() -> Rule {
        Rule { replicas: 2, short: 1, most: 1.1, least: 0.88, apart: false }
    }
}

/// Why nothing was worked out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    TooManyRouters(usize),
    TooManyMembers(usize),
    /// This set has more than `SET_MOST` members.
    SetTooLarge(i64),
    /// Two routers have this number.
    RouterTwice(u64),
    /// Two members have this id.
    MemberTwice(String),
    /// The weight of this router or member is not a number above 0.
    Weight(String),
    /// The router asked about is not among those told.
    NotTold(u64),
    /// `most` has to be 1 or more, `least` from 0 to 1, `replicas` 1 or more.
    Rule,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::TooManyRouters(n) => write!(f, "{n} routers, at most {ROUTERS_MOST} expected"),
            Refused::TooManyMembers(n) => write!(f, "{n} members, at most {MEMBERS_MOST} expected"),
            Refused::SetTooLarge(set) => write!(f, "set {set}: at most {SET_MOST} members expected"),
            Refused::RouterTwice(n) => write!(f, "router {n} is told twice"),
            Refused::MemberTwice(id) => write!(f, "member {id} is told twice"),
            Refused::Weight(of) => write!(f, "weight of {of}: a number above 0 expected"),
            Refused::NotTold(n) => write!(f, "router {n} is not among the routers told"),
            Refused::Rule => write!(f, "rule: replicas >= 1, most >= 1 and least from 0 to 1 expected"),
        }
    }
}

impl std::error::Error for Refused {}

fn sound(weight: f64, of: impl FnOnce() -> String) -> Result<(), Refused> {
    if weight.is_finite() && weight > 0.0 { Ok(()) } else { Err(Refused::Weight(of())) }
}

impl Router {
    pub(crate) fn check(&self) -> Result<(), Refused> {
        sound(self.weight, || format!("router {}", self.number))
    }
}

impl Member {
    pub(crate) fn check(&self) -> Result<(), Refused> {
        sound(self.weight, || format!("member {}", self.id))
    }
}

impl Rule {
    fn check(&self) -> Result<(), Refused> {
        // Written so that a NaN is refused.
        let good = self.replicas > 0 && self.most >= 1.0 && (0.0..=1.0).contains(&self.least);
        if good { Ok(()) } else { Err(Refused::Rule) }
    }
}

pub(crate) fn check(routers: &[Router], members: &[Member], rule: &Rule) -> Result<(), Refused> {
    if routers.len() > ROUTERS_MOST {
        return Err(Refused::TooManyRouters(routers.len()));
    }
    if members.len() > MEMBERS_MOST {
        return Err(Refused::TooManyMembers(members.len()));
    }
    rule.check()?;
    let mut numbers = BTreeSet::new();
    for router in routers {
        router.check()?;
        if !numbers.insert(router.number) {
            return Err(Refused::RouterTwice(router.number));
        }
    }
    let (mut ids, mut of_set) = (BTreeSet::new(), BTreeMap::new());
    for member in members {
        member.check()?;
        if !ids.insert(&member.id) {
            return Err(Refused::MemberTwice(member.id.clone()));
        }
        let count = of_set.entry(member.set).or_insert(0);
        *count += 1;
        if *count > SET_MOST {
            return Err(Refused::SetTooLarge(member.set));
        }
    }
    Ok(())
}
