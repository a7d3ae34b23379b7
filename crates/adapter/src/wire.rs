//! The simulator's wire: frames of big-endian records turned into events, and actions into records.

use slipreel::{
    Action, AttemptEnded, CellId, ClassId, Engine, EngineId, EngineState, Event, KindId, Listing, LoadReport,
    Outcome, Request, RequestId, TenantId, TimerId, ZoneId,
};
use slipreel_platform_settings::Column;
use std::fmt;
use std::io::{self, Read};
use std::time::Duration;

/// A router's number on the wire.
pub type RouterId = u16;

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// A router comes up.
    Attach {
        /// Which.
        router: RouterId,
        /// For its random numbers.
        seed: u64,
        /// Its settings, `path=value` lines.
        profile: String,
    },
    /// A router is killed.
    Stop(RouterId),
    /// Something that the module is told.
    Event(RouterId, Event),
    /// A record of a code that is not known.
    Unknown,
}

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

/// Reads one frame without its length field; `None` at the end of the input. No more is allocated
/// than has come in, whatever length the frame claims.
pub fn read_frame(input: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut head = Vec::new();
    input.by_ref().take(4).read_to_end(&mut head)?;
    let Ok(length) = <[u8; 4]>::try_from(head.as_slice()) else {
        return if head.is_empty() { Ok(None) } else { Err(truncated(head.len())) };
    };
    let length = u32::from_be_bytes(length);
    let mut body = Vec::new();
    input.by_ref().take(u64::from(length)).read_to_end(&mut body)?;
    if body.len() < length as usize {
        return Err(truncated(4 + body.len()));
    }
    Ok(Some(body))
}

fn truncated(at: usize) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, format!("frame truncated at byte {at}"))
}

/// Big-endian fields, each checked against the end of its record.
struct Fields<'a> {
    bytes: &'a [u8],
    /// Place of the first byte within the frame.
    at: usize,
}

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize, why: &'static str) -> Result<&'a [u8], Malformed> {
        if n > self.bytes.len() {
            return Err(Malformed { at: self.at, why });
        }
        let (head, rest) = self.bytes.split_at(n);
        self.bytes = rest;
        self.at += n;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let bytes = self.take(N, "field runs past its record")?;
        Ok(bytes.try_into().expect("take gives N bytes"))
    }

    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// A length or load value; what is no number of 0 or more is absent.
    fn f32(&mut self) -> Result<Option<f64>, Malformed> {
        let value = f64::from(f32::from_be_bytes(self.array()?));
        Ok(Some(value).filter(|v| v.is_finite() && *v >= 0.0))
    }

    /// A time in milliseconds; what is no number of 0 or more is absent.
    fn millis(&mut self) -> Result<Option<Duration>, Malformed> {
        let ms = f64::from_be_bytes(self.array()?);
        Ok(Duration::try_from_secs_f64(ms / 1e3).ok())
    }

    fn engine(&mut self) -> Result<EngineId, Malformed> {
        let bytes: [u8; 6] = self.array()?;
        Ok(EngineId(bytes.iter().fold(0, |id, &b| id << 8 | u64::from(b))))
    }

    fn counted(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        self.take(n, "content is shorter than its count")
    }

    fn text(&mut self, n: usize) -> Result<String, Malformed> {
        Ok(String::from_utf8_lossy(self.counted(n)?).into_owned())
    }

    fn report(&mut self, columns: &[Column]) -> Result<LoadReport, Malformed> {
        let mut report = LoadReport::default();
        for i in 0..self.u8()? {
            let value = self.f32()?;
            match columns.get(usize::from(i)) {
                Some(Column::InFlight) => report.in_flight = value,
                Some(Column::Queued) => report.queued = value,
                Some(Column::SlotShare) => report.slot_share = value,
                Some(Column::MemoryShare) => report.memory_share = value,
                Some(Column::WaitingThousands) => report.waiting_tokens = value.map(|v| v * 1e3),
                Some(Column::Other) | None => {}
            }
        }
        Ok(report)
    }
}

/// A batch of records at one time.
pub struct Batch<'a> {
    /// The batch's clock; `None` if it holds no time.
    pub clock: Option<Duration>,
    fields: Fields<'a>,
    left: u32,
}

/// Opens a frame that [`read_frame`] has given.
pub fn open(frame: &[u8]) -> Result<Batch<'_>, Malformed> {
    let mut fields = Fields { bytes: frame, at: 4 };
    let clock = fields.millis()?;
    let left = fields.u32()?;
    Ok(Batch { clock, fields, left })
}

impl Batch<'_> {
    /// The next record; `columns` gives the report layout of a router.
    pub fn next<'c>(
        &mut self, columns: impl Fn(RouterId) -> &'c [Column],
    ) -> Result<Option<Input>, Malformed> {
        if self.left == 0 {
            return if self.fields.bytes.is_empty() {
                Ok(None)
            } else {
                Err(Malformed { at: self.fields.at, why: "bytes after the last record" })
            };
        }
        self.left -= 1;
        let code = self.fields.u8()?;
        let size = self.fields.u32()? as usize;
        let at = self.fields.at;
        let bytes = self.fields.take(size, "record runs past its frame")?;
        decode(code, Fields { bytes, at }, columns).map(Some)
    }
}

fn decode<'c>(
    code: u8, mut f: Fields, columns: impl Fn(RouterId) -> &'c [Column],
) -> Result<Input, Malformed> {
    if !(1..=11).contains(&code) {
        return Ok(Input::Unknown);
    }
    let router = f.u16()?;
    let event = match code {
        1 => {
            let seed = f.u64()?;
            let n = f.u32()? as usize;
            return Ok(Input::Attach { router, seed, profile: f.text(n)? });
        }
        10 => return Ok(Input::Stop(router)),
        2 => engines(&mut f)?,
        3 => Some(query(&mut f)?),
        4 => Some(first_token(&mut f)?),
        5 => ended(&mut f, columns(router))?,
        6 => Some(Event::ClientDisconnected(RequestId(f.u64()?))),
        7 => Some(Event::TimerFired(TimerId(f.u64()?))),
        8 => probed(&mut f, columns(router))?,
        9 => Some(peer_message(&mut f)?),
        _ => Some(place(&mut f)?),
    };
    Ok(event.map_or(Input::Unknown, |event| Input::Event(router, event)))
}

/// A list of engines; `None` where its mode is unknown.
fn engines(f: &mut Fields) -> Result<Option<Event>, Malformed> {
    let mode = f.u8()?;
    f.u32()?; // version
    let n = f.u32()?;
    let engines = (0..n).filter_map(|_| entry(f).transpose()).collect::<Result<_, _>>()?;
    let listing = match mode {
        0 => Listing::Changes,
        1 => Listing::Complete,
        2 => Listing::Cached,
        3 => Listing::Failed,
        _ => return Ok(None),
    };
    Ok(Some(Event::Engines { listing, engines }))
}

fn first_token(f: &mut Fields) -> Result<Event, Malformed> {
    let request = RequestId(f.u64()?);
    let latency = f.millis()?.unwrap_or_default();
    let attempt = usize::from(f.u16()?);
    f.engine()?;
    Ok(Event::FirstToken { request, attempt, latency })
}

/// The end of an attempt; `None` where its status is unknown.
fn ended(f: &mut Fields, columns: &[Column]) -> Result<Option<Event>, Malformed> {
    let request = RequestId(f.u64()?);
    let attempt = usize::from(f.u16()?);
    f.engine()?;
    let status = f.u16()?;
    let latency = f.millis()?.unwrap_or_default();
    let finished = f.u8()? != 0;
    let note = f.u32()?;
    let report = f.report(columns)?;
    let Some(outcome) = outcome(status, note) else { return Ok(None) };
    let kept_tokens = if outcome == Outcome::Prefilled { f64::from(note) } else { 0.0 };
    Ok(Some(Event::AttemptEnded(AttemptEnded {
        request,
        attempt,
        outcome,
        latency,
        request_finished: finished,
        cached_tokens: kept_tokens,
        report,
    })))
}

/// The answer to a probe; `None` where its status is unknown.
fn probed(f: &mut Fields, columns: &[Column]) -> Result<Option<Event>, Malformed> {
    let engine = f.engine()?;
    let status = f.u16()?;
    f.millis()?; // round trip
    let report = f.report(columns)?;
    Ok(outcome(status, 0).map(|outcome| Event::ProbeEnded { engine, outcome, report }))
}

fn peer_message(f: &mut Fields) -> Result<Event, Malformed> {
    let from = f.u32()?;
    let n = usize::from(f.u16()?);
    Ok(Event::PeerMessage { from, body: f.counted(n)?.to_vec() })
}

fn place(f: &mut Fields) -> Result<Event, Malformed> {
    let request = RequestId(f.u64()?);
    f.u16()?; // attempt
    let engine = f.engine()?;
    let held = f.u8()? == 1;
    f.f32()?;
    Ok(Event::ReservationAnswered { request, engine, granted: held })
}

fn entry(f: &mut Fields) -> Result<Option<Engine>, Malformed> {
    let readiness = f.u8()?;
    let kind = KindId(usize::from(f.u8()?));
    let zone = ZoneId(u32::from(f.u16()?));
    let started = f.millis()?.filter(|at| !at.is_zero());
    f.f32()?; // rating
    let cell = CellId(u32::from(f.u16()?));
    let id = f.engine()?;
    let state = match readiness {
        0 => EngineState::Ready,
        3 => EngineState::Draining,
        2 => EngineState::Gone,
        _ => return Ok(None),
    };
    Ok(Some(Engine { id, state, kind, zone, cell, started_at: started }))
}

fn query(f: &mut Fields) -> Result<Event, Malformed> {
    let id = RequestId(f.u64()?);
    let prefix = f.u64()?;
    let tenant = TenantId(usize::from(f.u16()?));
    let prompt_tokens = f.f32()?.unwrap_or(0.0);
    let class = ClassId(usize::from(f.u16()?));
    let flags = f.u8()?;
    let (repeat, resumes) = (flags & 2 != 0, flags & 16 != 0);
    f.f32()?; // length of the shared beginning
    let session = f.u64()?;
    let max_output_tokens = f.f32()?.unwrap_or(0.0);
    f.millis()?; // length hint
    let time_left = f.millis()?.unwrap_or_default();
    let shared_prefix = Some(prefix).filter(|&key| key != 0);
    Ok(Event::Request(Request {
        id,
        class,
        tenant,
        session,
        shared_prefix,
        prompt_tokens,
        max_output_tokens,
        client_timeout: time_left,
        complete_answer_timeout: None,
        is_retry: repeat,
        is_resumption: resumes,
    }))
}

fn outcome(status: u16, note: u32) -> Option<Outcome> {
    Some(match status {
        0 => Outcome::Error,
        1 => Outcome::Completed,
        2 => Outcome::Rejected { state_missing: note == 1 },
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        202 => Outcome::Prefilled,
        _ => return None,
    })
}

/// The reply to one batch.
#[derive(Default)]
pub struct Reply {
    records: Vec<(RouterId, Vec<u8>)>,
}

impl Reply {
    /// Adds what a router asks for.
    pub fn action(&mut self, router: RouterId, action: &Action) {
        let ms = |d: &Duration| (d.as_secs_f64() * 1e3).to_be_bytes();
        let (code, fields): (u8, Vec<u8>) = match action {
            Action::Fail(id) => (1, id.0.to_be_bytes().to_vec()),
            Action::CloseIdleConnections(engine) => (3, engine_bytes(*engine)),
            Action::MigrateStream(id) => (4, id.0.to_be_bytes().to_vec()),
            Action::WatchEngines(on) => (5, vec![u8::from(*on)]),
            Action::Log(line) => (6, counted(line.as_bytes())),
            Action::FetchEngines => (7, Vec::new()),
            Action::Send { request, engine, timeout: limit } => {
                let limit = limit.map_or([0; 8], |d| ms(&d));
                (8, [&request.0.to_be_bytes()[..], &engine_bytes(*engine), &limit].concat())
            }
            Action::Reject { request, retry_after, .. } => {
                let wait = retry_after.map_or([0; 8], |d| ms(&d));
                (9, [request.0.to_be_bytes(), wait].concat())
            }
            Action::Reserve { request, engine } => {
                (10, [&request.0.to_be_bytes()[..], &engine_bytes(*engine)].concat())
            }
            Action::Probe(engine) => (11, engine_bytes(*engine)),
            Action::SendToPeer { to, body } => {
                (12, [&to.unwrap_or(u16::MAX).to_be_bytes()[..], &counted(body)].concat())
            }
            Action::SetTimer { timer, after } => (13, [timer.0.to_be_bytes(), ms(after)].concat()),
            Action::Release(id) => (14, id.0.to_be_bytes().to_vec()),
            Action::Cancel { request, attempt } => {
                (15, [&request.0.to_be_bytes()[..], &(*attempt as u16).to_be_bytes()].concat())
            }
        };
        self.record(code, router, &fields);
    }

    /// Adds the report that a router's decisions have failed.
    pub fn fault(&mut self, router: RouterId, text: &str) {
        self.record(2, router, &counted(text.as_bytes()));
    }

    /// Takes back what a router has asked for in this batch: it was killed.
    pub fn forget(&mut self, router: RouterId) {
        self.records.retain(|(id, _)| *id != router);
    }

    fn record(&mut self, code: u8, router: RouterId, fields: &[u8]) {
        let size = (2 + fields.len() as u32).to_be_bytes();
        self.records.push((router, [&[code][..], &size, &router.to_be_bytes(), fields].concat()));
    }

    /// The whole frame.
    pub fn frame(&self) -> Vec<u8> {
        let length = 4 + self.records.iter().map(|(_, r)| r.len()).sum::<usize>() as u32;
        let mut frame = [length.to_be_bytes(), (self.records.len() as u32).to_be_bytes()].concat();
        self.records.iter().for_each(|(_, record)| frame.extend(record));
        frame
    }
}

fn engine_bytes(engine: EngineId) -> Vec<u8> {
    engine.0.to_be_bytes()[2..].to_vec()
}

/// Bytes behind their count, cut to what the count can say.
fn counted(bytes: &[u8]) -> Vec<u8> {
    let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
    [&(bytes.len() as u16).to_be_bytes()[..], bytes].concat()
}

#[cfg(test)]
mod tests;
