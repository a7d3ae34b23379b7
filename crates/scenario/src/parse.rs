//! Scenarios as INI: the sections of router settings, and `[day]`, `[engines NAME]`, `[traffic NAME]` and
//! `[trouble NAME]`. `docs/days.md` describes them.

use crate::scenario::{generate_requests, Scenario, ScenarioEngine, Traffic};
use crate::trouble::{Trouble, TroubleKind, KIND_NAMES};
use slipreel::Role;
use slipreel_roles::PlanningPolicy;
use slipreel_settings::{read_daemon_settings, DaemonSettings, Doc, Fault, Name, Value};
use slipreel_test_servers::engine::{EngineSpec, Role as SpecRole};
use std::net::SocketAddr;
use std::time::Duration;

/// Names of the sections of a scenario file.
pub const SCENARIO_SECTIONS: &[&str] = &[
    "router", "limits", "bounds", "class", "model", "tenant", "engine", "log", "day", "engines", "traffic",
    "trouble",
];

impl Value for TroubleKind {
    const EXPECTED: &'static str = "a kind of trouble";
    fn read(text: &str) -> Result<Self, String> {
        let found = KIND_NAMES.iter().find(|(name, _)| *name == text).map(|(_, kind)| *kind);
        found.ok_or_else(|| {
            let names: Vec<&str> = KIND_NAMES.iter().map(|(name, _)| *name).collect();
            format!("one of {}", names.join(", "))
        })
    }
}

/// The value of `roles`: `fixed` for no role changes, or the policy of the role controller.
struct PolicyName(Option<PlanningPolicy>);

impl Value for PolicyName {
    const EXPECTED: &'static str = "fixed, greedy, forecast or program";
    fn read(text: &str) -> Result<Self, String> {
        match text {
            "fixed" => Ok(PolicyName(None)),
            "greedy" => Ok(PolicyName(Some(PlanningPolicy::Greedy))),
            "forecast" => Ok(PolicyName(Some(PlanningPolicy::Forecast))),
            "program" => Ok(PolicyName(Some(PlanningPolicy::Program))),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// Reads a scenario from INI. `file` names the text in errors.
///
/// # Errors
/// Every error in the text, with its line.
pub fn read_scenario(text: &str, file: &str) -> Result<Scenario, Vec<Fault>> {
    let mut doc = Doc::parse(text, file)?;
    let scenario = read_scenario_sections(&mut doc);
    doc.finish(SCENARIO_SECTIONS)?;
    scenario.ok_or_else(Vec::new)
}

/// Reads the sections of a scenario from a document that may have others. `None` if something required is
/// missing; the document records what.
pub fn read_scenario_sections(doc: &mut Doc) -> Option<Scenario> {
    let engines = read_engines(doc);
    let daemon = read_daemon_settings(doc, false);
    let at = doc.one("day");
    let seed = doc.or(at, "seed", 1u64);
    let length = doc.or(at, "length", Duration::from_secs(20));
    let routers = doc.or(at, "routers", 2usize).max(1);
    let list_delay = doc.or(at, "notice", Duration::from_millis(1_000));
    let policy_name = at.and_then(|at| doc.get::<PolicyName>(at, "roles"));
    let role_policy = policy_name.and_then(|p| p.0);
    let mut streams = read_traffic(doc, length);
    let troubles = read_troubles(doc);
    let DaemonSettings { gateway: settings, .. } = daemon?;
    apply_traffic_troubles(&mut streams, &troubles);
    let requests = generate_requests(&settings, &streams, seed, 1);
    Some(Scenario {
        seed,
        length,
        routers,
        settings,
        engines,
        requests,
        troubles,
        list_delay,
        role_policy,
        router_defect: None,
    })
}

fn read_engines(doc: &mut Doc) -> Vec<ScenarioEngine> {
    let mut engines = Vec::new();
    for at in doc.all("engines") {
        let name = doc.section(at).name.clone();
        let role = match doc.need::<Role>(at, "role") {
            Some(Role::Prefill) => SpecRole::Prefill,
            Some(Role::Decode) => SpecRole::Decode,
            Some(Role::Mixed) => SpecRole::Mixed,
            None => continue,
        };
        let zone = doc.or(Some(at), "zone", Name("default".into())).0;
        let cell = doc.or(Some(at), "cell", Name(zone.clone())).0;
        let mut spec = EngineSpec::new(&name, SocketAddr::from(([127, 0, 0, 1], 1)), role);
        spec.slots = doc.or(Some(at), "slots", spec.slots);
        spec.queue = doc.or(Some(at), "queue", spec.queue);
        spec.memory = doc.or(Some(at), "memory", spec.memory);
        spec.prefill_tokens_per_s = doc.or(Some(at), "read_per_s", spec.prefill_tokens_per_s).max(1.0);
        spec.step = doc.or(Some(at), "step", spec.step);
        spec.per_answer = doc.or(Some(at), "per_answer", spec.per_answer);
        spec.cold_share = doc.or(Some(at), "cold_share", spec.cold_share);
        spec.cold_time = doc.or(Some(at), "cold_time", spec.cold_time);
        spec.fall_multiple = doc.or(Some(at), "fall_multiple", spec.fall_multiple);
        spec.group = doc.or(Some(at), "group", spec.group.clone());
        for n in 0..doc.or(Some(at), "count", 1usize) {
            let spec = EngineSpec { name: format!("{name}-{n}"), ..spec.clone() };
            engines.push(ScenarioEngine { spec, zone: zone.clone(), cell: cell.clone() });
        }
    }
    if engines.is_empty() {
        doc.add_file_fault("expected at least one section [engines NAME]");
    }
    engines
}

fn read_traffic(doc: &mut Doc, length: Duration) -> Vec<Traffic> {
    let mut streams = Vec::new();
    for at in doc.all("traffic") {
        let at = Some(at);
        let Some(model) = at.and_then(|at| doc.need::<String>(at, "model")) else { continue };
        streams.push(Traffic {
            model,
            key: doc.or(at, "key", "none".to_owned()),
            rate: doc.or(at, "rate", 10.0),
            from: doc.or(at, "from", Duration::ZERO),
            until: doc.or(at, "until", length),
            mean_prompt_tokens: doc.or(at, "prompt", 300.0),
            mean_answer_tokens: doc.or(at, "answer", 30.0),
            prefix_count: doc.or(at, "prefixes", 8),
            prefix_tokens: doc.or(at, "prefix", 500),
            max_tokens: doc.or(at, "max_tokens", 200),
            streamed_share: doc.or(at, "streamed", 1.0),
            patience: doc.or(at, "patience", Duration::from_secs(6)),
            max_attempts: doc.or(at, "tries", 1),
            backoff: doc.or(at, "backoff", Duration::from_millis(100)),
            honours_retry_after: doc.or(at, "heeds", true),
            disconnect_share: doc.or(at, "leave", 0.0),
        });
    }
    streams
}

fn read_troubles(doc: &mut Doc) -> Vec<Trouble> {
    let mut troubles = Vec::new();
    for at in doc.all("trouble") {
        let Some(kind) = doc.need::<TroubleKind>(at, "kind") else { continue };
        let at = Some(at);
        troubles.push(Trouble {
            kind,
            at: doc.or(at, "at", Duration::from_secs(5)),
            duration: doc.or(at, "lasts", Duration::from_secs(5)),
            share: doc.or(at, "part", 0.25),
            size: doc.or(at, "size", 3.0),
            targets: doc.or(at, "whom", String::new()),
        });
    }
    troubles
}

/// Applies the troubles that affect traffic: bursts and long prompts add streams for as long as they last,
/// excessive retries change the existing streams.
fn apply_traffic_troubles(streams: &mut Vec<Traffic>, troubles: &[Trouble]) {
    let base_streams = streams.clone();
    for trouble in troubles {
        let until = trouble.at + trouble.duration;
        let is_affected = |s: &&Traffic| {
            trouble.targets.is_empty() || trouble.targets == s.key || trouble.targets == s.model
        };
        match trouble.kind {
            TroubleKind::Burst | TroubleKind::TenantBurst => {
                let added_load = |s: &Traffic| Traffic {
                    rate: s.rate * (trouble.size - 1.0).max(0.0),
                    from: trouble.at,
                    until,
                    ..s.clone()
                };
                streams.extend(base_streams.iter().filter(is_affected).map(added_load));
            }
            TroubleKind::HeavyTail => {
                let long_prompts = |s: &Traffic| Traffic {
                    rate: s.rate / 50.0,
                    mean_prompt_tokens: s.mean_prompt_tokens * trouble.size,
                    from: trouble.at,
                    until,
                    ..s.clone()
                };
                streams.extend(base_streams.iter().filter(is_affected).map(long_prompts));
            }
            TroubleKind::RetryAbuse => {
                for s in streams.iter_mut().filter(|s| is_affected(&&**s)) {
                    (s.max_attempts, s.backoff, s.honours_retry_after) =
                        (trouble.size.max(1.0) as u32, Duration::from_millis(1), false);
                    s.patience /= 2;
                }
            }
            _ => {}
        }
    }
}
