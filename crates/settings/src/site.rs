//! From sections to [`GatewaySettings`]: defaults, and checks across sections.

use crate::doc::Doc;
use crate::fleet::{read_fleet, FleetSite};
use crate::values::{Bytes, Loopback, Name, Value};
use slipreel::{
    Class, DeduplicationScope, EngineState, Idempotency, Limits, ReportSource, Role, Settings, Tenant, ZoneId,
};
use slipreel_gateway::settings::{
    class_defaults, default_decision_settings, Bounds, ClassSettings, EngineSettings, GatewaySettings,
    ModelSettings,
};
use slipreel_gateway::settings::{TenantSettings, KINDS};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The sections of a router's settings.
pub const SITE_SECTIONS: &[&str] = &[
    "router",
    "limits",
    "bounds",
    "class",
    "model",
    "tenant",
    "operations",
    "engine",
    "log",
    "roles",
    "fleet",
];

/// How lines are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl Value for LogFormat {
    const EXPECTED: &'static str = "text or json";
    fn read(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// What the daemon needs: a site, and what surrounds it.
#[derive(Clone, Debug)]
pub struct Daemon {
    /// The settings that each gateway is started with.
    pub site: GatewaySettings,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators connect, for metrics: the first gateway's; the next ones take the ports after it.
    pub operators: Option<SocketAddr>,
    /// How many gateways run, each a router of its own on a thread of its own.
    pub threads: usize,
    /// A file in the `EndpointSlice` JSON format with the list of engines, if it comes from there.
    pub engines_file: Option<PathBuf>,
    /// The fleet that it is a member of; `None`: it knows itself alone.
    pub fleet: Option<FleetSite>,
    /// How lines are logged.
    pub log_format: LogFormat,
    /// Least level of what is logged, as tracing names it.
    pub log_level: String,
}

impl Value for ReportSource {
    const EXPECTED: &'static str = "answers, probes or none";
    fn read(text: &str) -> Result<Self, String> {
        match text {
            "answers" => Ok(ReportSource::Answers),
            "probes" => Ok(ReportSource::Probes),
            "none" => Ok(ReportSource::None),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// Reads the sections of a site. `None` if something that has to be there is missing; the document says what.
/// `serves`: it is to be served, so that an address and engines are needed.
pub fn read_site(doc: &mut Doc, serves: bool) -> Option<Daemon> {
    let router = doc.one("router");
    let log = doc.one("log");
    if router.is_none() && serves {
        doc.say_file("expected a section [router]");
    }
    let any = Loopback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listen = match router {
        Some(at) if serves => doc.need::<Loopback>(at, "listen"),
        at => Some(doc.or(at, "listen", any)),
    };
    let operators = router.and_then(|at| doc.get::<Loopback>(at, "operators")).map(|a| a.0);
    let threads = at_least_one(doc, router, "threads", 1);
    if let (Some(at), Some(first)) = (router, operators) {
        let last = usize::from(first.port()) + threads - 1;
        let taken = listen.as_ref().is_some_and(|l| {
            l.0.ip() == first.ip() && (usize::from(first.port())..=last).contains(&usize::from(l.0.port()))
        });
        if last > usize::from(u16::MAX) || taken {
            let why = format!(
                "{first}: expected {threads} free ports from here on, one a thread, without that of listen"
            );
            doc.say(at, "operators", why);
        }
    }
    let others = doc.or(router, "routers", threads as u32);
    if let Some(at) = router.filter(|_| (others as usize) < threads) {
        doc.say(
            at,
            "routers",
            format!("{others}: expected at least as many as threads, {threads}: each is a router"),
        );
    }
    let (classes, class_sites): (Vec<Class>, Vec<ClassSettings>) = read_classes(doc).into_iter().unzip();
    let (tenants, tenant_sites): (Vec<Tenant>, Vec<TenantSettings>) = read_tenants(doc).into_iter().unzip();
    let engines_file = router.and_then(|at| doc.get::<String>(at, "engines")).map(PathBuf::from);
    let engines = read_engines(doc);
    if engines.is_empty() && engines_file.is_none() && serves {
        doc.say_file("expected [engine NAME] sections, or `engines` in [router]");
    }
    let taken_out = read_taken_out(doc);
    check_taken_out(doc, &engines, &taken_out);
    let models = read_models(doc, &class_sites);
    let bounds = read_bounds(doc);
    let settings = read_settings(doc, router, others, classes, tenants);
    let site = GatewaySettings {
        decisions: settings,
        classes: class_sites,
        models,
        tenants: tenant_sites,
        engines,
        bounds,
        drained_engines: taken_out,
        roles_frozen: read_roles_frozen(doc),
        zone: doc.or(router, "zone", Name("default".into())).0,
        name: doc.or(router, "name", Name("slipreel".into())).0,
    };
    let taken: Vec<SocketAddr> = listen.iter().map(|l| l.0).chain(operators).collect();
    let fleet = read_fleet(doc, router, &taken);
    let log_format = doc.or(log, "format", LogFormat::Text);
    let log_level = doc.or(log, "level", "info".to_owned());
    if let Some(at) =
        log.filter(|_| !["trace", "debug", "info", "warn", "error"].contains(&log_level.as_str()))
    {
        doc.say(at, "level", format!("{log_level:?}: expected trace, debug, info, warn or error"));
    }
    Some(Daemon { site, listen: listen?.0, operators, threads, engines_file, fleet, log_format, log_level })
}

fn at_least_one(doc: &mut Doc, at: Option<usize>, key: &str, default: usize) -> usize {
    let n = doc.or(at, key, default);
    if let (0, Some(at)) = (n, at) {
        doc.say(at, key, "0: expected 1 or more");
    }
    n.max(1)
}

fn read_settings(
    doc: &mut Doc, router: Option<usize>, routers: u32, classes: Vec<Class>, tenants: Vec<Tenant>,
) -> Settings {
    let at = doc.one("limits");
    let start = default_decision_settings();
    let cold_share = doc.or(at, "cold_share", start.warmup_initial_share);
    if let Some(at) = at.filter(|_| cold_share > 1.0) {
        doc.say(at, "cold_share", format!("{cold_share}: expected a share from 0 to 1"));
    }
    let retry_after = doc.or(at, "retry_after", start.limits.max_retry_after.unwrap_or_default());
    Settings {
        router_count: routers,
        // Named in the settings; the gateway numbers it as its list does.
        zone: ZoneId(0),
        tick: doc.or(router, "tick", start.tick),
        classes,
        tenants,
        over_quota_weight: doc.or(at, "over_share_worth", start.over_quota_weight),
        kind_roles: KINDS.to_vec(),
        memory_tokens: vec![],
        decode_engines_prefill: doc.or(at, "writers_read", start.decode_engines_prefill),
        requests_engine_list: false,
        report_source: doc.or(at, "reports", start.report_source),
        limits: Limits {
            max_attempts: at_least_one(doc, at, "attempts", start.limits.max_attempts),
            cancellation: doc.or(at, "cancel", start.limits.cancellation),
            probes: doc.or(at, "probes", start.limits.probes),
            hedged_requests: false,
            max_retry_after: (retry_after > Duration::ZERO).then_some(retry_after),
            connect_timeout: doc.or(at, "connect_timeout", start.limits.connect_timeout),
        },
        warmup_initial_share: cold_share,
        warmup_time: doc.or(at, "cold_time", start.warmup_time),
        warmup_budget: doc.or(at, "cold_budget", start.warmup_budget),
        held_state_limit: doc.or(at, "let_go_within", start.held_state_limit),
    }
}

fn read_bounds(doc: &mut Doc) -> Bounds {
    let at = doc.one("bounds");
    let start = Bounds::default();
    Bounds {
        connections: at_least_one(doc, at, "connections", start.connections),
        requests: at_least_one(doc, at, "requests", start.requests),
        body: doc.or(at, "body", Bytes(start.body)).0,
        unsent: doc.or(at, "unsent", Bytes(start.unsent as u64)).0 as usize,
        per_engine: at_least_one(doc, at, "per_engine", start.per_engine),
        idle_per_engine: doc.or(at, "idle_per_engine", start.idle_per_engine),
        engine_idle: doc.or(at, "engine_idle", start.engine_idle),
        client_idle: doc.or(at, "client_idle", start.client_idle),
        receive: doc.or(at, "receive", start.receive),
        stalled_peer: doc.or(at, "stalled_peer", start.stalled_peer),
        silent_stream: doc.or(at, "silent_stream", start.silent_stream),
        probe: doc.or(at, "probe", start.probe),
        stop: doc.or(at, "stop", start.stop),
        half_close: doc.or(at, "half_close", start.half_close),
    }
}

fn read_classes(doc: &mut Doc) -> Vec<(Class, ClassSettings)> {
    let start = class_defaults();
    let mut classes = Vec::new();
    for at in doc.all("class") {
        let name = named(doc, at);
        let group = doc.or(Some(at), "group", DeduplicationScope::All);
        let window = doc.or(Some(at), "window", start.deduplication_window);
        let word = doc.text(at, "effect").unwrap_or_else(|| "safe".into());
        let effect = match word.as_str() {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::WithKey { scope: group, window },
            "unsafe" => Idempotency::NotIdempotent,
            other => {
                doc.say(at, "effect", format!("{other:?}: expected safe, keyed or unsafe"));
                Idempotency::NotIdempotent
            }
        };
        let aim = doc.or(Some(at), "aim", start.latency_objective);
        let patience = doc.or(Some(at), "patience", start.client_timeout);
        if patience <= aim {
            doc.say(at, "patience", format!("{patience:?}: expected more than the aim, {aim:?}"));
        }
        let class = Class {
            latency_objective: aim,
            latency_objective_per_1000_tokens: doc.or(
                Some(at),
                "aim_per_1000",
                start.latency_objective_per_1000_tokens,
            ),
            priority_weight: doc.or(Some(at), "worth", 1.0),
            idempotency: effect,
            streams: true,
        };
        classes.push((class, ClassSettings { name, client_timeout: patience }));
    }
    if classes.is_empty() {
        doc.say_file("expected at least one section [class NAME]");
    }
    classes
}

/// The name in a section's head.
fn named(doc: &mut Doc, at: usize) -> String {
    let (kind, name) = (doc.section(at).kind.clone(), doc.section(at).name.clone());
    if let Err(expected) = Name::read(&name) {
        doc.say(at, "", format!("{name:?}: expected [{kind} NAME] with {expected}"));
    }
    name
}

fn read_models(doc: &mut Doc, classes: &[ClassSettings]) -> Vec<ModelSettings> {
    let mut models = Vec::new();
    for at in doc.all("model") {
        let name = named(doc, at);
        let served_as = doc.or(Some(at), "served_as", name.clone());
        let Some(class) = doc.need::<String>(at, "class") else { continue };
        match classes.iter().position(|c| c.name == class) {
            Some(class) => models.push(ModelSettings { name, class, served_as }),
            None => doc.say(at, "class", format!("{class:?}: expected the name of a [class] section")),
        }
    }
    if models.is_empty() {
        doc.say_file("expected at least one section [model NAME]");
    }
    models
}

fn read_tenants(doc: &mut Doc) -> Vec<(Tenant, TenantSettings)> {
    let mut tenants: Vec<(Tenant, TenantSettings)> = Vec::new();
    for at in doc.all("tenant") {
        let name = named(doc, at);
        let keys = doc.need::<String>(at, "keys").unwrap_or_default();
        let keys: Vec<String> =
            keys.split(',').map(|k| k.trim().to_owned()).filter(|k| !k.is_empty()).collect();
        if let Some(other) = tenants.iter().find(|(_, t)| t.keys.iter().any(|k| keys.contains(k))) {
            // The key itself is a secret and is not shown.
            let what = format!("a key that [tenant {}] has too", other.1.name);
            doc.say(at, "keys", what);
        }
        let quota_per_s = doc.get::<f64>(at, "quota_per_s");
        let may_choose_class = doc.or(Some(at), "may_choose_class", false);
        tenants.push((Tenant { quota_per_s }, TenantSettings { name, keys, may_choose_class }));
    }
    tenants
}

/// Engines that operators have taken out by hand, by name. One that this router does not list may be another's.
fn read_taken_out(doc: &mut Doc) -> Vec<String> {
    let at = doc.one("operations");
    let text = doc.or(at, "taken_out", String::new());
    let names: Vec<String> =
        text.split(',').map(str::trim).filter(|n| !n.is_empty()).map(str::to_owned).collect();
    if let (Some(at), Some(bad)) = (at, names.iter().find(|n| Name::read(n).is_err())) {
        doc.say(at, "taken_out", format!("{bad:?}: expected names of engines with commas between them"));
    }
    names
}

/// Some engine that reads and some that writes have to be left, of those that this router lists.
fn check_taken_out(doc: &mut Doc, engines: &[EngineSettings], taken_out: &[String]) {
    let Some(at) = doc.one("operations").filter(|_| !engines.is_empty()) else { return };
    for (role, what) in [(Role::Prefill, "reads"), (Role::Decode, "writes")] {
        let can = |e: &&EngineSettings| e.role == role || e.role == Role::Mixed;
        if !engines.iter().filter(can).any(|e| !taken_out.contains(&e.name)) {
            let why = format!(
                "{}: expected an engine that {what} to be left, of those listed here",
                taken_out.join(", ")
            );
            doc.say(at, "taken_out", why);
        }
    }
}

fn read_roles_frozen(doc: &mut Doc) -> bool {
    let at = doc.one("operations");
    doc.or(at, "roles_frozen", false)
}

fn read_engines(doc: &mut Doc) -> Vec<EngineSettings> {
    let mut engines: Vec<EngineSettings> = Vec::new();
    for at in doc.all("engine") {
        let name = named(doc, at);
        let addr = doc.need::<Loopback>(at, "address");
        let role = doc.need::<Role>(at, "role");
        let zone = doc.or(Some(at), "zone", Name("default".into())).0;
        let cell = doc.or(Some(at), "cell", Name(zone.clone())).0;
        let state = doc.or(Some(at), "state", EngineState::Ready);
        let (Some(Loopback(addr)), Some(role)) = (addr, role) else { continue };
        if let Some(other) = engines.iter().find(|e| e.addr == addr) {
            let what = format!("{addr}: [engine {}] has this address already", other.name);
            doc.say(at, "address", what);
        }
        if let Some(other) = engines.iter().find(|e| e.cell == cell && e.zone != zone) {
            let what = format!(
                "{cell:?}: a cell lies in one zone, and [engine {}] has it in {:?}",
                other.name, other.zone
            );
            doc.say(at, "cell", what);
        }
        engines.push(EngineSettings { name, addr, role, zone, cell, state });
    }
    let can = |wanted: Role| engines.iter().any(|e| e.role == wanted || e.role == Role::Mixed);
    let complete = can(Role::Prefill) && can(Role::Decode);
    if !(engines.is_empty() || complete) {
        doc.say_file("expected engines that read and engines that write, or some that do both");
    }
    engines
}
