//! Messages on a connection: each after its length, 4 bytes, big-endian.

/// Room that is kept between frames. Bytes.
const KEPT: usize = 64 * 1_024;

/// Bytes as they come in, taken out frame by frame. Holds one unfinished frame and what was pushed last.
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

    /// The next whole frame. The error: a length over `most`, with which nothing further can be read.
    pub(crate) fn next_frame(&mut self, most: usize) -> Result<Option<&[u8]>, u64> {
        let rest = &self.bytes[self.taken..];
        let Some((length, rest)) = rest.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        // Danger: an announced length is not yet a sent one. Room is made for bytes that came, not for promised ones.
        if length > most {
            return Err(length as u64);
        }
        let Some(frame) = rest.get(..length) else { return Ok(None) };
        self.taken += 4 + length;
        Ok(Some(frame))
    }
}

/// Adds a frame to what is to be written.
pub(crate) fn put(out: &mut Vec<u8>, frame: &[u8]) {
    out.extend((frame.len() as u32).to_be_bytes());
    out.extend(frame);
}
