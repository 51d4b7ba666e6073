//! Ids that come again. A command's id is new for each command; where one comes again after its client has left, the command
//! may have run already, and the rule against running an effect twice counts its first attempt too.

use super::*;
use std::hash::{DefaultHasher, Hash, Hasher};

/// How many commands that may have run are remembered after their end. Some 50 bytes each.
const REMEMBERED_COMMANDS: usize = 16_384;

/// The attempts of ended commands that may have run, by a digest of the command's id. The oldest are forgotten first.
#[derive(Debug, Default)]
pub(super) struct PastAttempts {
    first_attempts: BTreeMap<u64, (Node, Tenths)>,
    by_age: VecDeque<u64>,
}

fn digest(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl PastAttempts {
    /// Remembers the first attempt that may have run of a command that has ended.
    fn remember(&mut self, id: &str, attempt: (Node, Tenths)) {
        let digest = digest(id);
        if self.first_attempts.contains_key(&digest) {
            return;
        }
        self.first_attempts.insert(digest, attempt);
        self.by_age.push_back(digest);
        if self.by_age.len() > REMEMBERED_COMMANDS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.first_attempts.remove(&oldest);
        }
    }

    /// The first attempt that may have run of an earlier command with this id.
    pub(super) fn attempt(&self, id: &str) -> Option<(Node, Tenths)> {
        self.first_attempts.get(&digest(id)).copied()
    }
}

impl Router {
    /// Remembers a command that has ended if it may have run and running again would do harm.
    pub(super) fn remember_attempt(&mut self, cmd: &OpenCommand) {
        let is_replayable = matches!(self.groups.slots[cmd.group_slot].effect, Effect::Replayable);
        if let Some(attempt) = cmd.may_have_run.filter(|_| !is_replayable) {
            self.past_attempts.remember(&cmd.id, attempt);
        }
    }
}

#[cfg(test)]
mod tests;
