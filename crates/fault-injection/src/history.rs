//! The history of a run on one clock: starts, ends and faults, and what each router reported of its view and
//! policy.

use crate::script::FaultKind;
use slipreel_invariants::policy::ChangeStatus;
use slipreel_membership::{MemberState, MembershipView};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

/// The view of the fleet that a router reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ReportedView {
    /// The status of the reporting router as a member of the fleet, by its own view.
    #[serde(rename = "standing")]
    pub status: String,
    /// Whether the router calls its view settled.
    pub settled: bool,
    /// The digest of the view in hexadecimal digits.
    pub digest: String,
    /// The incarnation of the router.
    pub incarnation: u64,
    /// The number of routers that the router counts, for its share of quotas.
    #[serde(rename = "routers")]
    pub router_count: u64,
    /// State and incarnation of all listed members, by name.
    pub members: BTreeMap<String, (String, u64)>,
}

impl ReportedView {
    /// The report of a view in this process.
    pub fn from_view(view: &MembershipView) -> ReportedView {
        let state = |s: MemberState| s.to_string();
        ReportedView {
            status: format!("{:?}", view.status).to_lowercase(),
            settled: view.is_settled,
            digest: format!("{:016x}", view.digest),
            incarnation: view.incarnation,
            router_count: u64::from(view.router_count),
            members: view.members.iter().map(|m| (m.name.clone(), (state(m.state), m.incarnation))).collect(),
        }
    }

    /// Reads the JSON of `fleet status --json`; `None` if the text has another form.
    pub fn from_json(text: &str) -> Option<ReportedView> {
        let value: serde_json::Value = serde_json::from_str(text).ok()?;
        let string = |v: &serde_json::Value, key: &str| v[key].as_str().map(str::to_owned);
        let mut members = BTreeMap::new();
        for m in value["members"].as_array()? {
            members.insert(string(m, "name")?, (string(m, "state")?, m["incarnation"].as_u64()?));
        }
        Some(ReportedView {
            status: string(&value, "standing")?,
            settled: value["settled"].as_bool()?,
            digest: string(&value, "digest")?,
            incarnation: value["incarnation"].as_u64()?,
            router_count: value["routers"].as_u64()?,
            members,
        })
    }

    /// The names of the members in this state.
    pub fn members_in_state(&self, state: &str) -> impl Iterator<Item = &str> + use<'_> {
        let state = state.to_owned();
        self.members.iter().filter(move |(_, (s, _))| *s == state).map(|(name, _)| name.as_str())
    }
}

/// The state of the policy that a router reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ReportedPolicy {
    /// The epoch that the router applies.
    pub epoch: u64,
    /// The digest of its policy in hexadecimal digits.
    pub digest: String,
    /// Whether the router takes requests by that policy.
    pub serving: bool,
    /// The id of the change in progress, as far as the router knows.
    pub pending: Option<String>,
    /// The names of the voters, as far as the router knows.
    pub voters: Vec<String>,
    /// Whether the router reports that it cannot apply the policy in force.
    #[serde(rename = "stuck")]
    pub cannot_apply: bool,
}

impl ReportedPolicy {
    /// Reads the JSON of `policy status --json`; `None` if the text has another form.
    pub fn from_json(text: &str) -> Option<ReportedPolicy> {
        let value: serde_json::Value = serde_json::from_str(text).ok()?;
        let voters = value["voters"].as_array()?;
        Some(ReportedPolicy {
            epoch: value["epoch"].as_u64()?,
            digest: value["digest"].as_str()?.to_owned(),
            serving: value["serving"].as_bool()?,
            pending: value["pending"]["id"].as_str().map(str::to_owned),
            voters: voters.iter().filter_map(|v| v.as_str()).map(str::to_owned).collect(),
            cannot_apply: cannot_apply_policy(value["trouble"].as_array()?.iter().filter_map(|t| t.as_str())),
        })
    }
}

/// Whether one of a router's faults is that it cannot apply the policy in force.
pub(crate) fn cannot_apply_policy<'a>(mut faults: impl Iterator<Item = &'a str>) -> bool {
    faults.any(|t| t.starts_with("can't take the policy in force"))
}

/// Reads the JSON of `policy status ID --json`; `None` if the text has another form.
pub(crate) fn change_status_from_json(text: &str) -> Option<ChangeStatus> {
    let value: serde_json::Value = serde_json::from_str(text).ok()?;
    Some(match value["outcome"].as_str()? {
        "in force" => ChangeStatus::InForce(value["epoch"].as_u64()?),
        "dropped" => ChangeStatus::Dropped(value["why"].to_string()),
        "pending" => ChangeStatus::Pending,
        _ => ChangeStatus::Unknown,
    })
}

/// An entry of the history. Routers are given by their number.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A router was started; the second field counts its starts.
    Started(usize, u64),
    /// A router was killed or told to end.
    Ended(usize),
    /// A router's process was paused (`true`) or resumed.
    #[serde(rename = "frozen")]
    Paused(usize, bool),
    /// Two routers cannot reach each other, not even through others (`true`), or can again.
    #[serde(rename = "apart")]
    Unreachable(usize, usize, bool),
    /// A fault begins (`true`) or ends; its kind and the routers that it affects.
    Fault(FaultKind, Vec<usize>, bool),
    /// The view that a router reported; `None` if it did not answer. Only recorded when it differs from the
    /// previous one.
    #[serde(rename = "told")]
    ViewReported(usize, Option<ReportedView>),
    /// The view that a second process with a router's name reported.
    #[serde(rename = "twin")]
    DuplicateViewReported(usize, Option<ReportedView>),
    /// The state of the policy that a router reported.
    #[serde(rename = "policy")]
    PolicyReported(usize, Option<ReportedPolicy>),
    /// An operator submitted the proposal of this id to a router; the last field says whether the router
    /// accepted it.
    #[serde(rename = "said")]
    ProposalSubmitted(String, usize, bool),
    /// The status that a router reported of the change of this id.
    #[serde(rename = "heard")]
    ChangeReported(String, usize, String),
    /// The schedule ran this late, because the machine was busy.
    #[serde(rename = "late")]
    ScheduleLate(Duration),
}

/// The history of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The events in order, each with the time since the start of the run.
    pub events: Vec<(Duration, Event)>,
    last_views: BTreeMap<usize, Option<ReportedView>>,
    last_duplicate_views: BTreeMap<usize, Option<ReportedView>>,
    last_policies: BTreeMap<usize, Option<ReportedPolicy>>,
}

#[derive(serde::Serialize)]
struct Line<'a> {
    ms: u128,
    #[serde(flatten)]
    event: &'a Event,
}

impl History {
    /// Appends an event.
    pub fn record(&mut self, at: Duration, event: Event) {
        self.events.push((at, event));
    }

    /// Records the view that a router reported if it differs from the previous one.
    pub fn record_view(&mut self, at: Duration, router: usize, view: Option<ReportedView>) {
        if self.last_views.get(&router) != Some(&view) {
            self.last_views.insert(router, view.clone());
            self.events.push((at, Event::ViewReported(router, view)));
        }
    }

    /// Records the view that a second process with a router's name reported if it differs from the previous
    /// one.
    pub fn record_duplicate_view(&mut self, at: Duration, router: usize, view: Option<ReportedView>) {
        if self.last_duplicate_views.get(&router) != Some(&view) {
            self.last_duplicate_views.insert(router, view.clone());
            self.events.push((at, Event::DuplicateViewReported(router, view)));
        }
    }

    /// Records the state of the policy that a router reported if it differs from the previous one. Returns
    /// whether it differs.
    pub fn record_policy(&mut self, at: Duration, router: usize, policy: Option<ReportedPolicy>) -> bool {
        let differs = self.last_policies.get(&router) != Some(&policy);
        if differs {
            self.last_policies.insert(router, policy.clone());
            self.events.push((at, Event::PolicyReported(router, policy)));
        }
        differs
    }

    /// The state of the policy that a router reported last.
    pub fn last_policy(&self, router: usize) -> Option<&ReportedPolicy> {
        self.last_policies.get(&router)?.as_ref()
    }

    /// Each time that a router began to list another one as gone: the time, the reporting router, the router
    /// that is listed as gone.
    pub fn gone_reports(&self) -> impl Iterator<Item = (Duration, usize, usize)> + '_ {
        let mut last: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        self.events.iter().flat_map(move |(at, event)| {
            let Event::ViewReported(by, Some(view)) = event else { return Vec::new() };
            let gone: Vec<usize> = view
                .members_in_state("gone")
                .filter_map(|name| name.strip_prefix('r')?.parse().ok())
                .collect();
            let before = last.insert(*by, gone.clone()).unwrap_or_default();
            let new = gone.into_iter().filter(|of| !before.contains(of));
            new.map(|of| (*at, *by, of)).collect()
        })
    }

    /// Writes the history to a file, one JSON object per line.
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
