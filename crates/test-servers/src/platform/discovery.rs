//! Discovery as a state machine: it serves watches of the engine list. Its owner changes the list by sending
//! [`EndpointChanges`], and injects faults by sending a [`DiscoveryMode`].

use super::{lock_shared, Shared};
use slipreel_connections::ClientConnection;
use slipreel_invariants::terms::Seen;
use slipreel_protocol::http::{self, Framing, Limits};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::time::Duration;

/// Owner message for discovery: the entries that changed, by name, each as its JSON object.
#[derive(Clone, Debug, Default)]
pub struct EndpointChanges(pub Vec<(String, String)>);

/// Owner message for discovery: how it answers from now on. Every mode but `Healthy` aborts the open watches
/// or stops serving them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// It sends the list and its changes.
    #[default]
    Healthy,
    /// It resets every connection.
    ResetsConnections,
    /// It accepts connections and sends nothing. Connections of this time stay silent for good.
    Silent,
    /// It answers 503 and asks for a retry after a minute.
    Unavailable,
    /// It sends half of the list, then nothing.
    HalfSnapshot,
    /// It sends its answer slowly, byte by byte.
    TricklesBytes,
    /// It sends the head of a good answer, then only the empty lines that serve as heartbeats.
    HeartbeatsOnly,
    /// It sends the whole list as it was before the last change.
    StaleSnapshot,
}

struct Watch {
    client: ClientConnection,
    /// Changes of the list are sent to it.
    gets_changes: bool,
    /// Heartbeats, which are empty lines, are sent to it.
    gets_heartbeats: bool,
    /// In `TricklesBytes`: bytes still to be sent, last byte first.
    unsent_reversed: Vec<u8>,
}

/// Discovery. An entry whose status changes to `Gone` is removed from the list.
#[derive(Default)]
pub struct Discovery {
    index: u64,
    entries: BTreeMap<String, String>,
    /// The list before the last change.
    previous: String,
    watches: BTreeMap<ConnId, Watch>,
    mode: DiscoveryMode,
    next_heartbeat: Option<Duration>,
    next_byte: Option<Duration>,
    /// The router that it serves, and where its queries are recorded.
    observer: Option<(String, Shared)>,
    /// When it was queried for the list.
    pub asked: Vec<Duration>,
}

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time between bytes in `TricklesBytes`.
const BYTE_INTERVAL: Duration = Duration::from_millis(400);

impl Discovery {
    /// Discovery with the list `first`.
    pub fn new(first: &EndpointChanges) -> Self {
        let mut discovery =
            Discovery { index: 1, entries: first.0.iter().cloned().collect(), ..Discovery::default() };
        discovery.previous = discovery.whole();
        discovery
    }

    /// Makes it the agent of one router, and records in `shared` when it is queried.
    #[must_use]
    pub fn for_router(mut self, router: &str, shared: &Shared) -> Self {
        self.observer = Some((router.to_owned(), shared.clone()));
        self
    }

    fn record_query(&mut self, now: Duration) {
        self.asked.push(now);
        if let Some((router, shared)) = &self.observer {
            lock_shared(shared).see(now, Seen::Asked { router: router.clone() });
        }
    }

    /// The whole list in the format of the protocol.
    pub fn whole(&self) -> String {
        let entries: Vec<&str> = self.entries.values().map(String::as_str).collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", self.index, entries.join(","))
    }

    fn send_line(&mut self, line: &str, is_heartbeat: bool, out: &mut Vec<Output>) {
        let chunk = http::chunk(format!("{line}\n").as_bytes());
        let receivers =
            self.watches
                .iter()
                .filter(|(_, w)| if is_heartbeat { w.gets_heartbeats } else { w.gets_changes });
        out.extend(receivers.map(|(&conn, _)| Output::Write(conn, chunk.clone())));
    }

    fn answer(&mut self, conn: ConnId, now: Duration, out: &mut Vec<Output>) {
        self.record_query(now);
        let (whole, previous) = (self.whole(), self.previous.clone());
        let Some(watch) = self.watches.get_mut(&conn) else { return };
        match self.mode {
            DiscoveryMode::Healthy => {
                (watch.gets_changes, watch.gets_heartbeats) = (true, true);
                watch.client.begin_stream(&[], out);
                watch.client.write(http::chunk(format!("{whole}\n").as_bytes()), out);
            }
            DiscoveryMode::ResetsConnections => out.push(Output::Abort(conn)),
            DiscoveryMode::Silent => {}
            DiscoveryMode::Unavailable => watch.client.answer(503, &[("retry-after", "60")], b"", out),
            DiscoveryMode::HalfSnapshot => {
                watch.client.begin_stream(&[], out);
                watch.client.write(http::chunk(&whole.as_bytes()[..whole.len() / 2]), out);
            }
            DiscoveryMode::TricklesBytes => {
                let fields = [("content-type", "text/event-stream")];
                let mut bytes = http::response_head(200, &fields, Framing::Chunked);
                bytes.extend_from_slice(&http::chunk(format!("{whole}\n").as_bytes()));
                bytes.reverse();
                watch.unsent_reversed = bytes;
                self.next_byte.get_or_insert(now + BYTE_INTERVAL);
            }
            DiscoveryMode::HeartbeatsOnly => {
                watch.gets_heartbeats = true;
                watch.client.begin_stream(&[], out);
            }
            DiscoveryMode::StaleSnapshot => {
                watch.gets_heartbeats = true;
                watch.client.begin_stream(&[], out);
                watch.client.write(http::chunk(format!("{previous}\n").as_bytes()), out);
            }
        }
    }

    fn set_mode(&mut self, mode: DiscoveryMode, out: &mut Vec<Output>) {
        if self.mode == DiscoveryMode::StaleSnapshot && mode == DiscoveryMode::Healthy {
            // Another replica lagged behind; the watches that it served are aborted.
            out.extend(std::mem::take(&mut self.watches).into_keys().map(Output::Abort));
        }
        self.mode = mode;
        match mode {
            DiscoveryMode::Healthy => {}
            // The watches stay open, and nothing is sent on them any more.
            DiscoveryMode::Silent => {
                self.watches.values_mut().for_each(|w| (w.gets_changes, w.gets_heartbeats) = (false, false));
            }
            _ => {
                out.extend(std::mem::take(&mut self.watches).into_keys().map(Output::Abort));
            }
        }
    }

    fn apply_changes(&mut self, changes: &EndpointChanges, out: &mut Vec<Output>) {
        self.previous = self.whole();
        self.index += 1;
        for (name, entry) in &changes.0 {
            if entry.contains("\"Gone\"") {
                self.entries.remove(name);
            } else {
                self.entries.insert(name.clone(), entry.clone());
            }
        }
        let entries: Vec<&str> = changes.0.iter().map(|(_, e)| e.as_str()).collect();
        let (index, entries) = (self.index, entries.join(","));
        self.send_line(
            &format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{entries}]}}"),
            false,
            out,
        );
    }
}

impl Machine for Discovery {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Accepted(conn, _) if self.mode == DiscoveryMode::ResetsConnections => {
                self.record_query(now);
                out.push(Output::Abort(conn));
            }
            Input::Accepted(conn, listener) => {
                let client = ClientConnection::new(conn, listener, now, Limits::default(), 0);
                self.watches.insert(
                    conn,
                    Watch {
                        client,
                        gets_changes: false,
                        gets_heartbeats: false,
                        unsent_reversed: Vec::new(),
                    },
                );
                self.next_heartbeat.get_or_insert(now + HEARTBEAT_INTERVAL);
            }
            Input::Data(conn, bytes) => {
                let Some(watch) = self.watches.get_mut(&conn) else { return };
                watch.client.feed(now, bytes, out);
                if let Ok(Some(received)) = watch.client.receive(now, out) {
                    if received.path() != "/api/targets" {
                        return out.push(Output::Abort(conn));
                    }
                    self.answer(conn, now, out);
                }
            }
            Input::OwnerMessage(message) => {
                if let Some(changes) = message.downcast_ref::<EndpointChanges>() {
                    self.apply_changes(changes, out);
                } else if let Some(mode) = message.downcast_ref::<DiscoveryMode>() {
                    self.set_mode(*mode, out);
                }
            }
            Input::Wake => {
                if self.next_heartbeat.is_some_and(|at| at <= now) {
                    self.next_heartbeat = Some(now + HEARTBEAT_INTERVAL);
                    self.send_line("", true, out);
                }
                if self.next_byte.is_some_and(|at| at <= now) {
                    self.next_byte = Some(now + BYTE_INTERVAL);
                    for (&conn, watch) in &mut self.watches {
                        out.extend(watch.unsent_reversed.pop().map(|byte| Output::Write(conn, vec![byte])));
                    }
                }
            }
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.watches.remove(&conn);
            }
            Input::Lost(conn, _) => {
                self.watches.remove(&conn);
            }
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.next_heartbeat.into_iter().chain(self.next_byte).min()
    }
}
