//! The HTTP requests of the controller: polls of engines and routers, and orders to engines.

use super::observation::ReportedRole;
use crate::plan::RoleChange;
use serde_json::json;
use slipreel::Role;
use slipreel_protocol::engine::{self, Load};
use slipreel_protocol::http::{self, Decoder, Framing, Item, Limits, Side};
use slipreel_state_machine::{ConnId, Output};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The HTTP status of an order that was accepted.
const ACCEPTED: u16 = 202;

/// A request on a connection; engines and routers are given by their positions.
enum Request {
    RouterMetrics { router: usize },
    EngineLoad { engine: usize },
    EngineRole { engine: usize },
    Order,
}

/// The answer of an engine or router.
pub(super) enum Answer {
    Router { router: usize, metrics: String },
    Load { engine: usize, load: Load },
    Role { engine: usize, role: Option<ReportedRole> },
    Order { accepted: bool },
}

/// A connection with requests in progress.
struct Connection {
    decoder: Decoder,
    status: u16,
    body: Vec<u8>,
    /// The requests that are not answered yet, in the order of their answers.
    in_progress: VecDeque<Request>,
    /// Bytes to send once the connection is established.
    unsent: Vec<u8>,
}

/// The controller's requests to engines and routers that are in progress, by connection.
#[derive(Default)]
pub(super) struct Requests {
    connections: BTreeMap<ConnId, Connection>,
    opened_count: u64,
}

impl Requests {
    /// Requests the load and the role of an engine.
    pub(super) fn poll_engine(&mut self, engine: usize, address: SocketAddr, out: &mut Vec<Output>) {
        let mut bytes = get("/metrics", address);
        bytes.extend(get("/role", address));
        let requests = [Request::EngineLoad { engine }, Request::EngineRole { engine }];
        self.connect(address, requests.into(), bytes, out);
    }

    /// Requests the metrics of a router.
    pub(super) fn poll_router(&mut self, router: usize, address: SocketAddr, out: &mut Vec<Output>) {
        let requests = [Request::RouterMetrics { router }];
        self.connect(address, requests.into(), get("/metrics", address), out);
    }

    /// Orders an engine to change its role.
    pub(super) fn order(&mut self, address: SocketAddr, change: &RoleChange, out: &mut Vec<Output>) {
        let to = if change.to == Role::Prefill { "read" } else { "write" };
        let body = json!({"to": to, "replaces": change.replaces}).to_string();
        let host = address.to_string();
        let fields = [("host", host.as_str()), ("content-type", "application/json")];
        let mut bytes = http::request_head("POST", "/role", &fields, Framing::Length(body.len()));
        bytes.extend_from_slice(body.as_bytes());
        self.connect(address, [Request::Order].into(), bytes, out);
    }

    fn connect(
        &mut self, address: SocketAddr, in_progress: VecDeque<Request>, unsent: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        self.opened_count += 1;
        let conn = ConnId::opened(self.opened_count);
        let decoder = Decoder::new(Side::Client, Limits::default());
        let connection = Connection { decoder, status: 0, body: Vec::new(), in_progress, unsent };
        self.connections.insert(conn, connection);
        out.push(Output::Connect(conn, address));
    }

    /// Sends the requests of a connection that is now established.
    pub(super) fn send(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            out.push(Output::Write(conn, std::mem::take(&mut connection.unsent)));
        }
    }

    /// Processes received bytes and returns the answers that they complete. If `takes_answers` is false,
    /// answers are dropped. Closes a connection once all its requests are answered.
    pub(super) fn receive(
        &mut self, conn: ConnId, bytes: &[u8], takes_answers: bool, out: &mut Vec<Output>,
    ) -> Vec<Answer> {
        let mut answers = Vec::new();
        let Some(connection) = self.connections.get_mut(&conn) else { return answers };
        connection.decoder.feed(bytes);
        while let Ok(Some(item)) = connection.decoder.next_item() {
            match item {
                Item::Head(head) => {
                    if let http::Start::Response { status } = head.start {
                        connection.status = status;
                    }
                }
                Item::Body(chunk) => connection.body.extend(chunk),
                Item::End => {
                    let body = std::mem::take(&mut connection.body);
                    if !takes_answers {
                        continue;
                    }
                    let Some(request) = connection.in_progress.pop_front() else { continue };
                    answers.push(decode_answer(&request, connection.status, &body));
                    if connection.in_progress.is_empty() {
                        self.connections.remove(&conn);
                        out.push(Output::CloseWhenSent(conn));
                        break;
                    }
                }
            }
        }
        answers
    }

    /// Removes a connection that has ended, with the requests on it that are not answered.
    pub(super) fn remove(&mut self, conn: ConnId) {
        self.connections.remove(&conn);
    }

    /// Aborts all connections.
    pub(super) fn abort_all(&mut self, out: &mut Vec<Output>) {
        for (conn, _) in std::mem::take(&mut self.connections) {
            out.push(Output::Abort(conn));
        }
    }

    /// Drops all requests in progress; their answers are ignored.
    pub(super) fn forget_all(&mut self) {
        self.connections.clear();
    }
}

fn get(path: &str, address: SocketAddr) -> Vec<u8> {
    http::request_head("GET", path, &[("host", &address.to_string())], Framing::Length(0))
}

fn decode_answer(request: &Request, status: u16, body: &[u8]) -> Answer {
    match *request {
        Request::RouterMetrics { router } => {
            Answer::Router { router, metrics: String::from_utf8_lossy(body).into_owned() }
        }
        Request::EngineLoad { engine } => {
            Answer::Load { engine, load: engine::parse_metrics(&String::from_utf8_lossy(body)) }
        }
        Request::EngineRole { engine } => Answer::Role { engine, role: ReportedRole::decode(body) },
        Request::Order => Answer::Order { accepted: status == ACCEPTED },
    }
}
