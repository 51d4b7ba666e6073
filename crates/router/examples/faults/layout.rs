//! The control file that a test shares with the library of failing system calls: 64 words of 64 bits.

/// A system call that fails, or does less than it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Fault {
    /// A socket takes a part of what is written.
    ShortSend,
    /// `EINTR` from a write to a socket.
    InterruptedSend,
    /// `EAGAIN` from a write to a socket that could take more.
    RefusedSend,
    /// `ENOBUFS` from a write to a socket.
    StarvedSend,
    /// A socket hands out a part of what has come.
    ShortReceive,
    /// `EINTR` from a read of a socket.
    InterruptedReceive,
    /// `EAGAIN` from a read of a socket on which bytes lie.
    RefusedReceive,
    /// The connection breaks, and a read says `ETIMEDOUT` or `EHOSTUNREACH`.
    BrokenReceive,
    /// `EADDRNOTAVAIL`, `ENETUNREACH` or `ENOBUFS` from a connect.
    FailedConnect,
    /// `EINTR` from a connect that goes on.
    InterruptedConnect,
    /// `ENFILE` or `ENOBUFS` from the call for a socket.
    FailedSocket,
    /// `ECONNABORTED`, `ENFILE`, `ENOBUFS`, `EMFILE` or `EAGAIN` from an accept.
    FailedAccept,
    /// `EINTR` from a poll.
    InterruptedPoll,
    /// `EINTR` from a read of a descriptor that is no socket.
    InterruptedRead,
    /// `EPIPE`, `ENOSPC` or `EIO` from a write to the standard error stream.
    FailedLog,
    /// 100 to 150 ms pass between reading the monotonic clock and returning its time, once in 300 ms at most.
    HeldUp,
    /// 100 to 150 ms pass before a gathered write to a socket, as the program writes to members.
    HeldSend,
    /// 300 ms pass before a read of a socket, as a page fault or a busy machine may take.
    HeldReceive,
    /// 100 to 150 ms pass before a plain write to a socket, as the program opens connections.
    HeldOpening,
    /// 100 to 150 ms pass behind a gathered write to a socket, before its caller goes on.
    HeldSent,
}

pub const FAULTS: usize = 20;
/// The words before: how often each fault comes, in a million calls. From here on: how often it has come.
pub const INJECTED: usize = 20;
/// By how many microseconds the wall clock is wrong; a signed number.
pub const WALL_CLOCK: usize = 40;
/// What the library's random numbers start from.
pub const SEED: usize = 41;
pub const WORDS: usize = 64;
