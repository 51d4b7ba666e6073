//! A desk's side of its subscription: the fence, the position check, and the way to another gateway.

use crate::spread::{Place, preference};
use crate::terms::Terms;
use crate::words::{FeedId, GatewayId, Item, Message, Point, SubId, Tenths};
use std::collections::VecDeque;

/// The resume token: where the desk stands, and the newest epoch that it used. Kept before anything is sent under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Token {
    pub feed: FeedId,
    pub epoch: u64,
    pub at: Point,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Kept before what follows it is done.
    Record(Token),
    /// A step for the application, in order, each once.
    Take(Item),
    Send {
        to: GatewayId,
        message: Message,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Goes to the next gateway at that time, or to the one that told it a slot.
    Away {
        until: Tenths,
        slot: Option<Tenths>,
    },
    /// Asked `gateway`, and asked again at `again`.
    Seeking {
        since: Tenths,
        again: Tenths,
        slot: Option<Tenths>,
    },
    Attached {
        heard: Tenths,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Desk {
    sub: SubId,
    terms: Terms,
    token: Token,
    order: Vec<GatewayId>,
    /// Which one of the order is next.
    turn: usize,
    /// Whom it listens to under its epoch.
    gateway: Option<GatewayId>,
    state: State,
    /// Bound to the gateway that it echoed last until then, unless let go.
    fence_until: Tenths,
    fenced: u64,
    out: VecDeque<Decision>,
}

impl Desk {
    /// A desk that begins, or begins again, with its token. It may have been bound when it stopped, so the fence is
    /// waited out.
    pub fn new(now: Tenths, sub: SubId, terms: Terms, token: Token, gateways: &[Place]) -> Desk {
        let fence_until = if token.epoch > 0 { now + terms.fence } else { now };
        let state = State::Away { until: fence_until, slot: None };
        let mut desk = Desk {
            sub,
            terms,
            token,
            order: Vec::new(),
            turn: 0,
            gateway: None,
            state,
            fence_until,
            fenced: 0,
            out: VecDeque::new(),
        };
        desk.on_gateways(gateways);
        desk
    }

    pub fn token(&self) -> Token {
        self.token
    }

    /// The gateway that it listens to.
    pub fn gateway(&self) -> Option<GatewayId> {
        self.gateway.filter(|_| matches!(self.state, State::Attached { .. }))
    }

    /// Pushes refused because their epoch was over.
    pub fn fenced(&self) -> u64 {
        self.fenced
    }

    /// The gateways there are, for the next search.
    pub fn on_gateways(&mut self, gateways: &[Place]) {
        self.order = preference(self.sub, gateways);
        self.turn = 0;
    }

    pub fn wake_at(&self) -> Tenths {
        if !self.out.is_empty() {
            return Tenths::MIN;
        }
        match self.state {
            State::Away { until, .. } => until,
            State::Seeking { since, again, .. } => {
                again.min((since + self.terms.attempt).max(self.fence_until))
            }
            State::Attached { heard } => (heard + self.terms.silence).max(self.fence_until),
        }
    }

    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        if self.out.is_empty() && now >= self.wake_at() {
            match self.state {
                State::Away { slot, .. } => self.seek(now, slot),
                State::Attached { .. } => {
                    self.turn += 1;
                    self.seek(now, None);
                }
                // Danger: one that was only asked may hold the rest of a lease that was given to it.
                State::Seeking { since, .. } if now >= (since + self.terms.attempt).max(self.fence_until) => {
                    self.turn += 1;
                    self.seek(now, None);
                }
                State::Seeking { since, slot, .. } => {
                    self.state = State::Seeking { since, again: now + self.terms.resend, slot };
                    self.resume(slot);
                }
            }
        }
        self.out.pop_front()
    }

    fn seek(&mut self, now: Tenths, slot: Option<Tenths>) {
        match self.order.get(self.turn % self.order.len().max(1)).copied() {
            Some(gateway) => self.attempt(now, gateway, slot),
            None => self.state = State::Away { until: now + self.terms.rest, slot: None },
        }
    }

    /// Goes to a gateway under an epoch of its own.
    fn attempt(&mut self, now: Tenths, gateway: GatewayId, slot: Option<Tenths>) {
        self.token.epoch += 1;
        self.gateway = Some(gateway);
        self.state = State::Seeking { since: now, again: now + self.terms.resend, slot };
        self.out.push_back(Decision::Record(self.token));
        self.resume(slot);
    }

    fn resume(&mut self, slot: Option<Tenths>) {
        let Token { feed, epoch, at } = self.token;
        let message = Message::Resume { sub: self.sub, feed, epoch, at, slot };
        self.send(message);
    }

    fn send(&mut self, message: Message) {
        if let Some(to) = self.gateway {
            self.out.push_back(Decision::Send { to, message });
        }
    }

    pub fn on_message(&mut self, now: Tenths, from: GatewayId, message: Message) {
        match message {
            Message::Push { sub, epoch, stamp, items } if sub == self.sub => {
                // Danger: a gateway that was paused between its choice and its send pushes late; taking that would
                // mix two senders.
                if !self.listens(from, epoch) {
                    self.fenced += u64::from(!items.is_empty());
                    if epoch < self.token.epoch {
                        let gone = Message::Gone { sub, epoch: self.token.epoch };
                        self.out.push_back(Decision::Send { to: from, message: gone });
                    }
                    return;
                }
                self.state = State::Attached { heard: now };
                self.fence_until = now + self.terms.fence;
                let mut again = false;
                for item in items {
                    again |= self.take(item);
                }
                self.send(Message::Ack { sub, epoch, at: self.token.at, echo: stamp, again });
            }
            Message::Go { sub, epoch, to } if sub == self.sub => {
                if self.listens(from, epoch) {
                    // Let go for that one; any other waits for the fence.
                    self.attempt(now, to, None);
                } else if epoch < self.token.epoch {
                    let gone = Message::Gone { sub, epoch: self.token.epoch };
                    self.out.push_back(Decision::Send { to: from, message: gone });
                }
            }
            Message::Later { sub, epoch, after, slot, elsewhere, ended }
                if sub == self.sub && self.listens(from, epoch) =>
            {
                // Danger: a doubled token may be refused and then taken. Once the desk has echoed a stamp under this
                // epoch, a refusal of it lets go of nothing.
                if !ended && matches!(self.state, State::Attached { .. }) {
                    return;
                }
                self.fence_until = now;
                if elsewhere {
                    self.turn += 1;
                }
                // A whole round of refusals: not again at once.
                let round = elsewhere && self.turn.is_multiple_of(self.order.len().max(1));
                let until = now + if round { after.max(self.terms.attempt) } else { after };
                self.gateway = None;
                self.state = State::Away { until, slot };
            }
            _ => {}
        }
    }

    fn listens(&self, from: GatewayId, epoch: u64) -> bool {
        self.gateway == Some(from) && epoch == self.token.epoch
    }

    /// Takes an item that begins where the desk stands; whether something before it is missing.
    fn take(&mut self, item: Item) -> bool {
        if item.after != self.token.at {
            return item.after > self.token.at;
        }
        self.token.at = item.next;
        self.out.push_back(Decision::Take(item));
        self.out.push_back(Decision::Record(self.token));
        false
    }
}

#[cfg(test)]
impl Desk {
    /// For the model: what was counted decides nothing.
    pub(crate) fn level(&mut self) {
        self.fenced = 0;
    }
}
