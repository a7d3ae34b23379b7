//! The frames of the simulator's wire format and the big-endian fields of their records.

use slipreel::{EngineId, LoadReport};
use slipreel_platform_settings::Column;
use std::fmt;
use std::io::{self, Read};
use std::time::Duration;

/// The size of a frame's length field, in bytes.
const LENGTH_FIELD_SIZE: usize = 4;

/// A frame that can't be decoded.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedFrame {
    /// The offset of the error within the frame, including its length field.
    pub at: usize,
    /// What is wrong at that offset.
    pub reason: &'static str,
}

impl fmt::Display for MalformedFrame {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "malformed frame at byte {}: {}", self.at, self.reason)
    }
}

impl std::error::Error for MalformedFrame {}

/// Reads one frame and returns it without its length field; `None` at the end of the input. Memory is
/// allocated only for bytes that arrive, whatever length the frame claims.
///
/// # Errors
/// The input can't be read, or ends within a frame.
pub fn read_frame(input: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut length = Vec::new();
    input.by_ref().take(LENGTH_FIELD_SIZE as u64).read_to_end(&mut length)?;
    let Ok(length_field) = <[u8; LENGTH_FIELD_SIZE]>::try_from(length.as_slice()) else {
        return if length.is_empty() { Ok(None) } else { Err(truncated(length.len())) };
    };
    let length = u32::from_be_bytes(length_field);
    let mut body = Vec::new();
    input.by_ref().take(u64::from(length)).read_to_end(&mut body)?;
    if body.len() < length as usize {
        return Err(truncated(LENGTH_FIELD_SIZE + body.len()));
    }
    Ok(Some(body))
}

fn truncated(at: usize) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, format!("frame truncated at byte {at}"))
}

/// The big-endian fields of a record, each checked against the record's end.
pub(crate) struct FieldReader<'a> {
    bytes: &'a [u8],
    /// The offset of the first byte within the frame, including its length field.
    at: usize,
}

impl<'a> FieldReader<'a> {
    /// The fields of a frame without its length field.
    pub(crate) fn of_frame(frame: &'a [u8]) -> Self {
        FieldReader { bytes: frame, at: LENGTH_FIELD_SIZE }
    }

    /// Takes the next bytes as a record.
    pub(crate) fn record(&mut self, size: usize) -> Result<FieldReader<'a>, MalformedFrame> {
        let at = self.at;
        let bytes = self.take(size, "record runs past its frame")?;
        Ok(FieldReader { bytes, at })
    }

    /// The offset of the next byte within the frame.
    pub(crate) fn position(&self) -> usize {
        self.at
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    fn take(&mut self, count: usize, reason: &'static str) -> Result<&'a [u8], MalformedFrame> {
        if count > self.bytes.len() {
            return Err(MalformedFrame { at: self.at, reason });
        }
        let (taken, rest) = self.bytes.split_at(count);
        self.bytes = rest;
        self.at += count;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], MalformedFrame> {
        let bytes = self.take(N, "field runs past its record")?;
        Ok(bytes.try_into().expect("take gives N bytes"))
    }

    pub(crate) fn u8(&mut self) -> Result<u8, MalformedFrame> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    pub(crate) fn u16(&mut self) -> Result<u16, MalformedFrame> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    pub(crate) fn u32(&mut self) -> Result<u32, MalformedFrame> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    pub(crate) fn u64(&mut self) -> Result<u64, MalformedFrame> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// A length or load value; `None` if it is not a finite number of 0 or more.
    pub(crate) fn f32(&mut self) -> Result<Option<f64>, MalformedFrame> {
        let value = f64::from(f32::from_be_bytes(self.array()?));
        Ok(Some(value).filter(|value| value.is_finite() && *value >= 0.0))
    }

    /// A time in milliseconds; `None` if it is not a number of 0 or more, or is too large.
    pub(crate) fn millis(&mut self) -> Result<Option<Duration>, MalformedFrame> {
        let millis = f64::from_be_bytes(self.array()?);
        Ok(Duration::try_from_secs_f64(millis / 1e3).ok())
    }

    /// An engine's id of six bytes.
    pub(crate) fn engine(&mut self) -> Result<EngineId, MalformedFrame> {
        let bytes: [u8; 6] = self.array()?;
        Ok(EngineId(bytes.iter().fold(0, |id, &byte| id << 8 | u64::from(byte))))
    }

    /// Bytes whose count precedes them and was read already.
    pub(crate) fn counted(&mut self, count: usize) -> Result<&'a [u8], MalformedFrame> {
        self.take(count, "content is shorter than its count")
    }

    /// Text whose count of bytes precedes it and was read already.
    pub(crate) fn text(&mut self, count: usize) -> Result<String, MalformedFrame> {
        Ok(String::from_utf8_lossy(self.counted(count)?).into_owned())
    }

    /// A load report, in the order of the router's report columns.
    pub(crate) fn report(&mut self, columns: &[Column]) -> Result<LoadReport, MalformedFrame> {
        let mut report = LoadReport::default();
        for column in 0..self.u8()? {
            let value = self.f32()?;
            match columns.get(usize::from(column)) {
                Some(Column::InFlight) => report.in_flight = value,
                Some(Column::Queued) => report.queued = value,
                Some(Column::SlotShare) => report.slot_share = value,
                Some(Column::MemoryShare) => report.memory_share = value,
                Some(Column::WaitingThousands) => {
                    report.waiting_tokens = value.map(|thousands| thousands * 1e3);
                }
                Some(Column::Other) | None => {}
            }
        }
        Ok(report)
    }
}
