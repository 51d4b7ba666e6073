//! The layout of the control file that a test shares with the fault-injection library: 64 words of 64 bits.

/// A fault of a system call: an error, a partial transfer or a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Fault {
    /// A write to a socket is partial.
    ShortSend,
    /// `EINTR` from a write to a socket.
    InterruptedSend,
    /// `EAGAIN` from a write to a socket whose buffer has space.
    BlockedSend,
    /// `ENOBUFS` from a write to a socket.
    NoBufferSend,
    /// A read of a socket returns a part of the bytes that have arrived.
    ShortReceive,
    /// `EINTR` from a read of a socket.
    InterruptedReceive,
    /// `EAGAIN` from a read of a socket that has bytes to read.
    BlockedReceive,
    /// The connection is shut down, and a read fails with `ETIMEDOUT` or `EHOSTUNREACH`.
    BrokenReceive,
    /// `EADDRNOTAVAIL`, `ENETUNREACH` or `ENOBUFS` from a connect.
    FailedConnect,
    /// `EINTR` from a connect that continues in the background.
    InterruptedConnect,
    /// `ENFILE` or `ENOBUFS` from the creation of a socket.
    FailedSocket,
    /// `ECONNABORTED`, `ENFILE`, `ENOBUFS`, `EMFILE` or `EAGAIN` from an accept.
    FailedAccept,
    /// `EINTR` from a poll.
    InterruptedPoll,
    /// `EINTR` from a read of a descriptor that is not a socket.
    InterruptedRead,
    /// `EPIPE`, `ENOSPC` or `EIO` from a write to the standard error stream.
    FailedLog,
    /// A delay of 100 to 150 ms between reading the monotonic clock and returning its time, at most once in 300 ms.
    ClockStall,
    /// A delay of 100 to 150 ms before a gathered write to a socket, which is how the router writes to members.
    DelayedSend,
    /// A delay of 300 ms before a read of a socket, as a page fault or a busy machine may cause.
    DelayedReceive,
    /// A delay of 100 to 150 ms before a plain write to a socket, which is how the router opens connections.
    DelayedPlainSend,
    /// A delay of 100 to 150 ms after a gathered write to a socket, before the call returns.
    DelayedSendReturn,
}

/// The number of faults.
pub const FAULTS: usize = 20;
/// The words before this one hold the rate of each fault, in a million calls. From this one on they count how often each fault
/// has been injected.
pub const INJECTED: usize = 20;
/// The offset of the wall clock in microseconds, as a signed number.
pub const WALL_CLOCK: usize = 40;
/// The seed of the library's random numbers.
pub const SEED: usize = 41;
/// While this is not 0, no call is delayed; it may still fail.
pub const DELAYS_OFF: usize = 42;
/// The delay of each `fsync`, in milliseconds.
pub const SYNC_DELAY: usize = 43;
pub const WORDS: usize = 64;
