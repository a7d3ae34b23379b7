//! Days as INI: the sections of a site, and `[day]`, `[engines NAME]`, `[traffic NAME]` and `[trouble NAME]`.
//! `docs/days.md` describes them.

use crate::fleet::{spread_traffic, EnginePlan, Scenario, Traffic};
use crate::trouble::{Kind, Trouble, KINDS};
use slipreel::Role;
use slipreel_roles::PlanningPolicy;
use slipreel_settings::{read_site, Daemon, Doc, Fault, Name, Value};
use slipreel_test_servers::engine::{EngineSpec, Role as SpecRole};
use std::net::SocketAddr;
use std::time::Duration;

/// The sections of a day.
pub const SCENARIO_SECTIONS: &[&str] = &[
    "router", "limits", "bounds", "class", "model", "tenant", "engine", "log", "day", "engines", "traffic",
    "trouble",
];

impl Value for Kind {
    const EXPECTED: &'static str = "a kind of trouble";
    fn read(text: &str) -> Result<Self, String> {
        let found = KINDS.iter().find(|(name, _)| *name == text).map(|(_, kind)| *kind);
        found.ok_or_else(|| {
            let names: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
            format!("one of {}", names.join(", "))
        })
    }
}

/// Who changes roles: nobody, or a conductor by a policy.
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

/// Reads a day.
///
/// # Errors
/// Every fault of the text, by line.
pub fn read_scenario(text: &str, file: &str) -> Result<Scenario, Vec<Fault>> {
    let mut doc = Doc::parse(text, file)?;
    let day = read_scenario_sections(&mut doc);
    doc.finish(SCENARIO_SECTIONS)?;
    day.ok_or_else(Vec::new)
}

/// Reads the sections of a day from a document that may hold others. `None` if something that has to be there is missing; the
/// document says what.
pub fn read_scenario_sections(doc: &mut Doc) -> Option<Scenario> {
    let engines = read_engines(doc);
    let site = read_site(doc, false);
    let at = doc.one("day");
    let seed = doc.or(at, "seed", 1u64);
    let length = doc.or(at, "length", Duration::from_secs(20));
    let routers = doc.or(at, "routers", 2usize).max(1);
    let notice = doc.or(at, "notice", Duration::from_millis(1_000));
    let policy = at.and_then(|at| doc.get::<PolicyName>(at, "roles"));
    let roles = policy.and_then(|p| p.0);
    let mut streams = read_traffic(doc, length);
    let troubles = read_troubles(doc);
    let Daemon { site, .. } = site?;
    shape_traffic(&mut streams, &troubles);
    let plans = spread_traffic(&site, &streams, seed, 1);
    Some(Scenario {
        seed,
        length,
        routers,
        settings: site,
        engines,
        requests: plans,
        troubles,
        notice,
        roles,
        sabotage: None,
    })
}

fn read_engines(doc: &mut Doc) -> Vec<EnginePlan> {
    let mut plans = Vec::new();
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
            plans.push(EnginePlan { spec, zone: zone.clone(), cell: cell.clone() });
        }
    }
    if plans.is_empty() {
        doc.say_file("expected at least one section [engines NAME]");
    }
    plans
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
            prompt: doc.or(at, "prompt", 300.0),
            answer: doc.or(at, "answer", 30.0),
            prefixes: doc.or(at, "prefixes", 8),
            prefix: doc.or(at, "prefix", 500),
            max_tokens: doc.or(at, "max_tokens", 200),
            streamed: doc.or(at, "streamed", 1.0),
            patience: doc.or(at, "patience", Duration::from_secs(6)),
            tries: doc.or(at, "tries", 1),
            backoff: doc.or(at, "backoff", Duration::from_millis(100)),
            heeds: doc.or(at, "heeds", true),
            leave: doc.or(at, "leave", 0.0),
        });
    }
    streams
}

fn read_troubles(doc: &mut Doc) -> Vec<Trouble> {
    let mut troubles = Vec::new();
    for at in doc.all("trouble") {
        let Some(kind) = doc.need::<Kind>(at, "kind") else { continue };
        let at = Some(at);
        troubles.push(Trouble {
            kind,
            at: doc.or(at, "at", Duration::from_secs(5)),
            lasts: doc.or(at, "lasts", Duration::from_secs(5)),
            part: doc.or(at, "part", 0.25),
            size: doc.or(at, "size", 3.0),
            whom: doc.or(at, "whom", String::new()),
        });
    }
    troubles
}

/// Troubles that are traffic: they add streams for their time, or change those there are.
fn shape_traffic(streams: &mut Vec<Traffic>, troubles: &[Trouble]) {
    let usual = streams.clone();
    for t in troubles {
        let until = t.at + t.lasts;
        let named = |s: &&Traffic| t.whom.is_empty() || t.whom == s.key || t.whom == s.model;
        match t.kind {
            Kind::Burst | Kind::TenantBurst => {
                let more = |s: &Traffic| Traffic {
                    rate: s.rate * (t.size - 1.0).max(0.0),
                    from: t.at,
                    until,
                    ..s.clone()
                };
                streams.extend(usual.iter().filter(named).map(more));
            }
            Kind::HeavyTail => {
                let long = |s: &Traffic| Traffic {
                    rate: s.rate / 50.0,
                    prompt: s.prompt * t.size,
                    from: t.at,
                    until,
                    ..s.clone()
                };
                streams.extend(usual.iter().filter(named).map(long));
            }
            Kind::RetryAbuse => {
                for s in streams.iter_mut().filter(|s| named(&&**s)) {
                    (s.tries, s.backoff, s.heeds) = (t.size.max(1.0) as u32, Duration::from_millis(1), false);
                    s.patience /= 2;
                }
            }
            _ => {}
        }
    }
}
