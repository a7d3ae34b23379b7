//! Encodes the actions of routers as the reply to a batch.

use super::decode::RouterId;
use slipreel::{Action, EngineId};
use std::time::Duration;

/// The codes of the records that the simulator accepts.
mod code {
    pub(super) const FAIL: u8 = 1;
    pub(super) const FAULT: u8 = 2;
    pub(super) const CLOSE_IDLE_CONNECTIONS: u8 = 3;
    pub(super) const MIGRATE_STREAM: u8 = 4;
    pub(super) const WATCH_ENGINES: u8 = 5;
    pub(super) const LOG: u8 = 6;
    pub(super) const FETCH_ENGINES: u8 = 7;
    pub(super) const SEND: u8 = 8;
    pub(super) const REJECT: u8 = 9;
    pub(super) const RESERVE: u8 = 10;
    pub(super) const PROBE: u8 = 11;
    pub(super) const SEND_TO_PEER: u8 = 12;
    pub(super) const SET_TIMER: u8 = 13;
    pub(super) const RELEASE: u8 = 14;
    pub(super) const CANCEL: u8 = 15;
}

/// The number that addresses all peers.
const ALL_PEERS: u16 = u16::MAX;

/// An encoded record and the router that it comes from.
struct Record {
    router: RouterId,
    bytes: Vec<u8>,
}

/// The reply to one batch.
#[derive(Default)]
pub struct Reply {
    records: Vec<Record>,
}

impl Reply {
    /// Adds an action of a router.
    pub fn add_action(&mut self, router: RouterId, action: &Action) {
        let (code, fields) = encode_action(action);
        self.add_record(code, router, &fields);
    }

    /// Adds the report of a router's failure.
    pub fn add_fault(&mut self, router: RouterId, text: &str) {
        self.add_record(code::FAULT, router, &counted(text.as_bytes()));
    }

    /// Removes the records of a router in this batch, as the router was killed.
    pub fn discard(&mut self, router: RouterId) {
        self.records.retain(|record| record.router != router);
    }

    fn add_record(&mut self, code: u8, router: RouterId, fields: &[u8]) {
        let size = (size_of::<RouterId>() as u32 + fields.len() as u32).to_be_bytes();
        let bytes = [&[code][..], &size, &router.to_be_bytes(), fields].concat();
        self.records.push(Record { router, bytes });
    }

    /// The whole frame, with its length field.
    pub fn frame(&self) -> Vec<u8> {
        let count = self.records.len() as u32;
        let records: usize = self.records.iter().map(|record| record.bytes.len()).sum();
        let length = size_of_val(&count) as u32 + records as u32;
        let mut frame = [length.to_be_bytes(), count.to_be_bytes()].concat();
        self.records.iter().for_each(|record| frame.extend(&record.bytes));
        frame
    }
}

/// Encodes an action as the code and the fields of a record.
fn encode_action(action: &Action) -> (u8, Vec<u8>) {
    match action {
        Action::Fail(request) => (code::FAIL, request.0.to_be_bytes().to_vec()),
        Action::CloseIdleConnections(engine) => (code::CLOSE_IDLE_CONNECTIONS, engine_bytes(*engine)),
        Action::MigrateStream(request) => (code::MIGRATE_STREAM, request.0.to_be_bytes().to_vec()),
        Action::WatchEngines(watch) => (code::WATCH_ENGINES, vec![u8::from(*watch)]),
        Action::Log(event) => (code::LOG, counted(event.to_string().as_bytes())),
        Action::FetchEngines => (code::FETCH_ENGINES, Vec::new()),
        Action::Send { request, engine, timeout } => {
            let timeout = optional_millis(*timeout);
            (code::SEND, [&request.0.to_be_bytes()[..], &engine_bytes(*engine), &timeout].concat())
        }
        Action::Reject { request, retry_after, .. } => {
            (code::REJECT, [request.0.to_be_bytes(), optional_millis(*retry_after)].concat())
        }
        Action::Reserve { request, engine } => {
            (code::RESERVE, [&request.0.to_be_bytes()[..], &engine_bytes(*engine)].concat())
        }
        Action::Probe(engine) => (code::PROBE, engine_bytes(*engine)),
        Action::SendToPeer { to, body } => {
            let to = to.unwrap_or(ALL_PEERS);
            (code::SEND_TO_PEER, [&to.to_be_bytes()[..], &counted(body)].concat())
        }
        Action::SetTimer { timer, after } => {
            (code::SET_TIMER, [timer.0.to_be_bytes(), millis(*after)].concat())
        }
        Action::Release(request) => (code::RELEASE, request.0.to_be_bytes().to_vec()),
        Action::Cancel { request, attempt } => {
            let attempt = *attempt as u16;
            (code::CANCEL, [&request.0.to_be_bytes()[..], &attempt.to_be_bytes()].concat())
        }
    }
}

fn millis(time: Duration) -> [u8; 8] {
    (time.as_secs_f64() * 1e3).to_be_bytes()
}

/// A time in milliseconds; 0 for `None`.
fn optional_millis(time: Option<Duration>) -> [u8; 8] {
    time.map_or([0; 8], millis)
}

/// An engine's id in six bytes.
fn engine_bytes(engine: EngineId) -> Vec<u8> {
    engine.0.to_be_bytes()[2..].to_vec()
}

/// Bytes preceded by their count, truncated to the largest count.
fn counted(bytes: &[u8]) -> Vec<u8> {
    let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
    [&(bytes.len() as u16).to_be_bytes()[..], bytes].concat()
}
