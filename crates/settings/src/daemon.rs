//! Builds [`DaemonSettings`] from the sections, with defaults and with checks across sections.

use crate::doc::Doc;
use crate::fleet::{read_fleet, FleetSettings};
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

/// The kinds of sections in a router's settings.
pub const DAEMON_SECTIONS: &[&str] = &[
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

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
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

/// The settings of the router process: those of its gateways, and those of the process itself.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The settings that each gateway is started with.
    pub gateway: GatewaySettings,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address for operators, for example for metrics. It is that of the first gateway; each further one
    /// takes the next port.
    pub operators: Option<SocketAddr>,
    /// The number of gateways. Each is a separate router on its own thread.
    pub threads: usize,
    /// The file with the list of engines in the `EndpointSlice` JSON format, if there is one.
    pub engines_file: Option<PathBuf>,
    /// The fleet that it is a member of; `None` if it knows no other routers.
    pub fleet: Option<FleetSettings>,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The minimum level of logged events, by its name in `tracing`.
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

/// Reads the sections of a router's settings. `None` if a required setting is missing; that is recorded as a
/// fault in the document. `serves` is whether the settings are for a router that serves, which needs an
/// address and engines.
pub fn read_daemon_settings(doc: &mut Doc, serves: bool) -> Option<DaemonSettings> {
    let router = doc.one("router");
    let log = doc.one("log");
    if router.is_none() && serves {
        doc.add_file_fault("expected a section [router]");
    }
    let default_listen = Loopback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listen = match router {
        Some(at) if serves => doc.need::<Loopback>(at, "listen"),
        at => Some(doc.or(at, "listen", default_listen)),
    };
    let operators = router.and_then(|at| doc.get::<Loopback>(at, "operators")).map(|a| a.0);
    let threads = at_least_one(doc, router, "threads", 1);
    if let (Some(at), Some(first)) = (router, operators) {
        let last_port = usize::from(first.port()) + threads - 1;
        let overlaps_listen = listen.as_ref().is_some_and(|l| {
            l.0.ip() == first.ip()
                && (usize::from(first.port())..=last_port).contains(&usize::from(l.0.port()))
        });
        if last_port > usize::from(u16::MAX) || overlaps_listen {
            let what = format!(
                "{first}: expected {threads} free ports from here on, one a thread, without that of listen"
            );
            doc.add_fault(at, "operators", what);
        }
    }
    let router_count = doc.or(router, "routers", threads as u32);
    if let Some(at) = router.filter(|_| (router_count as usize) < threads) {
        doc.add_fault(
            at,
            "routers",
            format!("{router_count}: expected at least as many as threads, {threads}: each is a router"),
        );
    }
    let (classes, class_settings): (Vec<Class>, Vec<ClassSettings>) = read_classes(doc).into_iter().unzip();
    let (tenants, tenant_settings): (Vec<Tenant>, Vec<TenantSettings>) =
        read_tenants(doc).into_iter().unzip();
    let engines_file = router.and_then(|at| doc.get::<String>(at, "engines")).map(PathBuf::from);
    let engines = read_engines(doc);
    if engines.is_empty() && engines_file.is_none() && serves {
        doc.add_file_fault("expected [engine NAME] sections, or `engines` in [router]");
    }
    let drained_engines = read_drained_engines(doc);
    check_drained_engines(doc, &engines, &drained_engines);
    let models = read_models(doc, &class_settings);
    let bounds = read_bounds(doc);
    let decisions = read_decision_settings(doc, router, router_count, classes, tenants);
    let gateway = GatewaySettings {
        decisions,
        classes: class_settings,
        models,
        tenants: tenant_settings,
        engines,
        bounds,
        drained_engines,
        roles_frozen: read_roles_frozen(doc),
        zone: doc.or(router, "zone", Name("default".into())).0,
        name: doc.or(router, "name", Name("slipreel".into())).0,
    };
    let used: Vec<SocketAddr> = listen.iter().map(|l| l.0).chain(operators).collect();
    let fleet = read_fleet(doc, router, &used);
    let log_format = doc.or(log, "format", LogFormat::Text);
    let log_level = doc.or(log, "level", "info".to_owned());
    if let Some(at) =
        log.filter(|_| !["trace", "debug", "info", "warn", "error"].contains(&log_level.as_str()))
    {
        doc.add_fault(at, "level", format!("{log_level:?}: expected trace, debug, info, warn or error"));
    }
    Some(DaemonSettings {
        gateway,
        listen: listen?.0,
        operators,
        threads,
        engines_file,
        fleet,
        log_format,
        log_level,
    })
}

/// A count; 0 is a fault.
fn at_least_one(doc: &mut Doc, at: Option<usize>, key: &str, default: usize) -> usize {
    let n = doc.or(at, key, default);
    if let (0, Some(at)) = (n, at) {
        doc.add_fault(at, key, "0: expected 1 or more");
    }
    n.max(1)
}

/// The settings of the decision module.
fn read_decision_settings(
    doc: &mut Doc, router: Option<usize>, router_count: u32, classes: Vec<Class>, tenants: Vec<Tenant>,
) -> Settings {
    let at = doc.one("limits");
    let defaults = default_decision_settings();
    let cold_share = doc.or(at, "cold_share", defaults.warmup_initial_share);
    if let Some(at) = at.filter(|_| cold_share > 1.0) {
        doc.add_fault(at, "cold_share", format!("{cold_share}: expected a share from 0 to 1"));
    }
    let retry_after = doc.or(at, "retry_after", defaults.limits.max_retry_after.unwrap_or_default());
    Settings {
        router_count,
        // The settings give the zone's name. The gateway replaces this by the zone's number in its list of
        // engines.
        zone: ZoneId(0),
        tick: doc.or(router, "tick", defaults.tick),
        classes,
        tenants,
        over_quota_weight: doc.or(at, "over_share_worth", defaults.over_quota_weight),
        kind_roles: KINDS.to_vec(),
        memory_tokens: vec![],
        decode_engines_prefill: doc.or(at, "writers_read", defaults.decode_engines_prefill),
        requests_engine_list: false,
        report_source: doc.or(at, "reports", defaults.report_source),
        limits: Limits {
            max_attempts: at_least_one(doc, at, "attempts", defaults.limits.max_attempts),
            cancellation: doc.or(at, "cancel", defaults.limits.cancellation),
            probes: doc.or(at, "probes", defaults.limits.probes),
            hedged_requests: false,
            max_retry_after: (retry_after > Duration::ZERO).then_some(retry_after),
            connect_timeout: doc.or(at, "connect_timeout", defaults.limits.connect_timeout),
        },
        warmup_initial_share: cold_share,
        warmup_time: doc.or(at, "cold_time", defaults.warmup_time),
        warmup_budget: doc.or(at, "cold_budget", defaults.warmup_budget),
        held_state_limit: doc.or(at, "let_go_within", defaults.held_state_limit),
        release_spares_awaited_state: defaults.release_spares_awaited_state,
    }
}

fn read_bounds(doc: &mut Doc) -> Bounds {
    let at = doc.one("bounds");
    let defaults = Bounds::default();
    Bounds {
        connections: at_least_one(doc, at, "connections", defaults.connections),
        requests: at_least_one(doc, at, "requests", defaults.requests),
        body: doc.or(at, "body", Bytes(defaults.body)).0,
        unsent: doc.or(at, "unsent", Bytes(defaults.unsent as u64)).0 as usize,
        per_engine: at_least_one(doc, at, "per_engine", defaults.per_engine),
        idle_per_engine: doc.or(at, "idle_per_engine", defaults.idle_per_engine),
        engine_idle: doc.or(at, "engine_idle", defaults.engine_idle),
        client_idle: doc.or(at, "client_idle", defaults.client_idle),
        receive: doc.or(at, "receive", defaults.receive),
        stalled_peer: doc.or(at, "stalled_peer", defaults.stalled_peer),
        silent_stream: doc.or(at, "silent_stream", defaults.silent_stream),
        probe: doc.or(at, "probe", defaults.probe),
        stop: doc.or(at, "stop", defaults.stop),
        half_close: doc.or(at, "half_close", defaults.half_close),
    }
}

fn read_classes(doc: &mut Doc) -> Vec<(Class, ClassSettings)> {
    let defaults = class_defaults();
    let mut classes = Vec::new();
    for at in doc.all("class") {
        let name = section_name(doc, at);
        let group = doc.or(Some(at), "group", DeduplicationScope::All);
        let window = doc.or(Some(at), "window", defaults.deduplication_window);
        let effect = doc.text(at, "effect").unwrap_or_else(|| "safe".into());
        let idempotency = match effect.as_str() {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::WithKey { scope: group, window },
            "unsafe" => Idempotency::NotIdempotent,
            other => {
                doc.add_fault(at, "effect", format!("{other:?}: expected safe, keyed or unsafe"));
                Idempotency::NotIdempotent
            }
        };
        let aim = doc.or(Some(at), "aim", defaults.latency_objective);
        let patience = doc.or(Some(at), "patience", defaults.client_timeout);
        if patience <= aim {
            doc.add_fault(at, "patience", format!("{patience:?}: expected more than the aim, {aim:?}"));
        }
        let class = Class {
            latency_objective: aim,
            latency_objective_per_1000_tokens: doc.or(
                Some(at),
                "aim_per_1000",
                defaults.latency_objective_per_1000_tokens,
            ),
            priority_weight: doc.or(Some(at), "worth", 1.0),
            idempotency,
            streams: true,
        };
        classes.push((class, ClassSettings { name, client_timeout: patience }));
    }
    if classes.is_empty() {
        doc.add_file_fault("expected at least one section [class NAME]");
    }
    classes
}

/// The name in a section's header.
fn section_name(doc: &mut Doc, at: usize) -> String {
    let (kind, name) = (doc.section(at).kind.clone(), doc.section(at).name.clone());
    if let Err(expected) = Name::read(&name) {
        doc.add_fault(at, "", format!("{name:?}: expected [{kind} NAME] with {expected}"));
    }
    name
}

fn read_models(doc: &mut Doc, classes: &[ClassSettings]) -> Vec<ModelSettings> {
    let mut models = Vec::new();
    for at in doc.all("model") {
        let name = section_name(doc, at);
        let served_as = doc.or(Some(at), "served_as", name.clone());
        let Some(class) = doc.need::<String>(at, "class") else { continue };
        match classes.iter().position(|c| c.name == class) {
            Some(class) => models.push(ModelSettings { name, class, served_as }),
            None => doc.add_fault(at, "class", format!("{class:?}: expected the name of a [class] section")),
        }
    }
    if models.is_empty() {
        doc.add_file_fault("expected at least one section [model NAME]");
    }
    models
}

fn read_tenants(doc: &mut Doc) -> Vec<(Tenant, TenantSettings)> {
    let mut tenants: Vec<(Tenant, TenantSettings)> = Vec::new();
    for at in doc.all("tenant") {
        let name = section_name(doc, at);
        let keys = doc.need::<String>(at, "keys").unwrap_or_default();
        let keys: Vec<String> =
            keys.split(',').map(|k| k.trim().to_owned()).filter(|k| !k.is_empty()).collect();
        if let Some(other) = tenants.iter().find(|(_, t)| t.keys.iter().any(|k| keys.contains(k))) {
            // The key itself is a secret and is not shown.
            let what = format!("a key that [tenant {}] has too", other.1.name);
            doc.add_fault(at, "keys", what);
        }
        let quota_per_s = doc.get::<f64>(at, "quota_per_s");
        let may_choose_class = doc.or(Some(at), "may_choose_class", false);
        tenants.push((Tenant { quota_per_s }, TenantSettings { name, keys, may_choose_class }));
    }
    tenants
}

/// The names of engines that operators have taken out of service. Names that this router does not list are
/// accepted, as other routers may list them.
fn read_drained_engines(doc: &mut Doc) -> Vec<String> {
    let at = doc.one("operations");
    let text = doc.or(at, "taken_out", String::new());
    let names: Vec<String> =
        text.split(',').map(str::trim).filter(|n| !n.is_empty()).map(str::to_owned).collect();
    if let (Some(at), Some(invalid)) = (at, names.iter().find(|n| Name::read(n).is_err())) {
        doc.add_fault(
            at,
            "taken_out",
            format!("{invalid:?}: expected names of engines with commas between them"),
        );
    }
    names
}

/// Checks that an engine for prefill and one for decode remain among those that this router lists.
fn check_drained_engines(doc: &mut Doc, engines: &[EngineSettings], drained_engines: &[String]) {
    let Some(at) = doc.one("operations").filter(|_| !engines.is_empty()) else { return };
    for (role, verb) in [(Role::Prefill, "reads"), (Role::Decode, "writes")] {
        let can_serve = |e: &&EngineSettings| e.role == role || e.role == Role::Mixed;
        if !engines.iter().filter(can_serve).any(|e| !drained_engines.contains(&e.name)) {
            let what = format!(
                "{}: expected an engine that {verb} to be left, of those listed here",
                drained_engines.join(", ")
            );
            doc.add_fault(at, "taken_out", what);
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
        let name = section_name(doc, at);
        let addr = doc.need::<Loopback>(at, "address");
        let role = doc.need::<Role>(at, "role");
        let zone = doc.or(Some(at), "zone", Name("default".into())).0;
        let cell = doc.or(Some(at), "cell", Name(zone.clone())).0;
        let state = doc.or(Some(at), "state", EngineState::Ready);
        let (Some(Loopback(addr)), Some(role)) = (addr, role) else { continue };
        if let Some(other) = engines.iter().find(|e| e.addr == addr) {
            let what = format!("{addr}: [engine {}] has this address already", other.name);
            doc.add_fault(at, "address", what);
        }
        if let Some(other) = engines.iter().find(|e| e.cell == cell && e.zone != zone) {
            let what = format!(
                "{cell:?}: a cell lies in one zone, and [engine {}] has it in {:?}",
                other.name, other.zone
            );
            doc.add_fault(at, "cell", what);
        }
        engines.push(EngineSettings { name, addr, role, zone, cell, state });
    }
    let serves_role = |role: Role| engines.iter().any(|e| e.role == role || e.role == Role::Mixed);
    let serves_both = serves_role(Role::Prefill) && serves_role(Role::Decode);
    if !(engines.is_empty() || serves_both) {
        doc.add_file_fault("expected engines that read and engines that write, or some that do both");
    }
    engines
}
