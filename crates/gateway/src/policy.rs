//! The fleet's policy at this router: the epoch under which it admits requests, the change to another epoch,
//! and operators' requests about the policy. Which epoch is in force is decided by `slipreel-consensus`.

use crate::gateway::Gateway;
use crate::serve::retry_after_fields;
use crate::settings::GatewaySettings;
use serde_json::{json, Value};
use slipreel::{Action, SettingsMapping};
use slipreel_connections::{ClientState, ReceivedRequest};
use slipreel_consensus::policy_state::Proposal;
use slipreel_consensus::wire::OperatorRequest;
use slipreel_consensus::{timing, PolicyHandle};
use slipreel_protocol::messages::{ApiError, ErrorKind};
use slipreel_state_machine::{ConnId, Output};
use std::sync::Arc;

impl Gateway {
    /// The epoch under which requests are admitted, if the fleet agrees on a policy.
    pub(crate) fn epoch(&self) -> Option<u64> {
        self.policy.as_ref().map(|_| self.policy_epoch)
    }

    /// The epoch in the answer that a connection waits for: that of its request, else the present one.
    pub(crate) fn epoch_of(&self, conn: ConnId) -> Option<String> {
        let present = self.epoch()?;
        let request = self.clients.get(conn).and_then(|client| match client.state {
            ClientState::Serving(Some(id)) => self.requests.get(slipreel::RequestId(id)),
            _ => None,
        });
        Some(request.and_then(|request| request.epoch).unwrap_or(present).to_string())
    }

    /// Whether requests may be admitted under the present epoch, as far as this router can know now.
    pub(crate) fn has_valid_policy(&self) -> bool {
        let Some(handle) = &self.policy else { return true };
        let permit = handle.permit();
        permit.epoch == self.policy_epoch && permit.holds(self.now)
    }

    /// Rejects a request because this router can't know whether its epoch is still in force. The answer says
    /// when to retry.
    pub(crate) fn reject_without_policy(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let error = ApiError::new(
            ErrorKind::Unavailable,
            "this router can't know at present which policy is in force; another may",
        );
        let (seconds, milliseconds) = retry_after_fields(timing::RETRY_AFTER);
        let fields = [
            ("retry-after", seconds.as_str()),
            ("retry-after-ms", &milliseconds),
            ("x-should-retry", "true"),
        ];
        self.reject_before_admission(conn, error.kind.status(), &error, &fields, out);
    }

    /// Applies the policy of another epoch, if there is one. Requests that were admitted before keep their
    /// settings.
    pub(crate) fn apply_policy(&mut self, out: &mut Vec<Output>) {
        let Some(handle) = &self.policy else { return };
        if handle.epoch() == self.policy_epoch {
            return;
        }
        let permit = handle.permit();
        let Some(settings) =
            permit.policy.clone().and_then(|policy| policy.downcast::<GatewaySettings>().ok())
        else {
            return;
        };
        let mut settings = (*settings).clone();
        // Each thread has its own name, and a reload may have changed this router's own settings.
        settings.name.clone_from(&self.settings.name);
        self.policy_epoch = permit.epoch;
        self.replace_settings(Arc::new(settings), out);
        out.push(Output::Log(format!("policy: requests are taken by epoch {} from now on", permit.epoch)));
    }

    /// Replaces the settings. A new decision module takes over what the last one has learnt.
    pub(crate) fn replace_settings(&mut self, settings: Arc<GatewaySettings>, out: &mut Vec<Output>) {
        let position = |name: &String, all: &[String]| all.iter().position(|other| other == name);
        let classes: Vec<String> = self.settings.classes.iter().map(|class| class.name.clone()).collect();
        let tenants: Vec<String> = self.settings.tenants.iter().map(|tenant| tenant.name.clone()).collect();
        let mapping = SettingsMapping {
            classes: settings.classes.iter().map(|class| position(&class.name, &classes)).collect(),
            tenants: settings.tenants.iter().map(|tenant| position(&tenant.name, &tenants)).collect(),
        };
        let decision_settings = self.decision_settings(&settings);
        let Some(decision) = self.decision_modules.add_successor(self.now, decision_settings, &mapping)
        else {
            return;
        };
        let drained_engines_changed = settings.drained_engines != self.settings.drained_engines;
        self.settings = settings;
        for action in decision.actions {
            self.dispatch(decision.generation, action, out);
        }
        if drained_engines_changed {
            let current = self.listed_engines.clone();
            self.replace_engine_list(&current, out);
        }
    }

    /// Whether an action concerns a request that another generation has admitted.
    pub(crate) fn is_of_other_generation(&self, generation: u64, action: &Action) -> bool {
        let id = match action {
            Action::Send { request, .. }
            | Action::Cancel { request, .. }
            | Action::Reject { request, .. } => request,
            Action::Fail(request) | Action::Release(request) => request,
            _ => return false,
        };
        self.requests.get(*id).is_some_and(|request| request.generation != generation)
    }

    /// The metrics of the policy, in the Prometheus text format.
    pub(crate) fn policy_metrics(&self) -> Option<String> {
        let handle = self.policy.as_ref()?;
        let status = handle.status();
        let metrics = [
            ("epoch", "The epoch by which requests are taken.", self.policy_epoch),
            ("serving", "Whether requests are taken by it now.", u64::from(self.has_valid_policy())),
            (
                "pending",
                "Whether a change is under way, as this router knows.",
                u64::from(status.pending.is_some()),
            ),
            ("votes", "Whether this router votes.", u64::from(status.votes)),
            ("trouble", "Troubles that `policy status` names.", status.faults.len() as u64),
            (
                "roles_frozen",
                "Whether operators want no engine to change its role.",
                u64::from(self.settings.roles_frozen),
            ),
        ];
        let line = |(name, help, value): &(&str, &str, u64)| {
            let name = format!("slipreel_policy_{name}");
            format!("# HELP {name} {help}\n# TYPE {name} gauge\n{name} {value}\n")
        };
        Some(metrics.iter().map(line).collect())
    }

    // ---- Operators ------------------------------------------------------------------------------

    /// Handles a request under `/policy/`.
    pub(crate) fn handle_policy_operation(
        &mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>,
    ) {
        let Some(handle) = self.policy.clone() else { return };
        let (method, path) = (received.method(), received.path());
        let (operation, argument) =
            path["/policy/".len()..].split_once('/').unwrap_or((&path["/policy/".len()..], ""));
        let status = handle.status();
        let answer: Result<(u16, Value), ApiError> = match (method, operation, argument) {
            ("GET", "status", "") => Ok((200, status.status_json(self.has_valid_policy()))),
            ("GET", "status", id) => Ok((200, status.proposal_json(id))),
            ("GET", "history", "") => Ok((200, status.history_json())),
            ("GET", "text", "") => Ok((200, json!({"epoch": status.epoch, "text": status.text}))),
            ("POST", "propose", id) => self.propose(&handle, id, &received.body),
            ("POST", "rollback", argument) => self.roll_back(&handle, argument),
            ("POST", "replace", argument) => {
                let (old, new) = argument
                    .split_once('/')
                    .map_or((argument, None), |(old, new)| (old, Some(new.to_owned())));
                if status.voters.iter().any(|voter| voter == old) {
                    submission_answer(
                        handle.submit(OperatorRequest::Replace { old: old.into(), new }),
                        json!({"replaced": old}),
                    )
                } else {
                    let voters = status.voters.join(", ");
                    let text = format!("{old:?}: expected one of those who vote: {voters}");
                    Err(ApiError::new(ErrorKind::InvalidRequest, text))
                }
            }
            _ => {
                let text = format!(
                    "{method} {path}: expected GET /policy/status, /policy/status/ID, /policy/history or /policy/text, \
                     POST /policy/propose/ID, /policy/rollback/ID/EPOCH or /policy/replace/OLD[/NEW]"
                );
                Err(ApiError::new(ErrorKind::NotFound, text))
            }
        };
        match answer {
            Ok((status, body)) => self.answer(conn, status, &[], body.to_string().as_bytes(), out),
            Err(error) => self.reject_before_admission(conn, error.kind.status(), &error, &[], out),
        }
    }

    /// Seconds since the Unix epoch.
    fn unix_seconds(&self) -> u64 {
        (self.wall_clock_offset + self.now).as_secs()
    }

    /// Submits a proposal of a new policy.
    fn propose(&self, handle: &PolicyHandle, id: &str, body: &[u8]) -> Result<(u16, Value), ApiError> {
        let invalid = |text: String| ApiError::new(ErrorKind::InvalidRequest, text);
        check_id(id)?;
        let text =
            std::str::from_utf8(body).map_err(|e| invalid(format!("the policy: expected UTF-8: {e}")))?;
        if text.is_empty() || text.len() > timing::MAX_POLICY_LEN {
            return Err(invalid(format!(
                "{} bytes: expected a policy of 1 to {} bytes",
                text.len(),
                timing::MAX_POLICY_LEN
            )));
        }
        let from = handle.status().name.clone();
        let proposal = Proposal {
            id: id.into(),
            text: text.into(),
            from,
            submitted_unix_s: self.unix_seconds(),
            base_epoch: 0,
            restores_epoch: None,
        };
        submission_answer(handle.submit(OperatorRequest::Propose(proposal)), json!({"id": id}))
    }

    /// Submits a proposal to restore an earlier policy. `argument` is ID/EPOCH.
    fn roll_back(&self, handle: &PolicyHandle, argument: &str) -> Result<(u16, Value), ApiError> {
        let invalid = |text: String| ApiError::new(ErrorKind::InvalidRequest, text);
        let (id, epoch) = argument.split_once('/').ok_or_else(|| invalid("expected ID/EPOCH".into()))?;
        check_id(id)?;
        let epoch: u64 =
            epoch.parse().map_err(|_| invalid(format!("{epoch:?}: expected the number of an epoch")))?;
        let status = handle.status();
        let proposal = status.rollback_proposal(epoch, id.into(), self.unix_seconds()).ok_or_else(|| {
            let kept_epochs: Vec<String> =
                status.earlier_policies.iter().map(|earlier| earlier.epoch.to_string()).collect();
            let who = if status.votes {
                "this router keeps"
            } else {
                "this router does not vote and keeps only the present one; ask one of the voters"
            };
            invalid(format!("epoch {epoch}: expected one that is kept: {who}: {}", kept_epochs.join(", ")))
        })?;
        submission_answer(handle.submit(OperatorRequest::Propose(proposal)), json!({"id": id}))
    }
}

/// Checks that a proposal's id consists of allowed characters and has an allowed length.
fn check_id(id: &str) -> Result<(), ApiError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if id.is_empty() || id.len() > 64 || !id.chars().all(is_allowed) {
        let text = format!("{id:?}: expected an id of 1 to 64 letters, digits, '-', '_' and '.'");
        return Err(ApiError::new(ErrorKind::InvalidRequest, text));
    }
    Ok(())
}

/// The answer to an operator's submission; `is_queued` says whether there was room for it.
fn submission_answer(is_queued: bool, body: Value) -> Result<(u16, Value), ApiError> {
    if is_queued {
        Ok((202, body))
    } else {
        Err(ApiError::new(
            ErrorKind::Overloaded,
            "too many words of operators wait here: expected fewer at once",
        ))
    }
}
