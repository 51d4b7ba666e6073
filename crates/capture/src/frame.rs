//! One frame: records to bytes and back.

use crate::record::{Ending, Record};
use std::collections::BTreeMap;
use std::sync::Arc;

pub(crate) const MARK: [u8; 4] = *b"VKF\x01";
/// Mark, length and sum.
pub(crate) const HEAD: usize = 12;
/// No frame is longer, packed or not: a length beyond that is damage.
pub(crate) const LONGEST: usize = 16 * 1024 * 1024;
const LEVEL: i32 = 3;

fn put(out: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

fn zigzag(value: i64) -> u64 {
    ((value << 1) ^ (value >> 63)) as u64
}

fn unzigzag(value: u64) -> i64 {
    (value >> 1) as i64 ^ -((value & 1) as i64)
}

/// Places of names, in the order in which they first come.
#[derive(Default)]
struct Names<'a> {
    places: BTreeMap<&'a str, u64>,
    order: Vec<&'a str>,
}

impl<'a> Names<'a> {
    fn place(&mut self, name: &'a str) -> u64 {
        let next = self.order.len() as u64;
        *self.places.entry(name).or_insert_with(|| {
            self.order.push(name);
            next
        })
    }
}

/// What a frame holds.
pub(crate) struct Frame {
    pub(crate) number: u64,
    pub(crate) dropped: u64,
    pub(crate) records: Vec<Record>,
}

/// The bytes of a frame, with mark, length and sum.
pub(crate) fn encode(number: u64, dropped: u64, records: &[Record]) -> std::io::Result<Vec<u8>> {
    let mut names = Names::default();
    let mut columns = Vec::new();
    let mut before = 0i64;
    for record in records {
        put(&mut columns, zigzag(record.arrived.wrapping_sub(before)));
        before = record.arrived;
    }
    records.iter().for_each(|r| put(&mut columns, names.place(&r.command_group)));
    for record in records {
        let place = record.customer.as_ref().map_or(0, |c| 1 + names.place(c));
        put(&mut columns, place);
    }
    for record in records {
        let place = record.member.as_ref().map_or(0, |m| 1 + names.place(m));
        put(&mut columns, place);
    }
    records.iter().for_each(|r| put(&mut columns, zigzag(r.set)));
    records.iter().for_each(|r| put(&mut columns, r.session));
    records.iter().for_each(|r| put(&mut columns, r.time_left));
    records.iter().for_each(|r| put(&mut columns, r.waited));
    records.iter().for_each(|r| put(&mut columns, r.latency));
    records.iter().for_each(|r| put(&mut columns, r.ending as u64));
    records.iter().for_each(|r| put(&mut columns, r.dispatches as u64));
    records.iter().for_each(|r| put(&mut columns, r.bytes));
    let mut body = Vec::with_capacity(columns.len() + 256);
    put(&mut body, number);
    put(&mut body, dropped);
    put(&mut body, names.order.len() as u64);
    for name in &names.order {
        put(&mut body, name.len() as u64);
        body.extend(name.bytes());
    }
    put(&mut body, records.len() as u64);
    body.extend(columns);
    let packed = zstd::encode_all(body.as_slice(), LEVEL)?;
    let mut out = Vec::with_capacity(packed.len() + HEAD);
    out.extend(MARK);
    out.extend((packed.len() as u32).to_be_bytes());
    out.extend(crc32fast::hash(&packed).to_be_bytes());
    out.extend(packed);
    Ok(out)
}

struct Bytes<'a>(&'a [u8]);

impl<'a> Bytes<'a> {
    fn number(&mut self) -> Option<u64> {
        let mut value = 0u64;
        for shift in (0..64).step_by(7) {
            let (&byte, rest) = self.0.split_first()?;
            self.0 = rest;
            value |= u64::from(byte & 0x7f).checked_shl(shift)?;
            if byte & 0x80 == 0 {
                return Some(value);
            }
        }
        None
    }

    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn column(&mut self, count: usize) -> Option<Vec<u64>> {
        (0..count).map(|_| self.number()).collect()
    }
}

/// Reads a body. None if it is not one.
pub(crate) fn decode(packed: &[u8]) -> Option<Frame> {
    let mut body = Vec::new();
    let mut unpacked = zstd::Decoder::new(packed).ok()?;
    std::io::Read::read_to_end(&mut std::io::Read::take(&mut unpacked, 8 * LONGEST as u64), &mut body)
        .ok()?;
    let mut bytes = Bytes(&body);
    let (number, dropped) = (bytes.number()?, bytes.number()?);
    let mut names: Vec<Arc<str>> = Vec::new();
    for _ in 0..bytes.number()? {
        let length = bytes.number()? as usize;
        names.push(Arc::from(std::str::from_utf8(bytes.take(length)?).ok()?));
    }
    let count = usize::try_from(bytes.number()?).ok().filter(|c| *c <= body.len())?;
    let mut arrived = Vec::with_capacity(count);
    let mut before = 0i64;
    for difference in bytes.column(count)? {
        before = before.wrapping_add(unzigzag(difference));
        arrived.push(before);
    }
    let columns: Vec<Vec<u64>> = (0..11).map(|_| bytes.column(count)).collect::<Option<_>>()?;
    let name = |place: u64| names.get(place as usize).cloned();
    let optional = |place: u64| if place == 0 { Some(None) } else { name(place - 1).map(Some) };
    let record = |i: usize| {
        Some(Record {
            arrived: arrived[i],
            command_group: name(columns[0][i])?,
            customer: optional(columns[1][i])?,
            member: optional(columns[2][i])?,
            set: unzigzag(columns[3][i]),
            session: columns[4][i],
            time_left: columns[5][i],
            waited: columns[6][i],
            latency: columns[7][i],
            ending: *Ending::ALL.get(columns[8][i] as usize)?,
            dispatches: u32::try_from(columns[9][i]).ok()?,
            bytes: columns[10][i],
        })
    };
    let records = (0..count).map(record).collect::<Option<Vec<Record>>>()?;
    Some(Frame { number, dropped, records })
}
