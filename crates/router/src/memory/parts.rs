//! Adds up the bytes that the tables of the program hold, to be compared with the counts.

use super::Owner;
use crate::Program;
use crate::commands::NodeResult;
use crate::invariants::Violation;
use std::collections::BTreeMap;
use vetchkeel_log::log;

impl Program {
    /// Reports a violation if the tables hold other sums than were counted: then something keeps bytes that no table
    /// knows of.
    pub fn check_memory(&mut self) {
        for owner in Owner::ALL {
            let (counted, found) = (self.memory.used(owner), self.bytes_in_tables(owner));
            if counted != found {
                log!("memory: {counted} bytes are counted for {owner:?}, the tables hold {found}");
                self.report_violation("", Violation::BytesUnaccounted);
            }
        }
    }

    fn bytes_in_tables(&self, owner: Owner) -> usize {
        match owner {
            Owner::Input => self.clients.input_bytes(),
            Owner::Output => self.clients.output_bytes(),
            Owner::Statements => {
                // A command and the connection that carries it share one statement.
                let statements = self.commands.statements().chain(self.nodes.command_statements());
                let by_address: BTreeMap<*const u8, usize> =
                    statements.map(|s| (s.text.as_ptr(), s.text.len())).collect();
                by_address.values().sum()
            }
            Owner::Answers => {
                let queued = self.results.iter().map(|result| match result {
                    NodeResult::Dispatch { answer, .. } => answer.len(),
                    NodeResult::Role { .. } | NodeResult::Probe { .. } => 0,
                });
                self.nodes.answer_bytes() + queued.sum::<usize>()
            }
        }
    }
}
