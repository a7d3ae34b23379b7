//! What the rest of the process and the operators see of the fleet. Decides nothing.

use crate::table::State;
use crate::{Kept, Tally};
use arc_swap::ArcSwap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How this process itself stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It looks for the others.
    #[default]
    Joining,
    /// It is a member.
    Ready,
    /// Another life of its name is known, dead or alive.
    Challenged,
    /// Another process holds its name. Final: an operator has to say which of the two may run.
    Yielded,
    /// It has said goodbye.
    Left,
}

/// One member, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where this router reaches it.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// What is believed of it.
    pub state: State,
    /// Since when, on this process's clock.
    pub since: Duration,
    /// Whether it said goodbye.
    pub left: bool,
}

/// The view as it stands.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The fleet's name.
    pub fleet: String,
    /// This member.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// How it stands.
    pub standing: Standing,
    /// Nothing has changed and nobody has told another view for [`crate::pace::SETTLED`].
    pub settled: bool,
    /// Of those that are not gone.
    pub digest: u64,
    /// Routers to reckon with, by [`crate::count`].
    pub routers: u32,
    /// All members that are listed, this one too, by name.
    pub members: Vec<MemberView>,
    /// What passed on the wire.
    pub tally: Tally,
}

#[derive(serde::Serialize)]
struct Shown<'a> {
    name: &'a str,
    address: String,
    incarnation: u64,
    state: State,
    since_ms: u128,
    /// It said goodbye, or was declared gone by an operator.
    left: bool,
}

impl View {
    /// The text that `fleet status --json` prints.
    pub fn json(&self, now: Duration) -> String {
        let members: Vec<Shown> = self
            .members
            .iter()
            .map(|m| Shown {
                name: &m.name,
                address: m.address.to_string(),
                incarnation: m.incarnation,
                state: m.state,
                since_ms: now.saturating_sub(m.since).as_millis(),
                left: m.left,
            })
            .collect();
        let shown = serde_json::json!({
            "name": self.name,
            "fleet": self.fleet,
            "incarnation": self.incarnation,
            "standing": self.standing,
            "settled": self.settled,
            "digest": format!("{:016x}", self.digest),
            "routers": self.routers,
            "members": members,
        });
        shown.to_string()
    }

    /// How many are in a state.
    pub fn count(&self, state: State) -> usize {
        self.members.iter().filter(|m| m.state == state).count()
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
        let of = |state: State| (format!("{{state=\"{state}\"}}"), self.count(state) as u64);
        gauge("members", "Members by state.", &[of(State::Alive), of(State::Gone), of(State::Suspect)]);
        gauge("routers", "Routers to reckon with.", &[(String::new(), u64::from(self.routers))]);
        gauge("settled", "Whether the view is settled.", &[(String::new(), u64::from(self.settled))]);
        let ready = u64::from(self.standing == Standing::Ready);
        gauge("ready", "Whether this process is a member.", &[(String::new(), ready)]);
        let t = &self.tally;
        let counters = [
            ("sent", t.sent),
            ("sent_bytes", t.sent_bytes),
            ("taken", t.taken),
            ("noise", t.noise),
            ("foreign", t.foreign),
            ("version", t.version),
            ("exchanges", t.exchanges),
            ("changes", t.changes),
        ];
        out += "# HELP slipreel_fleet_messages Messages between members since the start, by what became of them.\n";
        out += "# TYPE slipreel_fleet_messages counter\n";
        for (what, n) in counters {
            out += &format!("slipreel_fleet_messages_total{{what=\"{what}\"}} {n}\n");
        }
        out
    }
}

/// Where the machine that keeps the view and the rest of the process meet. Readers never wait for the writer.
#[derive(Debug, Default)]
pub struct Board {
    view: ArcSwap<View>,
    kept: ArcSwap<Kept>,
    leave: AtomicBool,
    forget: Mutex<VecDeque<String>>,
}

/// Names that may wait to be forgotten.
const WORDS: usize = 64;

impl Board {
    /// The view as it stands.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// What should outlive the process, as it stands.
    pub fn kept(&self) -> Arc<Kept> {
        self.kept.load_full()
    }

    /// An operator asks this member to say goodbye.
    pub fn ask_to_leave(&self) {
        self.leave.store(true, Ordering::Release);
    }

    /// An operator says that a member is gone for good. False if too many such words wait.
    pub fn ask_to_forget(&self, name: &str) -> bool {
        let Ok(mut words) = self.forget.lock() else { return false };
        let room = words.len() < WORDS;
        if room {
            words.push_back(name.to_owned());
        }
        room
    }

    pub(crate) fn show(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    pub(crate) fn keep(&self, kept: Kept) {
        self.kept.store(Arc::new(kept));
    }

    pub(crate) fn leaves(&self) -> bool {
        self.leave.load(Ordering::Acquire)
    }

    pub(crate) fn forgets(&self) -> VecDeque<String> {
        self.forget.lock().map(|mut words| std::mem::take(&mut *words)).unwrap_or_default()
    }
}
