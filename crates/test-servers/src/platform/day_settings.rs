//! Random settings of a test day, drawn from a seed, and the configuration files that they give for routers.

use super::{EngineLayout, EngineRole, Random, RequestClass};
use slipreel_invariants::repeats::{Effect, Group, Place};
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of a test day: how often requests may run and how routers reach engines.
#[derive(Clone, Debug)]
pub struct DaySettings {
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// Maximum number of attempts of one request.
    pub attempts: usize,
    /// Two attempts of one request may be in progress at once.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Engines may be probed.
    pub probes: bool,
    /// The source of load reports, by its name in the settings.
    pub reports: &'static str,
    /// How long it may take to establish a connection.
    pub connect_timeout: Duration,
    /// The time after which engines close idle connections.
    pub idle_close: Duration,
    /// The time within which a held state has to be fetched or released.
    pub let_go_within: Duration,
    /// Some engines run both prefill and decode.
    pub has_mixed_engines: bool,
}

impl DaySettings {
    /// Draws settings from a seed.
    pub fn draw(seed: u64) -> Self {
        let mut random = Random::new(seed ^ 0x5eed_0002);
        let names = ["first", "second", "third"];
        let count = 2 + random.below(2);
        let classes = names[..count].iter().map(|&name| RequestClass {
            name: name.to_owned(),
            effect: draw_effect(&mut random),
            deadline: random.millis(300, 4_000),
        });
        let classes: Vec<RequestClass> = classes.collect();
        DaySettings {
            classes,
            attempts: 1 + random.below(6),
            second_copies: random.chance(0.3),
            cancel: random.chance(0.7),
            probes: random.chance(0.5),
            reports: random.one_of(&["piggyback", "pull", "silent"]),
            connect_timeout: random.millis(50, 400),
            idle_close: random.millis(300, 15_000),
            let_go_within: random.millis(300, 1_500),
            has_mixed_engines: random.chance(0.4),
        }
    }

    /// The configuration file of one of `routers` routers.
    pub fn router_config(
        &self, routers: usize, listen: SocketAddr, discovery: SocketAddr, seed: u64, known: &str,
    ) -> String {
        let classes: Vec<String> = self.classes.iter().map(class_json).collect();
        let DaySettings { cancel, second_copies, probes, reports, attempts, .. } = self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{known},
            "settings":{{"balancers":{routers},"azs":["a","b"],"zone":0,"tick":4.0,
              "host_types":["reads","writes","mixed"],
              "classes":[{}],"customers":[{{"name":"acme","quota_per_s":500.0}}],"over_share_worth":0.05,
              "extra":{{"role_by_kind":["read","write","both"],"let_go_by":{},"local_read":false}},
              "report":{{"columns":["pending"],"source":"{reports}"}},
              "limits":{{"cancelling":{cancel},"second_copies":{second_copies},"may_probe":{probes},
                "retry_after":true,"max_retry_after":2000.0,"send_cap":{attempts},"connect_timeout":{},
                "idle_close":{}}},
              "rules":{{"cold":2000.0,"cold_share":0.3}}}}}}"#,
            classes.join(","),
            millis(self.let_go_within),
            millis(self.connect_timeout),
            millis(self.idle_close)
        )
    }
}

fn draw_effect(random: &mut Random) -> Effect {
    let window = match random.below(3) {
        0 => random.millis(0, 60),
        1 => random.millis(60, 900),
        _ => random.millis(900, 6_000),
    };
    match random.below(6) {
        0 => Effect::Safe,
        1 | 2 => Effect::Unsafe,
        3 => Effect::Keyed { group: Group::All, window },
        4 => Effect::Keyed { group: Group::Zone, window },
        _ => Effect::Keyed { group: Group::Cell, window },
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn class_json(class: &RequestClass) -> String {
    let (effect, group, window) = match class.effect {
        Effect::Safe => ("safe", Group::All, Duration::ZERO),
        Effect::Unsafe => ("unsafe", Group::All, Duration::ZERO),
        Effect::Keyed { group, window } => ("keyed", group, window),
    };
    let group = match group {
        Group::All => "all",
        Group::Zone => "zone",
        Group::Cell => "cell",
    };
    format!(
        r#"{{"name":"{}","target":500.0,"worth":1.0,"idempotency":"{effect}","group":"{group}","window":{},"deadline":{},"streaming":true}}"#,
        class.name,
        millis(window),
        millis(class.deadline)
    )
}

/// The zone and cell of the `n`th engine: zones a and b, two cells in each.
pub fn place_of(n: usize) -> Place {
    let (zone, cell) = [("a", 1), ("b", 2), ("a", 3), ("b", 4)][n / 3 % 2 + n % 2 * 2];
    Place { zone: zone.to_owned(), cell }
}

/// The entry of an engine in discovery's list.
pub fn list_entry(layout: &EngineLayout, address: SocketAddr, status: &str, since: Duration) -> String {
    let kind = match layout.role {
        EngineRole::Prefill => "reads",
        EngineRole::Decode => "writes",
        EngineRole::Mixed => "mixed",
    };
    let (name, Place { zone, cell }) = (&layout.name, &layout.place);
    let since = since.as_millis();
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":{cell},"status":"{status}","weight":1.0,"since_ms":{since}}}"#
    )
}
