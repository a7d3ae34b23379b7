//! The fleet's policy at this router: by which epoch it takes requests, how another one comes to hold here, and what operators ask of it.
//! Decides nothing: whether an epoch holds is `slipreel-consensus`'s word.

use crate::gateway::Gateway;
use crate::serve::retry_after;
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
    /// The epoch by which requests are taken, where the fleet agrees on one.
    pub(crate) fn epoch(&self) -> Option<u64> {
        self.policy.as_ref().map(|_| self.policy_epoch)
    }

    /// The epoch that is named on the answer that a connection waits for: its request's own, or the present one.
    pub(crate) fn epoch_of(&self, conn: ConnId) -> Option<String> {
        let present = self.epoch()?;
        let request = self.clients.get(conn).and_then(|c| match c.state {
            ClientState::Serving(Some(id)) => self.requests.get(slipreel::RequestId(id)),
            _ => None,
        });
        Some(request.and_then(|request| request.epoch).unwrap_or(present).to_string())
    }

    /// Whether requests may be taken by the present epoch, as far as this router can know at this moment.
    pub(crate) fn holds_policy(&self) -> bool {
        let Some(handle) = &self.policy else { return true };
        let permit = handle.permit();
        permit.epoch == self.policy_epoch && permit.holds(self.now)
    }

    /// It can't know whether its epoch still holds: answered at once, with when to come back.
    pub(crate) fn reject_without_policy(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let error = ApiError::new(
            ErrorKind::Unavailable,
            "this router can't know at present which policy is in force; another may",
        );
        let (s, ms) = retry_after(timing::RETRY_AFTER);
        let fields = [("retry-after", s.as_str()), ("retry-after-ms", &ms), ("x-should-retry", "true")];
        self.reject_before_admission(conn, error.kind.status(), &error, &fields, out);
    }

    /// Takes on another epoch, if there is one: requests that were taken end by the settings under which they were.
    pub(crate) fn apply_policy(&mut self, out: &mut Vec<Output>) {
        let Some(handle) = &self.policy else { return };
        if handle.epoch() == self.policy_epoch {
            return;
        }
        let permit = handle.permit();
        let Some(settings) = permit.policy.clone().and_then(|made| made.downcast::<GatewaySettings>().ok())
        else {
            return;
        };
        let mut settings = (*settings).clone();
        // Each thread has a name of its own, and reloads may have changed what is the router's own.
        settings.name.clone_from(&self.settings.name);
        self.policy_epoch = permit.epoch;
        self.replace_settings(Arc::new(settings), out);
        out.push(Output::Log(format!("policy: requests are taken by epoch {} from now on", permit.epoch)));
    }

    /// Other settings, and all that was learnt under the last ones.
    pub(crate) fn replace_settings(&mut self, settings: Arc<GatewaySettings>, out: &mut Vec<Output>) {
        let position = |name: &String, all: &[String]| all.iter().position(|n| n == name);
        let classes: Vec<String> = self.settings.classes.iter().map(|c| c.name.clone()).collect();
        let tenants: Vec<String> = self.settings.tenants.iter().map(|t| t.name.clone()).collect();
        let mapping = SettingsMapping {
            classes: settings.classes.iter().map(|c| position(&c.name, &classes)).collect(),
            tenants: settings.tenants.iter().map(|t| position(&t.name, &tenants)).collect(),
        };
        let decision_settings = self.decision_settings(&settings);
        let Some(decision) = self.decision_modules.add_successor(self.now, decision_settings, &mapping)
        else {
            return;
        };
        let listed = settings.taken_out != self.settings.taken_out;
        self.settings = settings;
        for action in decision.actions {
            self.dispatch(decision.generation, action, out);
        }
        if listed {
            let current = self.listed.clone();
            self.take_list(&current, out);
        }
    }

    /// Whether an action concerns a request that another generation has taken.
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

    /// What is published of the policy, in the Prometheus text format.
    pub(crate) fn policy_metrics(&self) -> Option<String> {
        let handle = self.policy.as_ref()?;
        let shown = handle.status();
        let metrics = [
            ("epoch", "The epoch by which requests are taken.", self.policy_epoch),
            ("serving", "Whether requests are taken by it now.", u64::from(self.holds_policy())),
            (
                "pending",
                "Whether a change is under way, as this router knows.",
                u64::from(shown.pending.is_some()),
            ),
            ("votes", "Whether this router votes.", u64::from(shown.votes)),
            ("trouble", "Troubles that `policy status` names.", shown.faults.len() as u64),
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

    /// What operators ask of the policy.
    pub(crate) fn handle_policy_operation(
        &mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>,
    ) {
        let Some(handle) = self.policy.clone() else { return };
        let (method, path) = (received.method(), received.path());
        let (what, name) =
            path["/policy/".len()..].split_once('/').unwrap_or((&path["/policy/".len()..], ""));
        let shown = handle.status();
        let answer: Result<(u16, Value), ApiError> = match (method, what, name) {
            ("GET", "status", "") => Ok((200, shown.status_json(self.holds_policy()))),
            ("GET", "status", id) => Ok((200, shown.proposal_json(id))),
            ("GET", "history", "") => Ok((200, shown.history_json())),
            ("GET", "text", "") => Ok((200, json!({"epoch": shown.epoch, "text": shown.text}))),
            ("POST", "propose", id) => self.propose(&handle, id, &received.body),
            ("POST", "rollback", name) => self.roll_back(&handle, name),
            ("POST", "replace", name) => {
                let (old, new) = name.split_once('/').map_or((name, None), |(o, n)| (o, Some(n.to_owned())));
                if shown.voters.iter().any(|v| v == old) {
                    submission_answer(
                        handle.submit(OperatorRequest::Replace { old: old.into(), new }),
                        json!({"replaced": old}),
                    )
                } else {
                    let voters = shown.voters.join(", ");
                    let what = format!("{old:?}: expected one of those who vote: {voters}");
                    Err(ApiError::new(ErrorKind::InvalidRequest, what))
                }
            }
            _ => {
                let what = format!(
                    "{method} {path}: expected GET /policy/status, /policy/status/ID, /policy/history or /policy/text, \
                     POST /policy/propose/ID, /policy/rollback/ID/EPOCH or /policy/replace/OLD[/NEW]"
                );
                Err(ApiError::new(ErrorKind::NotFound, what))
            }
        };
        match answer {
            Ok((status, body)) => self.answer(conn, status, &[], body.to_string().as_bytes(), out),
            Err(error) => self.reject_before_admission(conn, error.kind.status(), &error, &[], out),
        }
    }

    fn wall(&self) -> u64 {
        (self.epoch_ahead + self.now).as_secs()
    }

    fn propose(&self, handle: &PolicyHandle, id: &str, body: &[u8]) -> Result<(u16, Value), ApiError> {
        let bad = |what: String| ApiError::new(ErrorKind::InvalidRequest, what);
        check_id(id)?;
        let text = std::str::from_utf8(body).map_err(|e| bad(format!("the policy: expected UTF-8: {e}")))?;
        if text.is_empty() || text.len() > timing::MAX_POLICY_LEN {
            return Err(bad(format!(
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
            submitted_unix_s: self.wall(),
            base_epoch: 0,
            restores_epoch: None,
        };
        submission_answer(handle.submit(OperatorRequest::Propose(proposal)), json!({"id": id}))
    }

    fn roll_back(&self, handle: &PolicyHandle, name: &str) -> Result<(u16, Value), ApiError> {
        let bad = |what: String| ApiError::new(ErrorKind::InvalidRequest, what);
        let (id, epoch) = name.split_once('/').ok_or_else(|| bad("expected ID/EPOCH".into()))?;
        check_id(id)?;
        let epoch: u64 =
            epoch.parse().map_err(|_| bad(format!("{epoch:?}: expected the number of an epoch")))?;
        let shown = handle.status();
        let proposal = shown.rollback_proposal(epoch, id.into(), self.wall()).ok_or_else(|| {
            let kept: Vec<String> =
                shown.earlier_policies.iter().map(|earlier| earlier.epoch.to_string()).collect();
            let who = if shown.votes {
                "this router keeps"
            } else {
                "this router does not vote and keeps only the present one; ask one of the voters"
            };
            bad(format!("epoch {epoch}: expected one that is kept: {who}: {}", kept.join(", ")))
        })?;
        submission_answer(handle.submit(OperatorRequest::Propose(proposal)), json!({"id": id}))
    }
}

fn check_id(id: &str) -> Result<(), ApiError> {
    let good = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if id.is_empty() || id.len() > 64 || !id.chars().all(good) {
        let what = format!("{id:?}: expected an id of 1 to 64 letters, digits, '-', '_' and '.'");
        return Err(ApiError::new(ErrorKind::InvalidRequest, what));
    }
    Ok(())
}

fn submission_answer(room: bool, body: Value) -> Result<(u16, Value), ApiError> {
    if room {
        Ok((202, body))
    } else {
        Err(ApiError::new(
            ErrorKind::Overloaded,
            "too many words of operators wait here: expected fewer at once",
        ))
    }
}
