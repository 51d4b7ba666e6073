//! How a router applies the changes and snapshots that it receives.

use super::Subscriber;
use crate::document::DocumentError;
use crate::parts::Part;
use crate::replica::Replica;
use crate::{Tenths, Version};

impl Subscriber {
    /// Applies changes.
    pub(super) fn apply_received(
        &mut self,
        now: Tenths,
        of: impl FnOnce(&mut Replica) -> Result<(), (Version, DocumentError)>,
    ) {
        let before = self.replica.version;
        let taken = of(&mut self.replica);
        self.record_progress(now, before);
        match taken {
            Ok(()) => {}
            Err((version, DocumentError::WrongBase { .. })) if version > self.replica.version => {
                self.ask_again(now)
            }
            // Requests a snapshot once, because the change alone may be damaged.
            Err((version, _)) if version > self.unusable_snapshot => {
                self.need_snapshot = true;
                self.ask_again(now);
            }
            Err(_) => {}
        }
    }

    /// Applies a part of a snapshot.
    pub(super) fn apply_snapshot_part(&mut self, now: Tenths, part: Part) {
        let before = self.replica.version;
        let taken = self.replica.add_part(part);
        self.record_progress(now, before);
        if let Err((version, bad)) = taken
            && version > self.unusable_snapshot
        {
            // Without this, the router would request an unusable snapshot again and again.
            self.unusable_snapshot = version;
            self.need_snapshot = false;
            self.refuse(now, version, bad.to_string());
        }
    }

    fn record_progress(&mut self, now: Tenths, before: Version) {
        let Some(link) = &mut self.link else { return };
        link.last_progress = now;
        if self.replica.version > before {
            link.consecutive_gaps = 0;
            link.retry_at = None;
            self.need_snapshot = false;
        }
    }

    fn ask_again(&mut self, now: Tenths) {
        let Some(link) = &mut self.link else { return };
        if link.retry_at.is_none() {
            link.retry_at =
                Some(now + ((self.plan.beat / 20) << link.consecutive_gaps.min(8)).min(self.plan.pause));
            link.consecutive_gaps += 1;
        }
    }
}
