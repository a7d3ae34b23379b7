//! A scenario: the settings of its routers, its engines and its traffic.

use crate::machine::RouterDefect;
use crate::trouble::Trouble;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel::EngineState;
use slipreel_gateway::settings::{EngineSettings, GatewaySettings};
use slipreel_invariants::Effect;
use slipreel_roles::PlanningPolicy;
use slipreel_test_servers::client::{ClientBehaviour, ScriptedRequest};
use slipreel_test_servers::engine::EngineSpec;
use std::net::SocketAddr;
use std::time::Duration;

/// An engine of a scenario. Its address is assigned when the scenario is run.
#[derive(Clone, Debug)]
pub struct ScenarioEngine {
    /// How it is simulated: role, capacity and speed.
    pub spec: EngineSpec,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: String,
}

impl ScenarioEngine {
    /// Its entry in the engine list, with this state.
    pub fn list_entry(&self, state: EngineState) -> EngineSettings {
        let role = self.spec.role.into();
        let ScenarioEngine { spec, zone, cell } = self;
        EngineSettings {
            name: spec.name.clone(),
            addr: spec.addr,
            role,
            zone: zone.clone(),
            cell: cell.clone(),
            state,
        }
    }
}

/// A stream of requests of one kind, with exponentially distributed times between them.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Name of the requested model.
    pub model: String,
    /// The API key that its clients send.
    pub key: String,
    /// Mean requests per second.
    pub rate: f64,
    /// When it starts, since the start of the scenario.
    pub from: Duration,
    /// When it ends, since the start of the scenario.
    pub until: Duration,
    /// Mean prompt length without the shared prefix, in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean answer length, in tokens.
    pub mean_answer_tokens: f64,
    /// Number of shared prompt prefixes; each request has one of them, drawn at random.
    pub prefix_count: u64,
    /// Length of a shared prefix, in tokens.
    pub prefix_tokens: usize,
    /// The most tokens that an answer may have.
    pub max_tokens: u32,
    /// Share of requests whose answer is streamed.
    pub streamed_share: f64,
    /// How long clients wait for an answer to begin.
    pub patience: Duration,
    /// The most attempts for a request, the first included.
    pub max_attempts: u32,
    /// How long clients wait before another attempt.
    pub backoff: Duration,
    /// Whether clients honour `retry-after`.
    pub honours_retry_after: bool,
    /// Share of clients that disconnect before the answer is complete.
    pub disconnect_share: f64,
}

/// A scripted run: the fleet, its requests, and what goes wrong when.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random draws.
    pub seed: u64,
    /// When traffic ends, since the start of the scenario.
    pub length: Duration,
    /// Number of routers.
    pub routers: usize,
    /// The settings of the routers; their engines are filled in when the scenario is run.
    pub settings: GatewaySettings,
    /// The simulated engines.
    pub engines: Vec<ScenarioEngine>,
    /// The requests, in order of time; times count from the start of the scenario.
    pub requests: Vec<ScriptedRequest>,
    /// What goes wrong, and when.
    pub troubles: Vec<Trouble>,
    /// Delay between a change of the engines and the engine list that reports it to routers.
    pub list_delay: Duration,
    /// If set, a role controller changes engine roles by this policy as the mix of requests shifts.
    pub role_policy: Option<PlanningPolicy>,
    /// If set, the routers have this defect, to test that the invariant checker detects it.
    pub router_defect: Option<RouterDefect>,
}

impl Scenario {
    /// Whether requests of a model are safe to run more than once; safe if the model is unknown.
    pub fn effect_of(settings: &GatewaySettings, model: &str) -> Effect {
        let class =
            settings.models.iter().find(|m| m.name == model).map(|m| &settings.decisions.classes[m.class]);
        match class.map(|c| c.idempotency) {
            Some(slipreel::Idempotency::WithKey { .. }) => Effect::Keyed,
            Some(slipreel::Idempotency::NotIdempotent) => Effect::Unsafe,
            Some(slipreel::Idempotency::Idempotent) | None => Effect::Safe,
        }
    }

    /// The zone of a router; routers are assigned to the zones in turn.
    pub fn router_zone(&self, router: usize) -> String {
        let mut zones: Vec<&str> = self.engines.iter().map(|e| e.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.get(router % zones.len().max(1)).map_or_else(|| "default".into(), |z| (*z).to_owned())
    }

    /// The name of a router, as it appears in the engines' observations.
    pub fn router_name(router: usize) -> String {
        format!("router-{router}")
    }

    /// The settings of one router, with the engines at these addresses.
    pub fn router_settings(&self, router: usize, addrs: &[SocketAddr]) -> GatewaySettings {
        let mut settings = self.settings.clone();
        settings.decisions.router_count = self.routers as u32;
        settings.zone = self.router_zone(router);
        settings.name = Self::router_name(router);
        let engines = self.engines.iter().zip(addrs).map(|(e, addr)| {
            let mut entry = e.list_entry(EngineState::Ready);
            entry.addr = *addr;
            entry
        });
        settings.engines = engines.collect();
        settings
    }
}

/// A uniformly distributed number from 0 to below 1.
pub(crate) fn uniform(rng: &mut Xoshiro256PlusPlus) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// An exponentially distributed number with this mean.
fn exponential(rng: &mut Xoshiro256PlusPlus, mean: f64) -> f64 {
    -(1.0 - uniform(rng)).ln() * mean
}

/// A log-normally distributed number with this mean, and 0.5 as the deviation of its logarithm.
fn log_normal(rng: &mut Xoshiro256PlusPlus, mean: f64) -> f64 {
    const SIGMA: f64 = 0.5;
    let (u1, u2) = (1.0 - uniform(rng), uniform(rng));
    let normal = (-2.0 * u1.ln()).sqrt() * (std::f64::consts::TAU * u2).cos();
    mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
}

/// A text of about this many tokens; the same seed and length always give the same text.
pub(crate) fn synthetic_text(seed: u64, tokens: usize) -> String {
    let mut text = String::with_capacity(tokens * 4 + 8);
    let mut state = seed | 1;
    while text.len() < tokens * 4 {
        state = state.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        text.push_str(&format!("{:03} ", state >> 40 & 0x3ff));
    }
    text
}

/// Draws the requests of several streams, sorted by time and numbered from `first`.
pub fn generate_requests(
    settings: &GatewaySettings, streams: &[Traffic], seed: u64, first: u64,
) -> Vec<ScriptedRequest> {
    let mut requests = Vec::new();
    for (n, stream) in streams.iter().enumerate() {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed.wrapping_add(n as u64 * 7919));
        let mut at = stream.from.as_secs_f64();
        loop {
            at += exponential(&mut rng, 1.0 / stream.rate.max(1e-9));
            if at >= stream.until.as_secs_f64() {
                break;
            }
            let prefix = (uniform(&mut rng) * stream.prefix_count as f64) as u64;
            let system = if stream.prefix_tokens > 0 {
                synthetic_text((n as u64 + 1) << 32 | prefix, stream.prefix_tokens)
            } else {
                String::new()
            };
            let prompt = log_normal(&mut rng, stream.mean_prompt_tokens).clamp(1.0, 30_000.0) as usize;
            let answer = (log_normal(&mut rng, stream.mean_answer_tokens) as u32).clamp(1, stream.max_tokens);
            let session = rng.next_u64();
            let behaviour = if uniform(&mut rng) < stream.disconnect_share {
                ClientBehaviour::LeavesAfter(Duration::from_secs_f64(uniform(&mut rng) * 2.0))
            } else {
                ClientBehaviour::Plain
            };
            requests.push(ScriptedRequest {
                at: Duration::from_secs_f64(at),
                request: 0,
                model: stream.model.clone(),
                effect: Scenario::effect_of(settings, &stream.model),
                key: stream.key.clone(),
                session: format!("s{session:x}"),
                system,
                prompt: synthetic_text(session, prompt),
                length: answer,
                max_tokens: stream.max_tokens,
                stream: uniform(&mut rng) < stream.streamed_share,
                patience: stream.patience,
                max_attempts: stream.max_attempts,
                backoff: stream.backoff,
                honours_retry_after: stream.honours_retry_after,
                behaviour,
            });
        }
    }
    requests.sort_by_key(|r| r.at);
    requests.iter_mut().zip(first..).for_each(|(request, number)| request.request = number);
    requests
}
