//! Admission: whether a request is worked on at all, before any work is done.
//!
//! Decides by the curve of saturation, by the tenant's quota and by the priority of the request's class. May read the
//! saturation of the engines and the usual waits, and nothing of single engines.
//!
//! The ordinary path is the llm-d probabilistic admitter: a droppable request is rejected with probability
//! min(300 s^5, 1), s being the mean saturation of the engines. Protected requests pass. The design is cited in
//! docs/design.md, "The mechanism".

use super::engines::MEAN_WEIGHT;
use super::requests::ActiveRequest;
use super::router::Router;
use super::timers::Timer;
use crate::interface::{Action, Request, Role};
use std::time::Duration;

const CURVE_FACTOR: f64 = 300.0; // Factor of the refusal curve; no unit. From the llm-d post.
const CURVE_POWER: i32 = 5; // Power of the refusal curve; no unit. From the llm-d post.
const PROTECTED_PART: f64 = 0.8; // Part of the saturation that counts for protected requests; no unit.
pub(super) const QUOTA_DEPTH: f64 = 8.0; // Requests that a tenant's bucket holds; fewer take chance for too many.
pub(super) const FIRST_PROMPT: f64 = 1_000.0; // Prompt assumed before the first, tokens. Any plausible size does.
const ANSWER_TICKS: u32 = 2; // Ticks before a client's end at which it is answered: to tell, and to spare.
pub(super) const LONGEST: Duration = Duration::from_secs(3_600); // No wait is longer: hosts' timers have an end.

impl Router {
    pub(super) fn on_request(&mut self, now: Duration, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) || request.class.0 >= self.settings.classes.len() {
            return actions.push(Action::Fail(id));
        }
        self.settle(now);
        self.mean_prompt.add(request.prompt_tokens, MEAN_WEIGHT);
        let over_share = self.over_share(now, &request);
        let droppable = self.droppable(over_share, &request);
        let saturation = self.stage(now, Role::Prefill).max(self.stage(now, Role::Decode));
        let chance = refusal_chance(saturation, droppable);
        let refused = self.hopeless(&request) || self.chance() < chance;
        let until =
            |left: Duration| now + left.min(LONGEST).saturating_sub(self.settings.tick * ANSWER_TICKS);
        let (deadline, complete_answer_deadline) =
            (until(request.client_timeout), request.complete_answer_timeout.map(until));
        let sampled_probability = self.chance();
        let job = ActiveRequest {
            request,
            deadline,
            complete_answer_deadline,
            over_share,
            sampled_probability,
            ..ActiveRequest::default()
        };
        self.requests.insert(id, job);
        if refused {
            self.ask_anyone(now, actions);
            return self.give_up(id, actions);
        }
        self.set_timer(Timer::Deadline(id), deadline - now, actions);
        self.advance(now, id, actions);
    }

    /// Whether its client will have left before an answer usually begins: abandoned tries eat capacity. Harm:
    /// a jam that is over refuses on, so each refusal lets the means forget.
    pub(super) fn hopeless(&mut self, request: &Request) -> bool {
        let usual =
            self.means[Role::Prefill as usize].waiting_time + self.means[Role::Decode as usize].waiting_time;
        let hopeless = request.client_timeout.as_secs_f64() < usual;
        if hopeless {
            self.means.iter_mut().for_each(|means| means.waiting_time *= 1.0 - MEAN_WEIGHT);
        }
        hopeless
    }

    /// Whether the curve may refuse this request: it is worth less than the best, by its class or
    /// because its tenant is over its share; where all are worth the same, the loosest aim yields.
    pub(super) fn droppable(&self, over: bool, request: &Request) -> bool {
        let class = &self.settings.classes[request.class.0];
        let worth = class.priority_weight * if over { self.settings.over_quota_weight } else { 1.0 };
        worth < self.max_priority_weight || self.loosest_objective == Some(class.latency_objective)
    }

    /// Token bucket of a tenant's quota, this router's part of it.
    pub(super) fn over_share(&mut self, now: Duration, request: &Request) -> bool {
        let tenant = request.tenant.0;
        let quota = self.settings.tenants.get(tenant).and_then(|t| t.quota_per_s);
        let (Some(quota), Some(bucket)) = (quota, self.quotas.get_mut(tenant)) else { return false };
        let rate = quota / f64::from(self.settings.router_count);
        bucket.level = bucket.level_at(now, rate, QUOTA_DEPTH);
        bucket.updated_at = now;
        let over = bucket.level < 1.0;
        bucket.level -= if over || request.is_retry { 0.0 } else { 1.0 };
        over
    }
}

/// The curve of the llm-d post. Exception: where it refuses all droppable requests, what is left of the fleet
/// can't carry the protected ones either. The same curve, on a part of the saturation, then holds for them.
pub(super) fn refusal_chance(saturation: f64, droppable: bool) -> f64 {
    let curve = |s: f64| (CURVE_FACTOR * s.powi(CURVE_POWER)).min(1.0);
    match curve(saturation) {
        chance if droppable => chance,
        chance if chance < 1.0 => 0.0,
        _ => curve(PROTECTED_PART * saturation),
    }
}
