//! Inputs (routers, members, the rule) and their validation.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of routers, of members, and of members in one set: above 2,100 routers and 4,900 members with room to
/// grow. More are rejected, because the work grows with routers times members, and that of rebalancing also with the
/// square of the set size.
pub const MAX_ROUTERS: usize = 8_192;
pub const MAX_MEMBERS: usize = 8_192;
pub const MAX_SET_MEMBERS: usize = 128;

/// One router of the fleet. `number` is its `me`; `weight` is its share of the traffic, in any unit common to all
/// routers.
#[derive(Clone, Debug, PartialEq)]
pub struct Router {
    pub number: u64,
    pub weight: f64,
}

impl Router {
    /// A router known by name (from membership) instead of by number. Hashed names are not consecutive, so before the
    /// bounds are applied the distribution over members is that of plain rendezvous hashing; numbers from 0 on give a
    /// more even one.
    pub fn named(name: &str, weight: f64) -> Router {
        Router { number: xxh3_64(name.as_bytes()), weight }
    }
}

/// The routers 0 to `balancers` (exclusive) with equal weights, for use when only their number is known from the
/// settings.
pub fn numbered_routers(balancers: u64) -> Vec<Router> {
    (0..balancers).map(|number| Router { number, weight: 1.0 }).collect()
}

/// Role of a member in its set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// One member of a set. `weight` is its capacity, in any unit common to its set.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub id: String,
    pub set: i64,
    pub role: Role,
    pub weight: f64,
    pub zone: String,
}

/// Size and balance of subsets.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Replicas of each set in every subset. A set with fewer contributes all of them.
    pub replicas: usize,
    /// A set with fewer replicas than this is reported as short.
    pub short_below: usize,
    /// Largest and smallest multiple of its fair share of the routers' weight that a replica is assigned. If that
    /// is less than one router away from the fair share, the bound is the next whole router.
    pub max_share: f64,
    pub min_share: f64,
    /// Two or more replicas of a subset are not all in one zone if the set has replicas in another. Takes precedence
    /// over `max_share` and `min_share`.
    pub spread_zones: bool,
}

impl Default for Rule {
    fn default() -> Rule {
        Rule { replicas: 2, short_below: 1, max_share: 1.1, min_share: 0.88, spread_zones: false }
    }
}

/// Why inputs were rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InputError {
    TooManyRouters(usize),
    TooManyMembers(usize),
    /// This set has more than [`MAX_SET_MEMBERS`] members.
    SetTooLarge(i64),
    /// Two routers have this number.
    DuplicateRouter(u64),
    /// Two members have this id.
    DuplicateMember(String),
    /// The weight of this router or member is not a number above 0.
    Weight(String),
    /// The router in question is not in the list of routers.
    UnknownRouter(u64),
    /// `max_share` must be 1 or more, `min_share` from 0 to 1, `replicas` 1 or more.
    Rule,
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InputError::TooManyRouters(n) => write!(f, "found {n} routers, expected at most {MAX_ROUTERS}"),
            InputError::TooManyMembers(n) => write!(f, "found {n} members, expected at most {MAX_MEMBERS}"),
            InputError::SetTooLarge(set) => {
                write!(f, "set {set}: expected at most {MAX_SET_MEMBERS} members")
            }
            InputError::DuplicateRouter(n) => write!(f, "duplicate router number {n}"),
            InputError::DuplicateMember(id) => write!(f, "duplicate member id {id}"),
            InputError::Weight(of) => write!(f, "weight of {of}: expected a number above 0"),
            InputError::UnknownRouter(n) => write!(f, "router {n} is not in the list of routers"),
            InputError::Rule => {
                write!(f, "rule: expected replicas >= 1, max_share >= 1 and min_share from 0 to 1")
            }
        }
    }
}

impl std::error::Error for InputError {}

fn check_weight(weight: f64, of: impl FnOnce() -> String) -> Result<(), InputError> {
    if weight.is_finite() && weight > 0.0 { Ok(()) } else { Err(InputError::Weight(of())) }
}

impl Router {
    pub(crate) fn check(&self) -> Result<(), InputError> {
        check_weight(self.weight, || format!("router {}", self.number))
    }
}

impl Member {
    pub(crate) fn check(&self) -> Result<(), InputError> {
        check_weight(self.weight, || format!("member {}", self.id))
    }
}

impl Rule {
    fn check(&self) -> Result<(), InputError> {
        // These comparisons also reject NaN.
        let valid = self.replicas > 0 && self.max_share >= 1.0 && (0.0..=1.0).contains(&self.min_share);
        if valid { Ok(()) } else { Err(InputError::Rule) }
    }
}

pub(crate) fn check(routers: &[Router], members: &[Member], rule: &Rule) -> Result<(), InputError> {
    if routers.len() > MAX_ROUTERS {
        return Err(InputError::TooManyRouters(routers.len()));
    }
    if members.len() > MAX_MEMBERS {
        return Err(InputError::TooManyMembers(members.len()));
    }
    rule.check()?;
    let mut numbers = BTreeSet::new();
    for router in routers {
        router.check()?;
        if !numbers.insert(router.number) {
            return Err(InputError::DuplicateRouter(router.number));
        }
    }
    let (mut ids, mut set_sizes) = (BTreeSet::new(), BTreeMap::new());
    for member in members {
        member.check()?;
        if !ids.insert(&member.id) {
            return Err(InputError::DuplicateMember(member.id.clone()));
        }
        let count = set_sizes.entry(member.set).or_insert(0);
        *count += 1;
        if *count > MAX_SET_MEMBERS {
            return Err(InputError::SetTooLarge(member.set));
        }
    }
    Ok(())
}
