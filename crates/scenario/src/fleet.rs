//! A day: its site, its engines and its traffic.

use crate::actor::Sabotage;
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

/// An engine of a day; its address is settled when the day is played.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Its figures.
    pub spec: EngineSpec,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: String,
}

impl EnginePlan {
    /// Its entry in the list.
    pub fn listed(&self, state: EngineState) -> EngineSettings {
        let role = self.spec.role.into();
        let EnginePlan { spec, zone, cell } = self;
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

/// A stream of requests of one kind.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The model that is asked for.
    pub model: String,
    /// The key that is used.
    pub key: String,
    /// Requests a second.
    pub rate: f64,
    /// From when, since the start of the day.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
    /// Mean prompt length beside the shared beginning, tokens.
    pub prompt: f64,
    /// Mean answer length, tokens.
    pub answer: f64,
    /// How many shared beginnings there are.
    pub prefixes: u64,
    /// Their length, tokens.
    pub prefix: usize,
    /// The most tokens an answer may have.
    pub max_tokens: u32,
    /// Share of requests that stream.
    pub streamed: f64,
    /// How long clients wait for the beginning.
    pub patience: Duration,
    /// How often they try.
    pub tries: u32,
    /// Their wait before another try.
    pub backoff: Duration,
    /// Whether they heed `retry-after`.
    pub heeds: bool,
    /// Share that leaves in the midst.
    pub leave: f64,
}

/// A day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Settles all chances.
    pub seed: u64,
    /// When traffic ends, since the start.
    pub length: Duration,
    /// Routers.
    pub routers: usize,
    /// The site; its engines are filled in when the day is played.
    pub settings: GatewaySettings,
    /// The engines.
    pub engines: Vec<EnginePlan>,
    /// The requests, times since the start of the day.
    pub requests: Vec<ScriptedRequest>,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// How late the list tells of what happened.
    pub notice: Duration,
    /// A conductor changes the engines' roles as the mix shifts, by this policy.
    pub roles: Option<PlanningPolicy>,
    /// The routers are broken on purpose, to try the rule checker.
    pub sabotage: Option<Sabotage>,
}

impl Scenario {
    /// What a model's requests do when they run.
    pub fn effect_of(site: &GatewaySettings, model: &str) -> Effect {
        let class = site.models.iter().find(|m| m.name == model).map(|m| &site.decisions.classes[m.class]);
        match class.map(|c| c.idempotency) {
            Some(slipreel::Idempotency::WithKey { .. }) => Effect::Keyed,
            Some(slipreel::Idempotency::NotIdempotent) => Effect::Unsafe,
            Some(slipreel::Idempotency::Idempotent) | None => Effect::Safe,
        }
    }

    /// The zone of a router: they are spread over the zones in turn.
    pub fn router_zone(&self, router: usize) -> String {
        let mut zones: Vec<&str> = self.engines.iter().map(|e| e.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.get(router % zones.len().max(1)).map_or_else(|| "default".into(), |z| (*z).to_owned())
    }

    /// The name of a router, as engines see it.
    pub fn router_name(router: usize) -> String {
        format!("router-{router}")
    }

    /// The site that a router is handed.
    pub fn router_settings(&self, router: usize, addrs: &[SocketAddr]) -> GatewaySettings {
        let mut site = self.settings.clone();
        site.decisions.router_count = self.routers as u32;
        site.zone = self.router_zone(router);
        site.name = Self::router_name(router);
        let placed = self.engines.iter().zip(addrs).map(|(e, addr)| {
            let mut entry = e.listed(EngineState::Ready);
            entry.addr = *addr;
            entry
        });
        site.engines = placed.collect();
        site
    }
}

/// A chance from 0 to 1.
pub(crate) fn chance(rng: &mut Xoshiro256PlusPlus) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// An exponential draw of this mean.
fn exponential(rng: &mut Xoshiro256PlusPlus, mean: f64) -> f64 {
    -(1.0 - chance(rng)).ln() * mean
}

/// A lognormal draw of this mean, sigma one half.
fn length(rng: &mut Xoshiro256PlusPlus, mean: f64) -> f64 {
    const SIGMA: f64 = 0.5;
    let (u, v) = (1.0 - chance(rng), chance(rng));
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
}

/// A text of about so many tokens, the same for the same number.
pub(crate) fn text(number: u64, tokens: usize) -> String {
    let mut text = String::with_capacity(tokens * 4 + 8);
    let mut x = number | 1;
    while text.len() < tokens * 4 {
        x = x.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        text.push_str(&format!("{:03} ", x >> 40 & 0x3ff));
    }
    text
}

/// Draws the requests of several streams; their numbers go on from `first`.
pub fn spread_traffic(
    site: &GatewaySettings, streams: &[Traffic], seed: u64, first: u64,
) -> Vec<ScriptedRequest> {
    let mut plans = Vec::new();
    for (n, t) in streams.iter().enumerate() {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed.wrapping_add(n as u64 * 7919));
        let mut at = t.from.as_secs_f64();
        loop {
            at += exponential(&mut rng, 1.0 / t.rate.max(1e-9));
            if at >= t.until.as_secs_f64() {
                break;
            }
            let prefix = (chance(&mut rng) * t.prefixes as f64) as u64;
            let system =
                if t.prefix > 0 { text((n as u64 + 1) << 32 | prefix, t.prefix) } else { String::new() };
            let prompt = length(&mut rng, t.prompt).clamp(1.0, 30_000.0) as usize;
            let answer = (length(&mut rng, t.answer) as u32).clamp(1, t.max_tokens);
            let session = rng.next_u64();
            let habit = if chance(&mut rng) < t.leave {
                ClientBehaviour::LeavesAfter(Duration::from_secs_f64(chance(&mut rng) * 2.0))
            } else {
                ClientBehaviour::Plain
            };
            plans.push(ScriptedRequest {
                at: Duration::from_secs_f64(at),
                request: 0,
                model: t.model.clone(),
                effect: Scenario::effect_of(site, &t.model),
                key: t.key.clone(),
                session: format!("s{session:x}"),
                system,
                prompt: text(session, prompt),
                length: answer,
                max_tokens: t.max_tokens,
                stream: chance(&mut rng) < t.streamed,
                patience: t.patience,
                max_attempts: t.tries,
                backoff: t.backoff,
                honours_retry_after: t.heeds,
                behaviour: habit,
            });
        }
    }
    plans.sort_by_key(|p| p.at);
    plans.iter_mut().zip(first..).for_each(|(p, n)| p.request = n);
    plans
}
