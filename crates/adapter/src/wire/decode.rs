//! Decodes the records of a batch into inputs of routers.

use super::frame::{FieldReader, MalformedFrame};
use slipreel::{
    AttemptEnded, CellId, ClassId, Engine, EngineState, Event, KindId, Listing, Outcome, Request, RequestId,
    TenantId, TimerId, ZoneId,
};
use slipreel_platform_settings::Column;
use std::time::Duration;

/// The codes of the records that the simulator sends.
mod code {
    pub(super) const ATTACH: u8 = 1;
    pub(super) const ENGINES: u8 = 2;
    pub(super) const REQUEST: u8 = 3;
    pub(super) const FIRST_TOKEN: u8 = 4;
    pub(super) const ATTEMPT_ENDED: u8 = 5;
    pub(super) const CLIENT_DISCONNECTED: u8 = 6;
    pub(super) const TIMER_FIRED: u8 = 7;
    pub(super) const PROBE_ENDED: u8 = 8;
    pub(super) const PEER_MESSAGE: u8 = 9;
    pub(super) const STOP: u8 = 10;
    pub(super) const RESERVATION_ANSWERED: u8 = 11;
}

/// The flag of a request that its client has sent before.
const IS_RETRY: u8 = 2;
/// The flag of a request for the rest of an interrupted stream.
const IS_RESUMPTION: u8 = 16;

/// A router's number on the wire.
pub type RouterId = u16;

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// A router starts.
    Attach {
        /// Its number.
        router: RouterId,
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings, as lines `path=value`.
        profile: String,
    },
    /// A router is killed.
    Stop(RouterId),
    /// An event for a router.
    Event(RouterId, Event),
    /// A record whose code, mode or status is unknown; it is skipped.
    Unknown,
}

/// A batch of records that share one time.
pub struct Batch<'a> {
    /// The time of the batch; `None` if its value is not a time.
    pub clock: Option<Duration>,
    fields: FieldReader<'a>,
    records_left: u32,
}

impl<'a> Batch<'a> {
    /// Decodes the header of a batch from a frame without its length field.
    ///
    /// # Errors
    /// The frame is shorter than a batch's header.
    pub fn open(frame: &'a [u8]) -> Result<Batch<'a>, MalformedFrame> {
        let mut fields = FieldReader::of_frame(frame);
        let clock = fields.millis()?;
        let records_left = fields.u32()?;
        Ok(Batch { clock, fields, records_left })
    }

    /// Decodes the next record; `None` after the last one. `columns` gives the layout of a router's load
    /// reports.
    ///
    /// # Errors
    /// The record can't be decoded, or bytes follow the last one.
    pub fn next<'c>(
        &mut self, columns: impl Fn(RouterId) -> &'c [Column],
    ) -> Result<Option<Input>, MalformedFrame> {
        if self.records_left == 0 {
            return if self.fields.is_empty() {
                Ok(None)
            } else {
                Err(MalformedFrame { at: self.fields.position(), reason: "bytes after the last record" })
            };
        }
        self.records_left -= 1;
        let code = self.fields.u8()?;
        let size = self.fields.u32()? as usize;
        let record = self.fields.record(size)?;
        decode_record(code, record, columns).map(Some)
    }
}

fn decode_record<'c>(
    code: u8, mut record: FieldReader, columns: impl Fn(RouterId) -> &'c [Column],
) -> Result<Input, MalformedFrame> {
    if !(code::ATTACH..=code::RESERVATION_ANSWERED).contains(&code) {
        return Ok(Input::Unknown);
    }
    let router = record.u16()?;
    let event = match code {
        code::ATTACH => return decode_attach(router, &mut record),
        code::STOP => return Ok(Input::Stop(router)),
        code::ENGINES => decode_engines(&mut record)?,
        code::REQUEST => Some(decode_request(&mut record)?),
        code::FIRST_TOKEN => Some(decode_first_token(&mut record)?),
        code::ATTEMPT_ENDED => decode_attempt_ended(&mut record, columns(router))?,
        code::CLIENT_DISCONNECTED => Some(Event::ClientDisconnected(RequestId(record.u64()?))),
        code::TIMER_FIRED => Some(Event::TimerFired(TimerId(record.u64()?))),
        code::PROBE_ENDED => decode_probe_ended(&mut record, columns(router))?,
        code::PEER_MESSAGE => Some(decode_peer_message(&mut record)?),
        _ => Some(decode_reservation_answered(&mut record)?),
    };
    Ok(event.map_or(Input::Unknown, |event| Input::Event(router, event)))
}

fn decode_attach(router: RouterId, record: &mut FieldReader) -> Result<Input, MalformedFrame> {
    let seed = record.u64()?;
    let length = record.u32()? as usize;
    Ok(Input::Attach { router, seed, profile: record.text(length)? })
}

/// Decodes a list of engines; `None` if its mode is unknown.
fn decode_engines(record: &mut FieldReader) -> Result<Option<Event>, MalformedFrame> {
    let mode = record.u8()?;
    record.u32()?; // version
    let count = record.u32()?;
    let engines = (0..count).filter_map(|_| decode_engine(record).transpose()).collect::<Result<_, _>>()?;
    let listing = match mode {
        0 => Listing::Changes,
        1 => Listing::Complete,
        2 => Listing::Cached,
        3 => Listing::Failed,
        _ => return Ok(None),
    };
    Ok(Some(Event::Engines { listing, engines }))
}

/// Decodes an entry of a list of engines; `None` if its state is unknown.
fn decode_engine(record: &mut FieldReader) -> Result<Option<Engine>, MalformedFrame> {
    let state = record.u8()?;
    let kind = KindId(usize::from(record.u8()?));
    let zone = ZoneId(u32::from(record.u16()?));
    let started_at = record.millis()?.filter(|at| !at.is_zero());
    record.f32()?; // rating
    let cell = CellId(u32::from(record.u16()?));
    let id = record.engine()?;
    let state = match state {
        0 => EngineState::Ready,
        2 => EngineState::Gone,
        3 => EngineState::Draining,
        _ => return Ok(None),
    };
    Ok(Some(Engine { id, state, kind, zone, cell, started_at }))
}

fn decode_request(record: &mut FieldReader) -> Result<Event, MalformedFrame> {
    let id = RequestId(record.u64()?);
    let shared_prefix = Some(record.u64()?).filter(|&key| key != 0);
    let tenant = TenantId(usize::from(record.u16()?));
    let prompt_tokens = record.f32()?.unwrap_or(0.0);
    let class = ClassId(usize::from(record.u16()?));
    let flags = record.u8()?;
    record.f32()?; // length of the shared prefix
    let session = record.u64()?;
    let max_output_tokens = record.f32()?.unwrap_or(0.0);
    record.millis()?; // expected length of the answer
    let client_timeout = record.millis()?.unwrap_or_default();
    Ok(Event::Request(Request {
        id,
        class,
        tenant,
        session,
        shared_prefix,
        prompt_tokens,
        max_output_tokens,
        client_timeout,
        complete_answer_timeout: None,
        is_retry: flags & IS_RETRY != 0,
        is_resumption: flags & IS_RESUMPTION != 0,
    }))
}

fn decode_first_token(record: &mut FieldReader) -> Result<Event, MalformedFrame> {
    let request = RequestId(record.u64()?);
    let latency = record.millis()?.unwrap_or_default();
    let attempt = usize::from(record.u16()?);
    record.engine()?;
    Ok(Event::FirstToken { request, attempt, latency })
}

/// Decodes the end of an attempt; `None` if its status is unknown.
fn decode_attempt_ended(
    record: &mut FieldReader, columns: &[Column],
) -> Result<Option<Event>, MalformedFrame> {
    let request = RequestId(record.u64()?);
    let attempt = usize::from(record.u16()?);
    record.engine()?;
    let status = record.u16()?;
    let latency = record.millis()?.unwrap_or_default();
    let request_finished = record.u8()? != 0;
    let note = record.u32()?;
    let report = record.report(columns)?;
    let Some(outcome) = outcome_of(status, note) else { return Ok(None) };
    let cached_tokens = if outcome == Outcome::Prefilled { f64::from(note) } else { 0.0 };
    Ok(Some(Event::AttemptEnded(AttemptEnded {
        request,
        attempt,
        outcome,
        latency,
        request_finished,
        cached_tokens,
        report,
    })))
}

/// Decodes the end of a probe; `None` if its status is unknown.
fn decode_probe_ended(record: &mut FieldReader, columns: &[Column]) -> Result<Option<Event>, MalformedFrame> {
    let engine = record.engine()?;
    let status = record.u16()?;
    record.millis()?; // round trip
    let report = record.report(columns)?;
    Ok(outcome_of(status, 0).map(|outcome| Event::ProbeEnded { engine, outcome, report }))
}

fn decode_peer_message(record: &mut FieldReader) -> Result<Event, MalformedFrame> {
    let from = record.u32()?;
    let length = usize::from(record.u16()?);
    Ok(Event::PeerMessage { from, body: record.counted(length)?.to_vec() })
}

fn decode_reservation_answered(record: &mut FieldReader) -> Result<Event, MalformedFrame> {
    let request = RequestId(record.u64()?);
    record.u16()?; // attempt
    let engine = record.engine()?;
    let granted = record.u8()? == 1;
    record.f32()?;
    Ok(Event::ReservationAnswered { request, engine, granted })
}

/// The outcome for a status code; `None` if the status is unknown. For a rejection, a `note` of 1 says that
/// the prefill state was missing; for other outcomes `note` has no effect here.
pub(super) fn outcome_of(status: u16, note: u32) -> Option<Outcome> {
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
