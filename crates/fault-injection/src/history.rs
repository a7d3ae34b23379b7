//! What happened in a run, by one clock: what was done to whom, and what each router told of its view.

use crate::script::Kind;
use slipreel_invariants::policy::ChangeStatus;
use slipreel_membership::{MemberState, MembershipView};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

/// What one router told of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Sight {
    /// How it stands.
    pub standing: String,
    /// Whether it calls its view settled.
    pub settled: bool,
    /// The text of its view's digest.
    pub digest: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Routers that it reckons with.
    pub routers: u64,
    /// State and incarnation of all that it lists.
    pub members: BTreeMap<String, (String, u64)>,
}

impl Sight {
    /// Of a view in this process.
    pub fn of_view(view: &MembershipView) -> Sight {
        let state = |s: MemberState| s.to_string();
        Sight {
            standing: format!("{:?}", view.status).to_lowercase(),
            settled: view.is_settled,
            digest: format!("{:016x}", view.digest),
            incarnation: view.incarnation,
            routers: u64::from(view.router_count),
            members: view.members.iter().map(|m| (m.name.clone(), (state(m.state), m.incarnation))).collect(),
        }
    }

    /// Of what `fleet status --json` prints. `None`: that is not such an answer.
    pub fn of_json(text: &str) -> Option<Sight> {
        let value: serde_json::Value = serde_json::from_str(text).ok()?;
        let word = |v: &serde_json::Value, key: &str| v[key].as_str().map(str::to_owned);
        let mut members = BTreeMap::new();
        for m in value["members"].as_array()? {
            members.insert(word(m, "name")?, (word(m, "state")?, m["incarnation"].as_u64()?));
        }
        Some(Sight {
            standing: word(&value, "standing")?,
            settled: value["settled"].as_bool()?,
            digest: word(&value, "digest")?,
            incarnation: value["incarnation"].as_u64()?,
            routers: value["routers"].as_u64()?,
            members,
        })
    }

    /// Whom it calls so.
    pub fn called(&self, state: &str) -> impl Iterator<Item = &str> + use<'_> {
        let state = state.to_owned();
        self.members.iter().filter(move |(_, (s, _))| *s == state).map(|(name, _)| name.as_str())
    }
}

/// What one router told of the policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct PolicySight {
    /// The epoch that it acts by.
    pub epoch: u64,
    /// The text of its policy's digest.
    pub digest: String,
    /// Whether it takes requests by it.
    pub serving: bool,
    /// The change under way, as it knows.
    pub pending: Option<String>,
    /// Who votes, as it knows.
    pub voters: Vec<String>,
    /// It says that it can't take the policy in force.
    pub stuck: bool,
}

impl PolicySight {
    /// Of what `policy status --json` prints. `None`: that is not such an answer.
    pub fn of_json(text: &str) -> Option<PolicySight> {
        let value: serde_json::Value = serde_json::from_str(text).ok()?;
        let voters = value["voters"].as_array()?;
        Some(PolicySight {
            epoch: value["epoch"].as_u64()?,
            digest: value["digest"].as_str()?.to_owned(),
            serving: value["serving"].as_bool()?,
            pending: value["pending"]["id"].as_str().map(str::to_owned),
            voters: voters.iter().filter_map(|v| v.as_str()).map(str::to_owned).collect(),
            stuck: is_stuck(value["trouble"].as_array()?.iter().filter_map(|t| t.as_str())),
        })
    }
}

/// Whether one of a router's troubles is that it can't take the policy in force.
pub(crate) fn is_stuck<'a>(mut troubles: impl Iterator<Item = &'a str>) -> bool {
    troubles.any(|t| t.starts_with("can't take the policy in force"))
}

/// What `policy status ID --json` prints.
pub(crate) fn said_of_json(text: &str) -> Option<ChangeStatus> {
    let value: serde_json::Value = serde_json::from_str(text).ok()?;
    Some(match value["outcome"].as_str()? {
        "in force" => ChangeStatus::InForce(value["epoch"].as_u64()?),
        "dropped" => ChangeStatus::Dropped(value["why"].to_string()),
        "pending" => ChangeStatus::Pending,
        _ => ChangeStatus::Unknown,
    })
}

/// What happened.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A router was started, for the which time.
    Started(usize, u64),
    /// It was ended.
    Ended(usize),
    /// Its process stands still, or runs again.
    Frozen(usize, bool),
    /// Two can't reach each other by any way, or can again.
    Apart(usize, usize, bool),
    /// A fault begins or ends; its kind and whom it hits.
    Fault(Kind, Vec<usize>, bool),
    /// What a router told; `None`: it did not answer. Only what differs from before is noted.
    Told(usize, Option<Sight>),
    /// What a second process of a router's name told.
    Twin(usize, Option<Sight>),
    /// What a router told of the policy.
    Policy(usize, Option<PolicySight>),
    /// An operator said something of this id to a router, and whether the router has taken it.
    Said(String, usize, bool),
    /// What a router told of this id.
    Heard(String, usize, String),
    /// The schedule ran so late, as the machine was busy.
    Late(Duration),
}

/// A run as it went.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Since the start, in order.
    pub events: Vec<(Duration, Event)>,
    last: BTreeMap<usize, Option<Sight>>,
    last_twin: BTreeMap<usize, Option<Sight>>,
    last_policy: BTreeMap<usize, Option<PolicySight>>,
}

#[derive(serde::Serialize)]
struct Line<'a> {
    ms: u128,
    #[serde(flatten)]
    event: &'a Event,
}

impl History {
    /// Notes what happened.
    pub fn note(&mut self, at: Duration, event: Event) {
        self.events.push((at, event));
    }

    /// Notes what a router told, if it differs.
    pub fn told(&mut self, at: Duration, router: usize, sight: Option<Sight>) {
        if self.last.get(&router) != Some(&sight) {
            self.last.insert(router, sight.clone());
            self.events.push((at, Event::Told(router, sight)));
        }
    }

    /// Notes what a second process of a name told, if it differs.
    pub fn twin_told(&mut self, at: Duration, router: usize, sight: Option<Sight>) {
        if self.last_twin.get(&router) != Some(&sight) {
            self.last_twin.insert(router, sight.clone());
            self.events.push((at, Event::Twin(router, sight)));
        }
    }

    /// Notes what a router told of the policy, if it differs. Whether it does.
    pub fn policy_told(&mut self, at: Duration, router: usize, sight: Option<PolicySight>) -> bool {
        let differs = self.last_policy.get(&router) != Some(&sight);
        if differs {
            self.last_policy.insert(router, sight.clone());
            self.events.push((at, Event::Policy(router, sight)));
        }
        differs
    }

    /// What a router told last of the policy.
    pub fn policy_of(&self, router: usize) -> Option<&PolicySight> {
        self.last_policy.get(&router)?.as_ref()
    }

    /// Each time that a router began to call another gone: when, who, whom.
    pub fn gone_calls(&self) -> impl Iterator<Item = (Duration, usize, usize)> + '_ {
        let mut last: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        self.events.iter().flat_map(move |(at, event)| {
            let Event::Told(by, Some(sight)) = event else { return Vec::new() };
            let gone: Vec<usize> =
                sight.called("gone").filter_map(|name| name.strip_prefix('r')?.parse().ok()).collect();
            let before = last.insert(*by, gone.clone()).unwrap_or_default();
            let new = gone.into_iter().filter(|of| !before.contains(of));
            new.map(|of| (*at, *by, of)).collect()
        })
    }

    /// Writes it, one JSON object a line.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, file: &Path) -> std::io::Result<()> {
        let mut out = std::io::BufWriter::new(std::fs::File::create(file)?);
        for (at, event) in &self.events {
            serde_json::to_writer(&mut out, &Line { ms: at.as_millis(), event })?;
            out.write_all(b"\n")?;
        }
        out.flush()
    }
}
