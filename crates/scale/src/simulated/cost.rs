//! Processor time by role, measured around each call with this thread's clock.

use rustix::time::{ClockId, clock_gettime};

/// What processor time is spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A router: the list's bytes to rows.
    List,
    /// A router: rows into the module's tables.
    Module,
    Membership,
    Signals,
    /// A router's side of the configuration.
    Configuration,
    ControlMachine,
}

impl Role {
    pub const ALL: [Role; 6] = [
        Role::List,
        Role::Module,
        Role::Membership,
        Role::Signals,
        Role::Configuration,
        Role::ControlMachine,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Role::List => "list",
            Role::Module => "module",
            Role::Membership => "membership",
            Role::Signals => "signals",
            Role::Configuration => "configuration",
            Role::ControlMachine => "control machine",
        }
    }
}

/// Nanoseconds and calls by role.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    nanos: [u64; 6],
    calls: [u64; 6],
}

impl Costs {
    /// Does it, and adds what it cost.
    pub fn of<T>(&mut self, role: Role, what: impl FnOnce() -> T) -> T {
        let before = thread_nanos();
        let done = what();
        self.nanos[role as usize] += thread_nanos() - before;
        self.calls[role as usize] += 1;
        done
    }

    pub fn nanos(&self, role: Role) -> u64 {
        self.nanos[role as usize]
    }

    pub fn calls(&self, role: Role) -> u64 {
        self.calls[role as usize]
    }
}

/// This thread's processor time.
fn thread_nanos() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}
