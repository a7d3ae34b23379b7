//! The membership view for operators and the rest of the process, as values, JSON and metrics. It makes no
//! decisions.

use crate::table::MemberState;
use crate::Counters;
use std::net::SocketAddr;
use std::time::Duration;

/// The status of this process as a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// It has started and is looking for other members.
    #[default]
    Joining,
    /// It is a member.
    Ready,
    /// Another process that holds its name is known, which may be dead or alive.
    Challenged,
    /// Another process runs and holds its name. This status is final: an operator has to end one of the two
    /// processes.
    Yielded,
    /// It has announced that it leaves.
    Left,
}

/// One member in the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The name of the member.
    pub name: String,
    /// The address at which this router reaches it.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state as far as this process knows.
    pub state: MemberState,
    /// When it entered that state, on this process's clock. For this process itself, when it started.
    pub since: Duration,
    /// Whether it has left, or was declared gone by an operator.
    pub has_left: bool,
}

/// A snapshot of the membership.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// The fleet's name.
    pub fleet: String,
    /// The name of this member.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The status of this member.
    pub status: MemberStatus,
    /// Whether nothing has changed and no member has reported a different view for
    /// [`crate::timing::SETTLED_AFTER`].
    pub is_settled: bool,
    /// A hash of the members that are not gone; equal views have equal digests.
    pub digest: u64,
    /// The number of routers that quotas are divided by, from [`crate::router_count`].
    pub router_count: u32,
    /// All known members, this one included, sorted by name.
    pub members: Vec<MemberView>,
    /// Counts of messages and changes since the start.
    pub counters: Counters,
}

/// A member in the JSON for operators.
#[derive(serde::Serialize)]
struct MemberJson<'a> {
    name: &'a str,
    address: String,
    incarnation: u64,
    state: MemberState,
    since_ms: u128,
    left: bool,
}

impl MembershipView {
    /// The text that `fleet status --json` prints.
    pub fn json(&self, now: Duration) -> String {
        let members: Vec<MemberJson> = self
            .members
            .iter()
            .map(|member| MemberJson {
                name: &member.name,
                address: member.address.to_string(),
                incarnation: member.incarnation,
                state: member.state,
                since_ms: now.saturating_sub(member.since).as_millis(),
                left: member.has_left,
            })
            .collect();
        let json = serde_json::json!({
            "name": self.name,
            "fleet": self.fleet,
            "incarnation": self.incarnation,
            "standing": self.status,
            "settled": self.is_settled,
            "digest": format!("{:016x}", self.digest),
            "routers": self.router_count,
            "members": members,
        });
        json.to_string()
    }

    /// The number of members in a state.
    pub fn count(&self, state: MemberState) -> usize {
        self.members.iter().filter(|member| member.state == state).count()
    }

    /// Lines for `GET /metrics`, in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let mut out = String::new();
        let mut gauge = |name: &str, help: &str, samples: &[(String, u64)]| {
            out += &format!("# HELP slipreel_fleet_{name} {help}\n# TYPE slipreel_fleet_{name} gauge\n");
            for (labels, value) in samples {
                out += &format!("slipreel_fleet_{name}{labels} {value}\n");
            }
        };
        let sample = |state: MemberState| (format!("{{state=\"{state}\"}}"), self.count(state) as u64);
        gauge(
            "members",
            "Members by state.",
            &[sample(MemberState::Alive), sample(MemberState::Gone), sample(MemberState::Suspect)],
        );
        gauge("routers", "Routers to reckon with.", &[(String::new(), u64::from(self.router_count))]);
        gauge("settled", "Whether the view is settled.", &[(String::new(), u64::from(self.is_settled))]);
        let ready = u64::from(self.status == MemberStatus::Ready);
        gauge("ready", "Whether this process is a member.", &[(String::new(), ready)]);
        let counters = &self.counters;
        let samples = [
            ("sent", counters.sent),
            ("sent_bytes", counters.sent_bytes),
            ("taken", counters.received),
            ("noise", counters.malformed),
            ("foreign", counters.other_fleet),
            ("version", counters.other_version),
            ("exchanges", counters.synchronisations),
            ("changes", counters.changes),
        ];
        out += "# HELP slipreel_fleet_messages Messages between members since the start, by what became of them.\n";
        out += "# TYPE slipreel_fleet_messages counter\n";
        for (what, n) in samples {
            out += &format!("slipreel_fleet_messages_total{{what=\"{what}\"}} {n}\n");
        }
        out
    }
}
