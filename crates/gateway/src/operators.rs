//! What operators ask for on a port of their own: metrics, and changes of the fleet and of its policy.

use crate::gateway::Gateway;
use crate::metrics;
use serde_json::json;
use slipreel_connections::ReceivedRequest;
use slipreel_protocol::messages::{ApiError, ErrorKind};
use slipreel_state_machine::{ConnId, Output};

impl Gateway {
    /// What operators ask of the view of the fleet.
    fn handle_fleet_operation(&mut self, conn: ConnId, method: &str, path: &str, out: &mut Vec<Output>) {
        let Some(board) = self.fleet.clone() else { return };
        let (what, name) = path["/fleet/".len()..].split_once('/').unwrap_or((&path["/fleet/".len()..], ""));
        let done = json!({"done": true}).to_string();
        let (status, text) = match (method, what, name) {
            ("GET", "status", "") => (200, board.view().json(self.now)),
            ("POST", "leave", "") => {
                board.request_leave();
                (202, done)
            }
            ("POST", "forget", name) if board.view().members.iter().any(|m| m.name == name) => {
                let room = board.request_forget(name);
                (if room { 202 } else { 503 }, done)
            }
            ("POST", "forget", name) => {
                let error =
                    ApiError::new(ErrorKind::NotFound, format!("{name:?}: expected the name of a member"));
                return self.reject_before_admission(conn, 404, &error, &[], out);
            }
            _ => {
                let what = format!(
                    "{method} {path}: expected GET /fleet/status, POST /fleet/leave or /fleet/forget/NAME"
                );
                return self.reject_before_admission(
                    conn,
                    404,
                    &ApiError::new(ErrorKind::NotFound, what),
                    &[],
                    out,
                );
            }
        };
        self.answer(conn, status, &[], text.as_bytes(), out);
    }

    /// What operators ask, on a port of their own.
    pub(crate) fn handle_operator_request(
        &mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>,
    ) {
        let (method, path) = (received.method(), received.path());
        match (method, path) {
            ("GET", "/metrics") => {
                let view = self.fleet.as_ref().map(|board| board.view().metrics());
                let text = metrics::with(self.metrics.write(&self.snapshot()), view);
                let text = metrics::with(text, self.policy_metrics());
                self.answer(conn, 200, &[("content-type", metrics::MEDIA_TYPE)], text.as_bytes(), out);
            }
            (_, "/metrics") => {
                let error =
                    ApiError::new(ErrorKind::InvalidRequest, format!("{path} does not take {method}"));
                self.reject_before_admission(conn, 405, &error, &[], out);
            }
            _ if path.starts_with("/policy/") && self.policy.is_some() => {
                self.handle_policy_operation(conn, received, out);
            }
            _ if path.starts_with("/fleet/") && self.fleet.is_some() => {
                self.handle_fleet_operation(conn, method, path, out);
            }
            _ => {
                let error = ApiError::new(ErrorKind::NotFound, format!("no such path for operators: {path}"));
                self.reject_before_admission(conn, 404, &error, &[], out);
            }
        }
    }
}
