//! Admission: whether to accept a request, before any work is done for it.
//!
//! Decides by the saturation of the engines, the tenant's quota and the priority of the request's class.
//! Reads the saturation of each stage and the mean waiting times, but no state of single engines.
//!
//! The ordinary path is the llm-d probabilistic admitter: a droppable request is rejected with probability
//! min(300 s^5, 1), where s is the mean saturation of the engines. Protected requests pass. The design is
//! cited in docs/design.md, "The mechanism".

use super::engines::MIN_SAMPLE_WEIGHT;
use super::requests::ActiveRequest;
use super::router::Router;
use super::timers::Timer;
use crate::interface::{Action, Request, Role};
use std::time::Duration;

/// Factor of the rejection curve; no unit. From the blog post on the llm-d admitter.
const REJECTION_CURVE_FACTOR: f64 = 300.0;
/// Exponent of the rejection curve; no unit. From the same post.
const REJECTION_CURVE_POWER: i32 = 5;
/// Share of the saturation at which the curve is evaluated for protected requests; no unit.
const PROTECTED_SATURATION_SHARE: f64 = 0.8;
/// Capacity of the token bucket of a tenant, requests. With less, random bursts would exceed the quota.
pub(super) const QUOTA_DEPTH: f64 = 8.0;
/// Mean prompt length assumed before the first request, tokens. Any plausible value will do.
pub(super) const INITIAL_PROMPT_TOKENS: f64 = 1_000.0;
/// How many ticks before its timeout a client is answered: one to send the answer, one in reserve.
const ANSWER_TICKS: u32 = 2;
/// The longest wait, as the timers of hosts have an upper bound.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(3_600);

impl Router {
    pub(super) fn on_request(&mut self, now: Duration, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) || request.class.0 >= self.settings.classes.len() {
            return actions.push(Action::Fail(id));
        }
        self.refresh_index(now);
        self.mean_prompt.add(request.prompt_tokens, MIN_SAMPLE_WEIGHT);
        let over_quota = self.exceeds_quota(now, &request);
        let droppable = self.droppable(over_quota, &request);
        let saturation =
            self.stage_saturation(now, Role::Prefill).max(self.stage_saturation(now, Role::Decode));
        let probability = rejection_probability(saturation, droppable);
        let unreachable = self.deadline_is_unreachable(&request);
        if unreachable {
            self.shorten_waiting_times();
        }
        let rejected = unreachable || self.sample_probability() < probability;
        let answer_margin = self.settings.tick * ANSWER_TICKS;
        let deadline_after = |timeout: Duration| now + timeout.min(MAX_WAIT).saturating_sub(answer_margin);
        let deadline = deadline_after(request.client_timeout);
        let complete_answer_deadline = request.complete_answer_timeout.map(deadline_after);
        let sampled_probability = self.sample_probability();
        let active = ActiveRequest {
            request,
            deadline,
            complete_answer_deadline,
            over_quota,
            sampled_probability,
            ..ActiveRequest::default()
        };
        self.requests.insert(id, active);
        if rejected {
            self.probe_stale_engines(now, actions);
            return self.abandon(id, actions);
        }
        self.set_timer(Timer::Deadline(id), deadline - now, actions);
        self.advance(now, id, actions);
    }

    /// Whether the client will time out before an answer usually begins. Attempts for such clients would only
    /// waste capacity.
    pub(super) fn deadline_is_unreachable(&self, request: &Request) -> bool {
        let mean_wait =
            self.means[Role::Prefill as usize].waiting_time + self.means[Role::Decode as usize].waiting_time;
        request.client_timeout.as_secs_f64() < mean_wait
    }

    /// Lets the mean waiting times decay. Requests that are rejected because of them yield no new samples, so
    /// that without the decay they would be rejected even after the congestion is over.
    pub(super) fn shorten_waiting_times(&mut self) {
        for means in &mut self.means {
            means.waiting_time *= 1.0 - MIN_SAMPLE_WEIGHT;
        }
    }

    /// Whether the rejection curve applies to this request: its priority weight is below the largest, by its
    /// class or because its tenant is over its quota. Where all weights are equal, requests of the loosest
    /// latency objective are droppable.
    pub(super) fn droppable(&self, over_quota: bool, request: &Request) -> bool {
        let class = &self.settings.classes[request.class.0];
        let weight = class.priority_weight * if over_quota { self.settings.over_quota_weight } else { 1.0 };
        weight < self.max_priority_weight || self.loosest_objective == Some(class.latency_objective)
    }

    /// Whether the tenant is over this router's share of its quota. If not, the request counts towards it,
    /// unless it is marked as a retry.
    pub(super) fn exceeds_quota(&mut self, now: Duration, request: &Request) -> bool {
        let tenant = request.tenant.0;
        let quota = self.settings.tenants.get(tenant).and_then(|t| t.quota_per_s);
        let (Some(quota), Some(bucket)) = (quota, self.quotas.get_mut(tenant)) else { return false };
        let rate = quota / f64::from(self.settings.router_count);
        bucket.level = bucket.level_at(now, rate, QUOTA_DEPTH);
        bucket.updated_at = now;
        let exceeded = bucket.level < 1.0;
        bucket.level -= if exceeded || request.is_retry { 0.0 } else { 1.0 };
        exceeded
    }
}

/// The probability of rejection by the llm-d curve. Exception: where the curve rejects all droppable
/// requests, the engines cannot serve all protected ones either. The curve then applies to these, too, at a
/// share of the saturation.
pub(super) fn rejection_probability(saturation: f64, droppable: bool) -> f64 {
    let curve = |saturation: f64| (REJECTION_CURVE_FACTOR * saturation.powi(REJECTION_CURVE_POWER)).min(1.0);
    match curve(saturation) {
        probability if droppable => probability,
        probability if probability < 1.0 => 0.0,
        _ => curve(PROTECTED_SATURATION_SHARE * saturation),
    }
}
