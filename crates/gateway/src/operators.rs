//! Requests of operators on a port of their own: metrics, and the state and changes of the fleet and of its
//! policy.

use crate::gateway::Gateway;
use crate::metrics;
use serde_json::json;
use slipreel_connections::ReceivedRequest;
use slipreel_protocol::messages::{ApiError, ErrorKind};
use slipreel_state_machine::{ConnId, Output};

impl Gateway {
    /// Handles a request under `/fleet/`.
    fn handle_fleet_operation(&mut self, conn: ConnId, method: &str, path: &str, out: &mut Vec<Output>) {
        let Some(fleet_view) = self.fleet_view.clone() else { return };
        let (operation, name) =
            path["/fleet/".len()..].split_once('/').unwrap_or((&path["/fleet/".len()..], ""));
        let accepted = json!({"done": true}).to_string();
        let (status, body) = match (method, operation, name) {
            ("GET", "status", "") => (200, fleet_view.view().json(self.now)),
            ("POST", "leave", "") => {
                fleet_view.request_leave();
                (202, accepted)
            }
            ("POST", "forget", name)
                if fleet_view.view().members.iter().any(|member| member.name == name) =>
            {
                let is_queued = fleet_view.request_forget(name);
                (if is_queued { 202 } else { 503 }, accepted)
            }
            ("POST", "forget", name) => {
                let error =
                    ApiError::new(ErrorKind::NotFound, format!("{name:?}: expected the name of a member"));
                return self.reject_before_admission(conn, 404, &error, &[], out);
            }
            _ => {
                let text = format!(
                    "{method} {path}: expected GET /fleet/status, POST /fleet/leave or /fleet/forget/NAME"
                );
                return self.reject_before_admission(
                    conn,
                    404,
                    &ApiError::new(ErrorKind::NotFound, text),
                    &[],
                    out,
                );
            }
        };
        self.answer(conn, status, &[], body.as_bytes(), out);
    }

    /// Handles a request on the operators' port.
    pub(crate) fn handle_operator_request(
        &mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>,
    ) {
        let (method, path) = (received.method(), received.path());
        match (method, path) {
            ("GET", "/metrics") => {
                let fleet_metrics = self.fleet_view.as_ref().map(|fleet_view| fleet_view.view().metrics());
                let text = metrics::append(self.metrics.write(&self.snapshot()), fleet_metrics);
                let text = metrics::append(text, self.policy_metrics());
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
            _ if path.starts_with("/fleet/") && self.fleet_view.is_some() => {
                self.handle_fleet_operation(conn, method, path, out);
            }
            _ => {
                let error = ApiError::new(ErrorKind::NotFound, format!("no such path for operators: {path}"));
                self.reject_before_admission(conn, 404, &error, &[], out);
            }
        }
    }
}
