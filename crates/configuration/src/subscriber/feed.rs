//! How a router applies the changes and snapshots that it receives.

use super::Subscriber;
use crate::document::Bad;
use crate::parts::Part;
use crate::replica::Replica;
use crate::{Tenths, Version};

impl Subscriber {
    /// Applies changes.
    pub(super) fn take(&mut self, now: Tenths, of: impl FnOnce(&mut Replica) -> Result<(), (Version, Bad)>) {
        let before = self.replica.version;
        let taken = of(&mut self.replica);
        self.fed(now, before);
        match taken {
            Ok(()) => {}
            Err((version, Bad::Base { .. })) if version > self.replica.version => self.ask_again(now),
            // Requests a snapshot once, because the change alone may be damaged.
            Err((version, _)) if version > self.spoilt => {
                self.whole = true;
                self.ask_again(now);
            }
            Err(_) => {}
        }
    }

    /// Applies a part of a snapshot.
    pub(super) fn take_whole(&mut self, now: Tenths, part: Part) {
        let before = self.replica.version;
        let taken = self.replica.part(part);
        self.fed(now, before);
        if let Err((version, bad)) = taken
            && version > self.spoilt
        {
            // Without this, the router would request an unusable snapshot again and again.
            self.spoilt = version;
            self.whole = false;
            self.refuse(now, version, bad.to_string());
        }
    }

    fn fed(&mut self, now: Tenths, before: Version) {
        let Some(link) = &mut self.link else { return };
        link.fed = now;
        if self.replica.version > before {
            link.gaps = 0;
            link.again = None;
            self.whole = false;
        }
    }

    fn ask_again(&mut self, now: Tenths) {
        let Some(link) = &mut self.link else { return };
        if link.again.is_none() {
            link.again = Some(now + ((self.plan.beat / 20) << link.gaps.min(8)).min(self.plan.pause));
            link.gaps += 1;
        }
    }
}
