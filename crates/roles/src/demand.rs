//! The load that clients request, computed from the metrics of routers: requests by class, including rejected
//! ones, and tokens per request.
//!
//! Engines report only the requests that they have. Requests that routers reject never reach an engine, and
//! routers reject most when engines are short. Demand is therefore measured at the routers.

use crate::stage_load::StageLoad;
use std::collections::BTreeMap;
use std::time::Duration;

/// The tokens that a fully busy engine processes per second, by its role. Operators configure them.
#[derive(Clone, Copy, Debug)]
pub struct EngineThroughput {
    /// Prompt tokens, in prefill.
    pub prefill: f64,
    /// Answer tokens, in decode.
    pub decode: f64,
}

/// The half-life of a request's weight in the mean token counts of its class. It is a few times the duration
/// of a role change, as the request lengths of a class shift too.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// The counters of one class at one router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ClassCounters {
    /// Requests, including rejected ones.
    requests: f64,
    /// Requests whose prompt was processed.
    prefilled_requests: f64,
    /// Prompt tokens of `prefilled_requests`.
    prompt_tokens: f64,
    /// Requests that were answered.
    answered_requests: f64,
    /// Answer tokens of `answered_requests`.
    answer_tokens: f64,
}

impl ClassCounters {
    /// The counter that routers publish under this name; `None` if the name is unknown.
    fn by_metric_name(&mut self, name: &str) -> Option<&mut f64> {
        match name {
            "asked" => Some(&mut self.requests),
            "reads" => Some(&mut self.prefilled_requests),
            "read_tokens" => Some(&mut self.prompt_tokens),
            "answers" => Some(&mut self.answered_requests),
            "answer_tokens" => Some(&mut self.answer_tokens),
            _ => None,
        }
    }

    /// The increase since `before`. If the counters have restarted from 0, which shows in fewer requests, it
    /// is their full value.
    fn increase_since(self, before: ClassCounters) -> ClassCounters {
        if self.requests < before.requests {
            return self;
        }
        let difference = |now: f64, before: f64| (now - before).max(0.0);
        ClassCounters {
            requests: difference(self.requests, before.requests),
            prefilled_requests: difference(self.prefilled_requests, before.prefilled_requests),
            prompt_tokens: difference(self.prompt_tokens, before.prompt_tokens),
            answered_requests: difference(self.answered_requests, before.answered_requests),
            answer_tokens: difference(self.answer_tokens, before.answer_tokens),
        }
    }
}

/// Parses the counters of each class from a router's metrics.
fn parse_metrics(text: &str) -> BTreeMap<String, ClassCounters> {
    let mut classes: BTreeMap<String, ClassCounters> = BTreeMap::new();
    for line in text.lines() {
        let Some(rest) = line.strip_prefix("slipreel_class_") else { continue };
        let Some((name, rest)) = rest.split_once("_total{class=\"") else { continue };
        let Some((class, value)) = rest.split_once("\"}") else { continue };
        let Some(value) = value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)
        else {
            continue;
        };
        if let Some(counter) = classes.entry(class.to_owned()).or_default().by_metric_name(name) {
            *counter = value;
        }
    }
    classes
}

/// Computes the load that clients request from the counters of all routers.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// The last counters of each router and class.
    last_counters: BTreeMap<(usize, String), ClassCounters>,
    /// Requests of each class in the present round.
    round_requests: BTreeMap<String, f64>,
    /// Recent counters of each class, decaying with [`HALF_LIFE`].
    recent_counters: BTreeMap<String, ClassCounters>,
    /// Routers whose metrics were added in the present round.
    router_count: usize,
    /// When the present round began.
    round_began: Option<Duration>,
}

impl Demand {
    /// Adds the metrics of a router to the present round.
    pub fn add_metrics(&mut self, router: usize, text: &str) {
        for (class, counters) in parse_metrics(text) {
            let before = self.last_counters.insert((router, class.clone()), counters);
            // Requests that a router counted before its first metrics do not belong to this round.
            let increase = counters.increase_since(before.unwrap_or(counters));
            *self.round_requests.entry(class.clone()).or_default() += increase.requests;
            let recent = self.recent_counters.entry(class).or_default();
            let added = if before.is_some() { increase } else { counters };
            recent.prefilled_requests += added.prefilled_requests;
            recent.prompt_tokens += added.prompt_tokens;
            recent.answered_requests += added.answered_requests;
            recent.answer_tokens += added.answer_tokens;
        }
        self.router_count += 1;
    }

    /// Ends the round and returns the load requested in it, in fully busy engines; `None` at the first call
    /// or if no metrics were added since the last.
    pub fn take_load(&mut self, now: Duration, throughput: EngineThroughput) -> Option<StageLoad> {
        let round_requests = std::mem::take(&mut self.round_requests);
        let router_count = std::mem::take(&mut self.router_count);
        let since = self.round_began.replace(now)?;
        let seconds = now.saturating_sub(since).as_secs_f64();
        if router_count == 0 || seconds <= 0.0 {
            return None;
        }
        let mut load = StageLoad::default();
        for (class, requests) in round_requests {
            let recent = self.recent_counters.get(&class).copied().unwrap_or_default();
            let rate = requests / seconds;
            let mean = |tokens: f64, requests: f64| if requests > 0.0 { tokens / requests } else { 0.0 };
            load.prefill +=
                rate * mean(recent.prompt_tokens, recent.prefilled_requests) / throughput.prefill.max(1.0);
            load.decode +=
                rate * mean(recent.answer_tokens, recent.answered_requests) / throughput.decode.max(1.0);
        }
        // Both parts of a mean decay alike, so a class without requests keeps its mean until it has requests
        // again.
        let decay = 0.5f64.powf(seconds / HALF_LIFE.as_secs_f64());
        for recent in self.recent_counters.values_mut() {
            for counter in [
                &mut recent.prefilled_requests,
                &mut recent.prompt_tokens,
                &mut recent.answered_requests,
                &mut recent.answer_tokens,
            ] {
                *counter *= decay;
            }
        }
        Some(load)
    }
}

#[cfg(test)]
mod tests;
