//! Releases: requests to free the state that a request may have left at an engine, sent until an engine
//! acknowledges them.
//!
//! Any running engine accepts a release for all engines. So a release goes where it is likeliest to arrive:
//! to the engine with the latest contact, on an established connection; to another engine at each retry; and
//! on any connection that has just received an answer.

use crate::engine_connection::{ConnectionPurpose, EngineConnection, Exchange};
use crate::log_event::LogEvent;
use crate::router::PlatformRouter;
use crate::timer::Timer;
use slipreel::{EngineId, RequestId, Settings};
use slipreel_connections::{Release, ReleaseId, ReleaseStep, ReleaseTiming};
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::{ConnId, Output};
use std::net::SocketAddr;
use std::time::Duration;

/// Placeholder for the address of a holder that has left the list; nothing is sent there.
const PLACEHOLDER_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Time after which an unacknowledged release is sent again, to another engine if possible: several times
/// within the half second that the protocol allows for freeing held state.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(120);
/// Time after which a release that no engine has acknowledged expires: longer than any outage on record.
const RELEASE_EXPIRY: Duration = Duration::from_millis(60_000);
/// Time after which an unanswered release is also sent on any connection that has just received an answer.
const RELEASE_STALE_AFTER: Duration = Duration::from_millis(20);
/// An engine has seen the end of an attempt if it sent bytes this long after it: nothing of the attempt is in
/// transit any more.
const CANCELLATION_SEEN_AFTER: Duration = Duration::from_millis(30);
/// How long after the cancellation of a prefill its state may still appear: an engine that hangs or is cut
/// off for that long continues the prefill before it sees that its connection was closed. Not every engine
/// drops a prefill whose deadline has passed.
const RELEASE_REPEAT_PERIOD: Duration = Duration::from_millis(8_000);

/// The times at which releases are retried and repeated. They are repeated at the interval of the settings'
/// limit on held state; its slack covers a retry.
pub(crate) fn release_timing(settings: &Settings) -> ReleaseTiming {
    ReleaseTiming {
        retry: RELEASE_RETRY_INTERVAL,
        repeat: settings.held_state_limit.max(RELEASE_RETRY_INTERVAL),
        give_up: RELEASE_EXPIRY,
    }
}

impl PlatformRouter {
    /// Releases the state that is held for a request. Replaces an earlier, unacknowledged release for it.
    pub(crate) fn release(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(&holder) = request.state_holders().first() else { return };
        let addr = self.endpoints.get(holder).map_or(PLACEHOLDER_ADDR, |endpoint| endpoint.addr);
        let held = request.held_since().map_or(Duration::ZERO, |since| self.now.saturating_sub(since));
        let (request_id, reason) = (request.client_id().to_owned(), request.release_reason());
        let release = self.releases.add(self.now, holder, addr, request_id.clone());
        let unconfirmed = request.unconfirmed_attempts();
        if !unconfirmed.is_empty() {
            self.releases.repeat_until(release, self.now + RELEASE_REPEAT_PERIOD, unconfirmed);
        }
        if let Some(earlier) = request.release() {
            self.releases.withdraw(earlier);
        }
        request.begin_release(release);
        let engine = self.endpoints.name(holder);
        self.log_release(LogEvent::ReleaseBegan { request_id, engine, held, reason }, out);
        self.release_due(release, out);
    }

    /// Runs the next step of a release. It is sent until it is acknowledged or has expired.
    pub(crate) fn release_due(&mut self, id: ReleaseId, out: &mut Vec<Output>) {
        match self.releases.step(id, self.now) {
            ReleaseStep::Over => {}
            ReleaseStep::Wait(at) => {
                self.timers.set(at, Timer::Release(id));
            }
            ReleaseStep::Send(release) => {
                self.timers.set(self.now + RELEASE_RETRY_INTERVAL, Timer::Release(id));
                if release.repeats && self.is_end_confirmed(&release) {
                    self.releases.stop_repeating(id);
                }
                for engine in self.release_targets(id, &release) {
                    self.send_release(id, &release, engine, out);
                }
            }
        }
    }

    /// Withdraws an acknowledged release while its request is being prefilled again, as a repeat could take the
    /// state that the new prefill leaves. It is sent again after that.
    pub(crate) fn suspend_repeats(&mut self, id: ReleaseId) {
        let Some(release) = self.releases.get(id) else { return };
        let Some(request) = self.requests.get_by_client_id_mut(&release.name) else { return };
        if request.release() == Some(id) && request.has_prefill_in_flight() {
            if let Some(holder) = self.releases.withdraw(id) {
                request.release_withdrawn(holder);
            }
        }
    }

    /// Whether every engine with a cancelled or interrupted attempt has sent bytes late enough after the end
    /// of the attempt to show that it has seen it.
    fn is_end_confirmed(&self, release: &Release) -> bool {
        release.unconfirmed.iter().all(|attempt| {
            self.endpoints.last_contact(attempt.engine) >= attempt.ended + CANCELLATION_SEEN_AFTER
        })
    }

    /// The engines to which a release is sent now, of those to which it was not sent yet: the one with the
    /// latest contact among those with an idle connection; and, if there is none or the release was already
    /// sent without success, the one with the latest contact of all, to which a connection has to be opened.
    fn release_targets(&mut self, id: ReleaseId, release: &Release) -> Vec<EngineId> {
        let engines = self.endpoints.by_last_contact();
        let mut candidates: Vec<EngineId> =
            engines.iter().copied().filter(|engine| !release.asked.contains(engine)).collect();
        if candidates.is_empty() {
            self.releases.clear_asked(id);
            candidates = engines;
        }
        let connected = candidates.iter().position(|&engine| self.engines.has_idle_to(engine));
        let mut targets: Vec<EngineId> = connected.map(|index| candidates[index]).into_iter().collect();
        let opens_connection = connected.is_none() || (connected > Some(0) && !release.asked.is_empty());
        if opens_connection && self.releases.may_open(release.holder, self.now, RELEASE_RETRY_INTERVAL) {
            targets.extend(candidates.first());
        }
        targets
    }

    fn send_release(&mut self, id: ReleaseId, release: &Release, engine: EngineId, out: &mut Vec<Output>) {
        let Some(addr) = self.endpoints.get(engine).map(|endpoint| endpoint.addr) else { return };
        let target = format!("/v1/holds/{}", release.name);
        let request =
            http::request_head("DELETE", &target, &[("host", &addr.to_string())], Framing::Length(0));
        self.counters.releases += 1;
        self.releases.record_sent(id, engine, self.now);
        let (request_id, name) = (release.name.clone(), self.endpoints.name(engine));
        self.log_release(LogEvent::ReleaseSent { request_id, engine: name }, out);
        let purpose = ConnectionPurpose::Release(id);
        self.exchange(Exchange { engine, addr, purpose, request, holds_last_byte: false }, out);
    }

    /// Logs a step of a release, within the budget of such lines.
    pub(crate) fn log_release(&mut self, event: LogEvent, out: &mut Vec<Output>) {
        if self.release_log.take() {
            out.push(Output::Log(event.to_string()));
        }
    }

    /// Sends the oldest waiting release on a connection that has just received an answer and is idle, so that
    /// many releases can follow each other on one working connection while all others are silent.
    pub(crate) fn send_waiting_release(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(engine) = self.engines.get(conn).map(EngineConnection::engine) else { return };
        let stale_before = self.now.saturating_sub(RELEASE_STALE_AFTER);
        let Some(id) = self.releases.oldest_waiting(stale_before) else { return };
        let Some(release) = self.releases.get(id).cloned() else { return };
        self.send_release(id, &release, engine, out);
    }
}
