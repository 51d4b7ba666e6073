//! How long ago a connection was established and its last bytes arrived, according to the kernel (`TCP_INFO`): after a
//! stall of the process, or from the accept queue, bytes are read well after their arrival.

use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use vetchkeel::Tenths;

/// The smallest age that is reported: the kernel counts in ticks of up to 10 ms, so shorter ages count as 0.
pub const MIN_AGE: Tenths = 120;

/// The kernel's `TCP_INFO` of a connection; None if it is not available.
fn info(stream: &TcpStream) -> Option<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut size = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the system writes at most `size` bytes to `info`, for which all zeroes is a value as well.
    unsafe {
        let to = info.as_mut_ptr().cast();
        let failed =
            libc::getsockopt(stream.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_INFO, to, &mut size) != 0;
        (!failed).then(|| info.assume_init())
    }
}

/// The time since the last bytes arrived; 0 if it is unknown or below `MIN_AGE`.
pub fn time_since_last_receive(stream: &TcpStream) -> Tenths {
    let age = info(stream).map_or(0, |info| Tenths::from(info.tcpi_last_data_recv) * 10);
    if age >= MIN_AGE { age } else { 0 }
}

/// The time since the connection was established, for a connection on which nothing has been sent: until the first send,
/// the kernel counts the time since the last one from there.
pub fn time_since_connected(stream: &TcpStream) -> Option<Tenths> {
    info(stream).map(|info| Tenths::from(info.tcpi_last_data_sent) * 10 + MIN_AGE)
}

/// True if, by the kernel's ticks, the last bytes arrived no earlier than the last ones were sent.
pub fn last_received_after_last_sent(stream: &TcpStream) -> bool {
    info(stream).is_some_and(|info| info.tcpi_last_data_recv <= info.tcpi_last_data_sent)
}

#[cfg(test)]
mod tests;
