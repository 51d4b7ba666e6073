use crate::*;
use nanorand::{Rng, WyRand};
use rstest::rstest;
use std::collections::BTreeMap;

/// `sets` of a primary and so many replicas, zones in turn; ids drawn from the seed.
fn members(seed: u64, sets: i64, replicas: usize, weights: &[f64]) -> Vec<Member> {
    let member = |set: i64, i: usize| Member {
        id: format!("n-{:08x}", xxhash_rust::xxh3::xxh3_64(format!("{seed} {set} {i}").as_bytes()) >> 32),
        set,
        role: if i == 0 { Role::Primary } else { Role::Replica },
        weight: weights[i % weights.len()],
        zone: format!("z{}", i % 2),
    };
    (0..sets).flat_map(|set| (0..=replicas).map(move |i| member(set, i))).collect()
}

/// By replica: the sum of weights of the routers that picked it.
fn given(routers: &[Router], members: &[Member], rule: &Rule) -> BTreeMap<usize, f64> {
    let replica = |(i, m): (usize, &Member)| (m.role == Role::Replica).then_some((i, 0.0));
    let mut given: BTreeMap<usize, f64> = members.iter().enumerate().filter_map(replica).collect();
    let all = fleet(routers, members, rule).unwrap();
    for router in routers {
        let replicas = all[&router.number].values().flat_map(|s| &s.replicas);
        replicas.for_each(|m| *given.get_mut(m).unwrap() += router.weight);
    }
    given
}

#[rstest]
#[case::no_set_is_short(5, 2, false)]
#[case::fewer_than_asked_for(1, 1, false)]
#[case::primary_alone(0, 0, true)]
fn every_subset_has_primary_and_enough_replicas(
    #[case] replicas: usize,
    #[case] expected: usize,
    #[case] short: bool,
    #[values(1, 10, 100)] balancers: u64,
    #[values(false, true)] apart: bool,
) {
    let members = members(balancers, 4, replicas, &[1.0, 2.0]);
    let rule = Rule { apart, ..Rule::default() };
    for sets in fleet(&numbered(balancers), &members, &rule).unwrap().values() {
        assert_eq!(sets.len(), 4);
        for subset in sets.values() {
            assert_eq!((subset.primaries.len(), subset.replicas.len()), (1, expected));
            assert_eq!(subset.short, short);
            let zones = subset.replicas.iter().map(|m| &members[*m].zone);
            assert!(!apart || expected < 2 || zones.clone().max() != zones.min());
        }
    }
}

/// The bounds of the rule, to the next whole router.
#[rstest]
fn each_replica_stays_within_its_bounds(
    #[values(10, 100, 300)] balancers: u64,
    #[values((2, 1), (3, 2), (9, 3))] set: (usize, usize),
    #[values(0, 1, 2, 3, 4)] seed: u64,
) {
    let (replicas, picks) = set;
    let rule = Rule { replicas: picks, ..Rule::default() };
    let fair = balancers as f64 * picks as f64 / replicas as f64;
    let (most, least) = ((fair * 1.1).max(fair.ceil()), (fair * 0.88).min(fair.floor()));
    for given in given(&numbered(balancers), &members(seed, 5, replicas, &[1.0]), &rule).values() {
        assert!((least..=most).contains(given), "{given} of fair {fair}");
    }
}

/// Replicas of weight 1 and 2, routers of 1 to 3: shares go by weight. A replica of weight 2 among seven picks of
/// eight is in every subset, and what it can't take goes to the others.
#[rstest]
fn shares_go_by_weight(#[values(0, 1, 2, 3, 4)] seed: u64) {
    let routers: Vec<Router> =
        (0..100).map(|number| Router { number, weight: 1.0 + (number % 3) as f64 }).collect();
    let all: f64 = routers.iter().map(|r| r.weight).sum();
    let members = members(seed, 3, 8, &[1.0, 2.0]);
    for (picks, light, heavy) in [(3, 0.25, 0.5), (7, 0.75, 1.0)] {
        let rule = Rule { replicas: picks, ..Rule::default() };
        for (m, given) in given(&routers, &members, &rule) {
            let fair = all * if members[m].weight == 1.0 { light } else { heavy };
            let (most, least) = ((fair * 1.1).max(fair + 3.0), (fair * 0.88).min(fair - 3.0));
            assert!((least..=most).contains(&given), "{given} of fair {fair}");
        }
    }
}

/// Picks that are new after a growth, over the least possible, mean of 10 seeds.
#[rstest]
#[case::a_router_joins(1, 0)]
#[case::a_tenth_of_the_routers(30, 0)]
#[case::routers_double(300, 0)]
#[case::a_member_joins_each_set(0, 1)]
#[case::members_double(0, 9)]
fn growth_moves_little_more_than_it_must(#[case] routers: u64, #[case] joined: usize) {
    let rule = Rule { replicas: 3, ..Rule::default() };
    let (mut new, mut least) = (0.0, 0.0);
    for seed in 0..10 {
        let (few, many) = (members(seed, 8, 9, &[1.0]), members(seed, 8, 9 + joined, &[1.0]));
        let before = fleet(&numbered(300), &few, &rule).unwrap();
        let after = fleet(&numbered(300 + routers), &many, &rule).unwrap();
        let ids = |sets: &BTreeMap<i64, Subset>, of: &[Member]| -> Vec<String> {
            sets.values().flat_map(|s| &s.replicas).map(|m| of[*m].id.clone()).collect()
        };
        for (number, sets) in &after {
            let had = before.get(number).map(|sets| ids(sets, &few)).unwrap_or_default();
            new += ids(sets, &many).iter().filter(|id| !had.contains(id)).count() as f64;
        }
        least += 24.0 * (routers as f64 + 300.0 * joined as f64 / (9 + joined) as f64);
    }
    assert!(new / least < 1.2, "{new} new picks, {least} are the least");
}

/// Every router finds for itself what it has in the plan of the fleet, in whatever order it was told.
#[rstest]
fn routers_agree_without_talk(#[values(0, 1, 2)] seed: u64, #[values(false, true)] named: bool) {
    let name = |r: Router| if named { Router::named(&format!("r{}", r.number), 2.0) } else { r };
    let mut routers: Vec<Router> = numbered(20).into_iter().map(name).collect();
    let mut members = members(seed, 5, 4, &[1.0, 3.0]);
    let ids = |subset: &Subset, of: &[Member]| -> Vec<String> {
        subset.primaries.iter().chain(&subset.replicas).map(|m| of[*m].id.clone()).collect()
    };
    let plan = fleet(&routers, &members, &Rule::default()).unwrap();
    let planned: Vec<Vec<String>> =
        plan.values().flat_map(|s| s.values().map(|s| ids(s, &members))).collect();
    members.reverse();
    routers.rotate_left(7);
    let own = plan.keys().map(|me| subset(*me, &routers, &members, &Rule::default()).unwrap());
    let found: Vec<Vec<String>> =
        own.flat_map(|s| s.values().map(|s| ids(s, &members)).collect::<Vec<_>>()).collect();
    assert_eq!(found, planned);
}

#[rstest]
#[case::no_such_router(|_: &mut Vec<Router>, _: &mut Vec<Member>, _: &mut Rule| (), Refused::NotTold(9))]
#[case::router_twice(|r: &mut Vec<Router>, _: &mut Vec<Member>, _: &mut Rule| r[1].number = 0, Refused::RouterTwice(0))]
#[case::weight_not_a_number(|r: &mut Vec<Router>, _: &mut Vec<Member>, _: &mut Rule| r[1].weight = f64::NAN, Refused::Weight("router 1".into()))]
#[case::member_weightless(|_: &mut Vec<Router>, m: &mut Vec<Member>, _: &mut Rule| { m[0].id = "a".into(); m[0].weight = 0.0 }, Refused::Weight("member a".into()))]
#[case::member_twice(|_: &mut Vec<Router>, m: &mut Vec<Member>, _: &mut Rule| { m[0].id = "a".into(); m[1].id = "a".into() }, Refused::MemberTwice("a".into()))]
#[case::rule_without_room(|_: &mut Vec<Router>, _: &mut Vec<Member>, rule: &mut Rule| rule.most = 0.9, Refused::Rule)]
#[case::set_too_large(|_: &mut Vec<Router>, m: &mut Vec<Member>, _: &mut Rule| *m = members(0, 1, 128, &[1.0]), Refused::SetTooLarge(0))]
#[case::too_many_routers(|r: &mut Vec<Router>, _: &mut Vec<Member>, _: &mut Rule| *r = numbered(8193), Refused::TooManyRouters(8193))]
#[case::too_many_members(|_: &mut Vec<Router>, m: &mut Vec<Member>, _: &mut Rule| *m = members(0, 2731, 2, &[1.0]), Refused::TooManyMembers(8193))]
fn what_makes_no_sense_is_refused(
    #[case] spoil: fn(&mut Vec<Router>, &mut Vec<Member>, &mut Rule),
    #[case] why: Refused,
) {
    let (mut routers, mut members, mut rule) = (numbered(3), members(0, 2, 3, &[1.0]), Rule::default());
    spoil(&mut routers, &mut members, &mut rule);
    assert_eq!(subset(9, &routers, &members, &rule), Err(why));
}

/// 2 of 3 replicas for each of the most routers, and each replica within the rule; then the most members, in sets of 4.
#[rstest]
#[case::routers(8192, 1)]
#[case::members(2, 2048)]
fn the_most_are_taken(#[case] routers: u64, #[case] sets: i64) {
    let (routers, members) = (numbered(routers), members(7, sets, 3, &[1.0]));
    assert!(routers.len().max(members.len()) == ROUTERS_MOST && ROUTERS_MOST == MEMBERS_MOST);
    let own = subset(1, &routers, &members, &Rule::default()).expect("within the bounds");
    assert!(own.len() == sets as usize && own.values().all(|subset| subset.replicas.len() == 2));
    let fair = routers.len() as f64 * 2.0 / 3.0;
    let (most, least) = ((fair * 1.1).max(fair.ceil()), (fair * 0.88).min(fair.floor()));
    for given in given(&routers, &members, &Rule::default()).values() {
        assert!((least..=most).contains(given), "{given} of fair {fair}");
    }
}

/// A fleet that changes by chance, and what it is by now.
struct Changing {
    chance: WyRand,
    me: u64,
    names: bool,
    routers: BTreeMap<u64, Router>,
    members: BTreeMap<String, Member>,
    told: u64,
}

impl Changing {
    fn weight(&mut self, weights: &[f64]) -> f64 {
        weights[self.chance.generate_range(0..weights.len())]
    }

    fn a_router(&mut self, weights: &[f64]) -> Router {
        let number = self.chance.generate_range(0..60u64);
        let weight = self.weight(weights);
        let named = Router::named(&format!("r{number}"), weight);
        if self.names { named } else { Router { number, weight } }
    }

    fn a_member(&mut self, weights: &[f64]) -> Member {
        self.told += 1;
        let known: Vec<String> = self.members.keys().cloned().collect();
        let pick = self.chance.generate_range(0..=known.len() * 2);
        Member {
            id: known.get(pick).cloned().unwrap_or(format!("m{:03}", self.told)),
            set: self.chance.generate_range(0..4i64),
            role: if self.chance.generate_range(0..5u32) == 0 { Role::Primary } else { Role::Replica },
            weight: self.weight(weights),
            zone: format!("z{}", self.chance.generate_range(0..3u32)),
        }
    }

    /// Tells one change by chance.
    fn change(&mut self, own: &mut Subsets, weights: &[f64]) {
        match self.chance.generate_range(0..8u32) {
            0..=2 => {
                let router = self.a_router(weights);
                own.router(router.clone()).expect("sound");
                self.routers.insert(router.number, router);
            }
            3 => {
                let number = self.a_router(&[1.0]).number;
                let left = own.router_left(number);
                assert_eq!(left, if number == self.me { Err(Refused::NotTold(number)) } else { Ok(()) });
                self.routers.retain(|_, r| r.number != number || number == self.me);
            }
            4..=6 => {
                let member = self.a_member(weights);
                own.member(member.clone()).expect("sound");
                self.members.insert(member.id.clone(), member);
            }
            _ => {
                let known: Vec<String> = self.members.keys().cloned().collect();
                let pick = self.chance.generate_range(0..known.len() + 1);
                let id = known.get(pick).cloned().unwrap_or("nobody".into());
                own.member_left(&id);
                self.members.remove(&id);
            }
        }
    }

    /// What the whole computation says, by ids.
    fn whole(&self, rule: &Rule) -> BTreeMap<i64, Own> {
        let routers: Vec<Router> = self.routers.values().cloned().collect();
        let members: Vec<Member> = self.members.values().cloned().collect();
        let ids = |places: Vec<usize>| places.into_iter().map(|at| members[at].id.clone()).collect();
        let sets = subset(self.me, &routers, &members, rule).expect("sound");
        let own = |s: Subset| Own { primaries: ids(s.primaries), replicas: ids(s.replicas), short: s.short };
        sets.into_iter().map(|(number, s)| (number, own(s))).collect()
    }
}

/// After any changes, what was pulled set by set is what is worked out from all at once; each pull is a change.
#[rstest]
fn what_changed_comes_to_the_whole(
    #[values(0, 1, 2, 3)] seed: u64,
    #[values(&[1.0], &[0.3, 1.0, 1.7, 2.0, 5.0], &[1e-15, 3e-15, 1.0, 1e15])] weights: &[f64],
    #[values(false, true)] apart: bool,
    #[values(false, true)] names: bool,
) {
    let rule = Rule { apart, short: 3, ..Rule::default() };
    let first = if names { Router::named("r7", 1.0) } else { Router { number: 7, weight: 1.0 } };
    let mut all = Changing {
        chance: WyRand::new_seed(seed),
        me: first.number,
        names,
        routers: BTreeMap::from([(first.number, first.clone())]),
        members: BTreeMap::new(),
        told: 0,
    };
    let mut own = Subsets::new(first.number, &[first], &[], &rule).expect("sound");
    let mut pulled: BTreeMap<i64, Own> = BTreeMap::new();
    for step in 0..120 {
        for _ in 0..all.chance.generate_range(1..4u32) {
            all.change(&mut own, weights);
        }
        while let Some((set, subset)) = own.next_change() {
            assert_ne!(pulled.get(&set), subset.as_ref(), "set {set} did not change");
            match subset {
                Some(subset) => pulled.insert(set, subset),
                None => pulled.remove(&set),
            };
        }
        assert_eq!(pulled, all.whole(&rule), "step {step}");
    }
}

/// Nothing of what is refused is taken.
#[rstest]
#[case::weight(|own: &mut Subsets| own.router(Router { number: 9, weight: -1.0 }), Refused::Weight("router 9".into()))]
#[case::itself(|own: &mut Subsets| own.router_left(0), Refused::NotTold(0))]
#[case::member(|own: &mut Subsets| own.member(Member { weight: f64::NAN, ..members(1, 1, 0, &[1.0]).remove(0) }), Refused::Weight("member n-09dbcf9d".into()))]
#[case::set(|own: &mut Subsets| (0..=SET_MOST).try_for_each(|i| own.member(Member { id: format!("s{i}"), ..members(1, 1, 0, &[1.0]).remove(0) })), Refused::SetTooLarge(0))]
#[case::routers(|own: &mut Subsets| (0..=ROUTERS_MOST as u64).try_for_each(|number| own.router(Router { number, weight: 1.0 })), Refused::TooManyRouters(8193))]
#[case::members(|own: &mut Subsets| (0..=MEMBERS_MOST as i64).try_for_each(|set| own.member(Member { id: format!("s{set}"), set, ..members(1, 1, 0, &[1.0]).remove(0) })), Refused::TooManyMembers(8193))]
fn a_change_that_makes_no_sense_is_refused(
    #[case] spoil: fn(&mut Subsets) -> Result<(), Refused>,
    #[case] why: Refused,
) {
    let mut own = Subsets::new(0, &numbered(3), &[], &Rule::default()).expect("sound");
    assert_eq!(spoil(&mut own), Err(why));
}

/// Routers that leave 2,100 and join them change no set, and none is worked out again; a member that goes, only its own.
#[rstest]
fn a_change_in_a_wide_fleet_costs_what_changed() {
    let told = members(3, 50, 4, &[1.0]);
    let mut own = Subsets::new(7, &numbered(2_100), &told, &Rule::default()).unwrap();
    assert_eq!(std::iter::from_fn(|| own.next_change()).count(), 50);
    for number in 100..500 {
        own.router_left(number).unwrap();
        assert_eq!(own.next_change(), None);
    }
    for number in (100..500).chain(2_100..2_400) {
        own.router(Router { number, weight: 1.0 }).unwrap();
        assert_eq!(own.next_change(), None);
    }
    assert_eq!(own.worked_out(), 50);
    own.member_left(&told[1].id);
    assert!(std::iter::from_fn(|| own.next_change()).all(|(set, _)| set == 0));
    assert_eq!(own.worked_out(), 51);
}
