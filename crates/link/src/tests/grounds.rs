//! Where the contract is played.

use crate::contract::{Ground, bounds};
use crate::fault::Fault;
use crate::{Kinds, Memory, Name, Network, Sender, Tenths};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A network in memory, each of its directions with one fault.
pub struct Simulated {
    network: Network,
    now: Tenths,
    fault: Fault,
    names: BTreeSet<Name>,
}

impl Simulated {
    pub fn new(seed: u64, fault: Fault) -> Simulated {
        Simulated { network: Network::new(seed), now: 0, fault, names: BTreeSet::new() }
    }
}

impl Ground for Simulated {
    type T = Memory;

    fn start(&mut self, me: Sender, kinds: Kinds) -> Memory {
        self.names.insert(me.name.clone());
        for (from, to) in self.names.iter().flat_map(|f| self.names.iter().map(move |t| (f, t))) {
            self.network.set(self.now, from, to, self.fault);
        }
        self.network.start(self.now, me, kinds, bounds())
    }

    fn address(&mut self, _: &Name, to: &Name) -> SocketAddr {
        self.network.address(to)
    }

    fn now(&self) -> Tenths {
        self.now
    }

    fn pass(&mut self, time: Tenths) {
        self.now += time;
    }

    fn inject(&mut self, to: &Name, datagram: &[u8]) -> bool {
        self.network.inject(self.now, to, datagram.to_vec());
        true
    }

    fn is_faulty(&self) -> bool {
        self.fault != Fault::default()
    }
}
