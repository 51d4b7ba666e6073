//! How long ago the last bytes of a connection came, as the system knows it: after the process has stood still,
//! or from the queue of those to be accepted, bytes are read well after they came.

use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use vetchkeel::Tenths;

/// The system counts in ticks of up to 10 ms; what is shorter is none.
pub const CERTAIN: Tenths = 120;

/// What the system knows of a connection; None where it does not say.
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

/// 0 where it can't be known or is too short to be certain.
pub fn waited(stream: &TcpStream) -> Tenths {
    let age = info(stream).map_or(0, |info| Tenths::from(info.tcpi_last_data_recv) * 10);
    if age >= CERTAIN { age } else { 0 }
}

/// True where the last bytes came, by the system's ticks, no earlier than the last were sent.
pub fn came_after_sent(stream: &TcpStream) -> bool {
    info(stream).is_some_and(|info| info.tcpi_last_data_recv <= info.tcpi_last_data_sent)
}

#[cfg(test)]
mod tests;
