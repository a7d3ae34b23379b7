//! Frames of the simulator's wire and the big-endian fields of their records.

use slipreel::{EngineId, LoadReport};
use slipreel_platform_settings::Column;
use std::fmt;
use std::io::{self, Read};
use std::time::Duration;

/// Bytes of a frame's length field.
const LENGTH_FIELD: usize = 4;

/// What is wrong with a frame, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    /// Byte within the frame, its length field counted.
    pub at: usize,
    /// What is wrong there.
    pub why: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "malformed frame at byte {}: {}", self.at, self.why)
    }
}

impl std::error::Error for Malformed {}

/// Reads one frame without its length field; `None` at the end of the input. No more is allocated
/// than has come in, whatever length the frame claims.
///
/// # Errors
/// The input can't be read, or ends within a frame.
pub fn read_frame(input: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut length = Vec::new();
    input.by_ref().take(LENGTH_FIELD as u64).read_to_end(&mut length)?;
    let Ok(length_field) = <[u8; LENGTH_FIELD]>::try_from(length.as_slice()) else {
        return if length.is_empty() { Ok(None) } else { Err(truncated(length.len())) };
    };
    let length = u32::from_be_bytes(length_field);
    let mut body = Vec::new();
    input.by_ref().take(u64::from(length)).read_to_end(&mut body)?;
    if body.len() < length as usize {
        return Err(truncated(LENGTH_FIELD + body.len()));
    }
    Ok(Some(body))
}

fn truncated(at: usize) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, format!("frame truncated at byte {at}"))
}

/// The big-endian fields of a record, each checked against the record's end.
pub(crate) struct FieldReader<'a> {
    bytes: &'a [u8],
    /// Place of the first byte within the frame, its length field counted.
    at: usize,
}

impl<'a> FieldReader<'a> {
    /// The fields of a frame without its length field.
    pub(crate) fn of_frame(frame: &'a [u8]) -> Self {
        FieldReader { bytes: frame, at: LENGTH_FIELD }
    }

    /// Takes the next bytes as a record of their own.
    pub(crate) fn record(&mut self, size: usize) -> Result<FieldReader<'a>, Malformed> {
        let at = self.at;
        let bytes = self.take(size, "record runs past its frame")?;
        Ok(FieldReader { bytes, at })
    }

    /// The place of the next byte within the frame.
    pub(crate) fn position(&self) -> usize {
        self.at
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    fn take(&mut self, count: usize, why: &'static str) -> Result<&'a [u8], Malformed> {
        if count > self.bytes.len() {
            return Err(Malformed { at: self.at, why });
        }
        let (taken, rest) = self.bytes.split_at(count);
        self.bytes = rest;
        self.at += count;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let bytes = self.take(N, "field runs past its record")?;
        Ok(bytes.try_into().expect("take gives N bytes"))
    }

    pub(crate) fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    pub(crate) fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    pub(crate) fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    pub(crate) fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// A length or load value; what is no number of 0 or more is absent.
    pub(crate) fn f32(&mut self) -> Result<Option<f64>, Malformed> {
        let value = f64::from(f32::from_be_bytes(self.array()?));
        Ok(Some(value).filter(|value| value.is_finite() && *value >= 0.0))
    }

    /// A time in milliseconds; what is no number of 0 or more is absent.
    pub(crate) fn millis(&mut self) -> Result<Option<Duration>, Malformed> {
        let millis = f64::from_be_bytes(self.array()?);
        Ok(Duration::try_from_secs_f64(millis / 1e3).ok())
    }

    /// An engine's id of six bytes.
    pub(crate) fn engine(&mut self) -> Result<EngineId, Malformed> {
        let bytes: [u8; 6] = self.array()?;
        Ok(EngineId(bytes.iter().fold(0, |id, &byte| id << 8 | u64::from(byte))))
    }

    /// Bytes whose count was read before.
    pub(crate) fn counted(&mut self, count: usize) -> Result<&'a [u8], Malformed> {
        self.take(count, "content is shorter than its count")
    }

    /// Text whose count of bytes was read before.
    pub(crate) fn text(&mut self, count: usize) -> Result<String, Malformed> {
        Ok(String::from_utf8_lossy(self.counted(count)?).into_owned())
    }

    /// A load report, in the order of the router's report columns.
    pub(crate) fn report(&mut self, columns: &[Column]) -> Result<LoadReport, Malformed> {
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
