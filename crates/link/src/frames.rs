//! Framing of messages on a connection: each message follows its length, 4 bytes, big-endian.

/// Buffer capacity kept between frames, in bytes.
const KEPT: usize = 64 * 1_024;

/// Receive buffer that splits a byte stream into frames. Holds at most one incomplete frame and the bytes pushed
/// last.
#[derive(Debug, Default)]
pub(crate) struct Frames {
    bytes: Vec<u8>,
    taken: usize,
}

impl Frames {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.taken);
        self.taken = 0;
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes.shrink_to(KEPT);
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete frame. The error is an announced length over the maximum, after which nothing
    /// further can be read.
    pub(crate) fn next_frame(&mut self, most: usize) -> Result<Option<&[u8]>, u64> {
        let rest = &self.bytes[self.taken..];
        let Some((length, rest)) = rest.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        // Danger: a peer may announce a length and never send the bytes, so memory is allocated for received
        // bytes only.
        if length > most {
            return Err(length as u64);
        }
        let Some(frame) = rest.get(..length) else { return Ok(None) };
        self.taken += 4 + length;
        Ok(Some(frame))
    }
}

/// Appends a frame to the output buffer.
pub(crate) fn put(out: &mut Vec<u8>, frame: &[u8]) {
    out.extend((frame.len() as u32).to_be_bytes());
    out.extend(frame);
}
