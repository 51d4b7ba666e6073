use super::super::view::RouterState;
use super::super::worker::Heartbeat;
use super::*;
use rstest::rstest;
use rtrb::RingBuffer;
use vetchkeel_membership::{Name, Plan};

fn name(i: u16) -> Name {
    Name::new(&format!("r{i}")).expect("a name")
}

fn host() -> Host {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let (seeds, via) = (BTreeMap::new(), BTreeMap::new());
    let settings = FleetSettings { address, zone: None, seeds, via, plan: Plan::default() };
    Host::bind(name(0), settings, 1).expect("a port")
}

fn news_of(i: u16) -> Message {
    let address = SocketAddr::from(([127, 0, 0, 1], i));
    let from = Instance { name: name(i), start: Start { at: 1, count: 0 }, address, zone: None };
    Message { fleet: 0, from, incarnation: 0, body: Body::Gossip, claims: Vec::new() }
}

#[rstest]
fn full_view_is_sent_after_changes_were_lost_to_a_full_ring() {
    let mut host = host();
    let (updates, mut loops) = RingBuffer::new(2);
    let (_request, requests) = RingBuffer::new(1);
    let mut thread_side = ThreadSide { updates, requests, heartbeat: Heartbeat::new() };
    let now = host.clock.now();
    (1..=5).for_each(|i| host.membership.handle_message(now, &news_of(i)));
    host.run_decisions(&mut thread_side);
    let first = [loops.pop(), loops.pop()];
    assert!(first.iter().all(|update| matches!(update, Ok(FleetUpdate::Change(Change::Joined(_))))));
    assert!(loops.pop().is_err(), "three changes were not sent");
    host.run_decisions(&mut thread_side);
    let Ok(FleetUpdate::Full(view)) = loops.pop() else { panic!("the view") };
    assert_eq!(view.count(RouterState::Alive), 5);
}

#[rstest]
fn thread_ends_when_the_loop_has_ended() {
    let (updates, _loops) = RingBuffer::new(2);
    let (request, requests) = RingBuffer::new(1);
    drop(request);
    let mut thread_side = ThreadSide { updates, requests, heartbeat: Heartbeat::new() };
    assert_eq!(host().run(&mut thread_side, &|| {}), Ok(()));
}

/// Guards against a link that runs out of room for peers: routers restart under new names more often than it has room for.
#[rstest]
fn names_of_gone_routers_make_room_for_new_ones() {
    let mut host = host();
    let now = host.clock.now();
    let from = host.membership.me().clone();
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    for i in 0..8_200 {
        let body = Body::Ping { number: 1, to: name(i) };
        let asks = Message { fleet: 0, from: from.clone(), incarnation: 0, body, claims: Vec::new() };
        host.send(now, nobody, &asks);
        let sent =
            link_name(&name(i)).map(|to| host.sockets.send(now, &to, Channel::Datagram, MEMBERSHIP, b"x"));
        assert_eq!(sent, Some(Ok(0)), "r{i}");
    }
}
