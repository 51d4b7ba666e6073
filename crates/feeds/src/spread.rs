//! Which gateway a subscription belongs to: rendezvous hashing with bounded loads. A gateway that comes or goes moves
//! only its own share, and none holds much more than its fair one.

use crate::words::{GatewayId, SubId};
use nanorand::{Rng, WyRand};

/// A gateway as the membership tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    pub id: GatewayId,
    /// Subscriptions that it may hold: its weight.
    pub room: u32,
    pub held: u32,
    /// It takes nothing more.
    pub draining: bool,
}

fn mixed(sub: SubId, gateway: GatewayId) -> u64 {
    WyRand::new_seed(sub.0 ^ u64::from(gateway.0).wrapping_mul(0x9E37_79B9_7F4A_7C15)).generate()
}

/// How much a subscription wants to be there: weighted rendezvous by -weight / ln(hash), so that each gateway gets its
/// part by weight and the order of the others stays when one goes.
fn wish(sub: SubId, gateway: GatewayId, weight: u32) -> f64 {
    let unit = ((mixed(sub, gateway) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(weight) / unit.ln()
}

/// Gateways in a subscription's order, the most wanted first.
pub fn preference(sub: SubId, gateways: &[Place]) -> Vec<GatewayId> {
    let mut order: Vec<(f64, GatewayId)> =
        gateways.iter().filter(|p| p.room > 0).map(|p| (wish(sub, p.id, p.room), p.id)).collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    order.into_iter().map(|(_, id)| id).collect()
}

/// The most that each may hold: `uneven` percent of its fair part of all that is held, its room at most.
pub fn caps(places: &[Place], uneven: u64) -> Vec<(GatewayId, u32)> {
    let open = || places.iter().filter(|p| !p.draining);
    let all: u64 = places.iter().map(|p| u64::from(p.held)).sum();
    let weights: u64 = open().map(|p| u64::from(p.room)).sum();
    open()
        .map(|p| {
            let fair = (all * uneven * u64::from(p.room)).div_ceil(weights.max(1) * 100);
            (p.id, u32::try_from(fair).unwrap_or(u32::MAX).min(p.room))
        })
        .collect()
}

/// Where `mine` of the gateway `me` should go: the ones that want to be where there is room, and, where `me` holds
/// more than its bound, those that want to be here least. At most one choice a subscription, in the order in which
/// they should move. Nothing moves from a gateway within its bound to one that would pass its own.
pub fn moves(
    me: GatewayId,
    mine: impl Iterator<Item = SubId>,
    places: &[Place],
    uneven: u64,
) -> Vec<(SubId, GatewayId)> {
    let mut free: Vec<(GatewayId, i64)> = caps(places, uneven)
        .into_iter()
        .map(|(id, cap)| {
            let held = places.iter().find(|p| p.id == id).map_or(0, |p| p.held);
            (id, i64::from(cap) - i64::from(held))
        })
        .collect();
    let mine: Vec<SubId> = mine.collect();
    let over = match free.iter().find(|(id, _)| *id == me) {
        Some((_, room)) => usize::try_from(-*room).unwrap_or(0),
        // Not among those that may hold any: all go.
        None => mine.len(),
    };
    let mut moved = Vec::new();
    let mut unwilling: Vec<(usize, SubId, Vec<GatewayId>)> = Vec::new();
    for sub in mine {
        let order = preference(sub, places);
        let here = order.iter().position(|g| *g == me).unwrap_or(order.len());
        let wanted = order[..here].iter().find_map(|g| taken(&mut free, *g));
        match wanted {
            Some(to) => moved.push((sub, to)),
            None => unwilling.push((here, sub, order)),
        }
    }
    let still = over.saturating_sub(moved.len());
    unwilling.sort_by_key(|(here, sub, _)| (std::cmp::Reverse(*here), *sub));
    for (_, sub, order) in unwilling.into_iter().take(still) {
        let others = order.into_iter().filter(|g| *g != me);
        if let Some(to) = others.into_iter().find_map(|g| taken(&mut free, g)) {
            moved.push((sub, to));
        }
    }
    moved
}

fn taken(free: &mut [(GatewayId, i64)], gateway: GatewayId) -> Option<GatewayId> {
    let (id, room) = free.iter_mut().find(|(id, room)| *id == gateway && *room > 0)?;
    *room -= 1;
    Some(*id)
}
