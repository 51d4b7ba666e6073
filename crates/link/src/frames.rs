//! Framing of messages on a connection: each message follows its length, 4 bytes, big-endian.

/// Buffer capacity kept between frames, in bytes.
const RETAINED_CAPACITY: usize = 64 * 1_024;

/// Receive buffer that splits a byte stream into frames. Holds at most one incomplete frame and the bytes pushed
/// last.
#[derive(Debug, Default)]
pub(crate) struct Frames {
    bytes: Vec<u8>,
    consumed: usize,
}

impl Frames {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        if self.bytes.is_empty() && self.bytes.capacity() > RETAINED_CAPACITY {
            self.bytes.shrink_to(RETAINED_CAPACITY);
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete frame. The error is an announced length over the maximum, after which nothing
    /// further can be read.
    pub(crate) fn next_frame(&mut self, max_bytes: usize) -> Result<Option<&[u8]>, u64> {
        let rest = &self.bytes[self.consumed..];
        let Some((length, rest)) = rest.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        // Danger: a peer may announce a length and never send the bytes, so memory is allocated for received
        // bytes only.
        if length > max_bytes {
            return Err(length as u64);
        }
        let Some(frame) = rest.get(..length) else { return Ok(None) };
        self.consumed += 4 + length;
        Ok(Some(frame))
    }
}

/// Appends a frame to the output buffer.
pub(crate) fn put_frame(out: &mut Vec<u8>, frame: &[u8]) {
    out.extend((frame.len() as u32).to_be_bytes());
    out.extend(frame);
}
