//! What is given up when the host holds more bytes for clients than it has memory for: first the values of messages
//! that make no progress, then commands that no member takes, those first that are worth the least for their bytes, then
//! the values of other messages, then commands that were not offered to a member yet, then the clients whose messages
//! hold nothing that can be dropped, and last commands with small statements, which free next to nothing. A command with
//! an attempt in flight is never given up for memory.

use super::*;

/// A message of which nothing has arrived for this long makes no progress. A lost packet delays one for less.
const STALLED_AFTER: Tenths = SECOND / 2;
/// Statements of fewer bytes than this are given up only when nothing else is left.
const MIN_LARGE_STATEMENT: usize = 4_096;

impl Router {
    /// The steps by which the host gets memory back, in the order in which it is to take them until it has enough.
    pub fn reclaim_steps(&self, now: Tenths, messages: &[PartialMessage]) -> Vec<ReclaimStep> {
        let mut by_silence: Vec<usize> = (0..messages.len()).collect();
        by_silence.sort_by_key(|place| messages[*place].received_at);
        let shortened = by_silence.iter().copied().filter(|place| messages[*place].can_be_shortened);
        let (stalled, others): (Vec<usize>, Vec<usize>) =
            shortened.partition(|place| messages[*place].received_at + STALLED_AFTER <= now);
        let (large, small): (Vec<u64>, Vec<u64>) =
            self.waiting_by_worth(now).into_iter().partition(|key| self.is_large(*key));
        let (queued, new): (Vec<u64>, Vec<u64>) = large.into_iter().partition(|key| self.is_queued(*key));
        let give_up = |key: u64| ReclaimStep::GiveUp(self.open[&key].id.clone());
        let mut steps: Vec<ReclaimStep> = stalled.into_iter().map(ReclaimStep::Shorten).collect();
        steps.extend(queued.into_iter().map(give_up));
        steps.extend(others.into_iter().map(ReclaimStep::Shorten));
        steps.extend(new.into_iter().map(give_up));
        steps.extend(by_silence.into_iter().map(ReclaimStep::EndClient));
        steps.extend(small.into_iter().map(give_up));
        steps
    }

    /// Gives up a waiting command because the host needs the memory of its statement; the result answers it at once.
    /// None if the command is not waiting.
    pub fn give_up_for_memory(&mut self, now: Tenths, id: &str) -> Option<Decision> {
        let key = *self.key_by_id.get(id)?;
        self.open.get(&key).filter(|cmd| cmd.is_waiting())?;
        self.give_up(now, key, GaveUp::Memory);
        // The answer is the last decision: ending a command without attempts in flight adds no other.
        self.pending_decisions.pop_back()
    }

    /// The waiting commands that hold memory, the one worth least for its bytes first.
    fn waiting_by_worth(&self, now: Tenths) -> Vec<u64> {
        let holds_memory = |cmd: &OpenCommand| cmd.statement_bytes.is_some_and(|bytes| bytes > 0);
        let waiting = self.open.iter().filter(|(_, cmd)| cmd.is_waiting() && holds_memory(cmd));
        let rate = |(key, cmd): (&u64, &OpenCommand)| {
            (self.is_harmless_to_repeat(cmd), self.worth_per_byte(now, cmd), *key)
        };
        let mut rated: Vec<(bool, f64, u64)> = waiting.map(rate).collect();
        // One that may have run would fail, so those that are merely refused go first.
        rated.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
        rated.into_iter().map(|(.., key)| key).collect()
    }

    fn is_large(&self, key: u64) -> bool {
        self.open[&key].statement_bytes.is_some_and(|bytes| bytes >= MIN_LARGE_STATEMENT)
    }

    /// Whether a waiting command was offered to the members of its set, none of which took it.
    fn is_queued(&self, key: u64) -> bool {
        let cmd = &self.open[&key];
        let queue = self.sets.get(&cmd.set).and_then(|set| set.waiting.get(cmd.group_slot));
        queue.is_some_and(|queue| queue.contains(&(cmd.rank, Reverse(key))))
    }

    /// The benefit that keeping a waiting command promises for each byte of its statement. The longer it can still
    /// wait, the likelier what it waits for comes in time. Repeats, and commands of customers beyond their share, count
    /// less.
    fn worth_per_byte(&self, now: Tenths, cmd: &OpenCommand) -> f64 {
        let patience = (self.queue_deadline(now, cmd) - now).max(0) as f64;
        let benefit = self.groups.slots[cmd.group_slot].benefit / f64::from(1 + cmd.rank);
        benefit * patience / cmd.statement_bytes.unwrap_or(0).max(1) as f64
    }
}

#[cfg(test)]
mod tests;
