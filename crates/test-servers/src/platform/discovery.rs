//! Discovery as a machine: a watch of the list, with changes as they are told by [`Listing`]s as news, and troubles of its
//! own by [`Mood`]s.

use super::{look, Shared};
use slipreel_connections::ClientConnection;
use slipreel_invariants::terms::Seen;
use slipreel_protocol::http::{self, Framing, Limits};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::time::Duration;

/// News for discovery: entries that changed, each as its JSON object, by name.
#[derive(Clone, Debug, Default)]
pub struct Listing(pub Vec<(String, String)>);

/// News for discovery: how it treats who asks from now on. Any but `Fine` ends or forgets the watches that are open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// It tells the list.
    #[default]
    Fine,
    /// It resets each connection.
    Refuses,
    /// It takes connections and says nothing. Those of that time stay silent for good.
    Silent,
    /// 503, and to come back in a minute.
    Busy,
    /// Half of the list, then nothing.
    Half,
    /// A byte of its answer now and then.
    Drips,
    /// The head of a good answer, and empty lines alone.
    Beats,
    /// The whole list as it was before its last change.
    Older,
}

struct Watch {
    client: ClientConnection,
    /// It has asked, and is told what changes.
    told: bool,
    /// It gets the empty lines.
    beats: bool,
    /// What is still to drip to it.
    drips: Vec<u8>,
}

/// Discovery. An entry whose status is `Gone` leaves the whole list.
#[derive(Default)]
pub struct Discovery {
    index: u64,
    entries: BTreeMap<String, String>,
    /// The list before its last change.
    before: String,
    watches: BTreeMap<ConnId, Watch>,
    mood: Mood,
    beat: Option<Duration>,
    drip: Option<Duration>,
    /// Whose calls they are, and where they are noted.
    notes: Option<(String, Shared)>,
    /// When it was asked for the list.
    pub asked: Vec<Duration>,
}

const BEAT: Duration = Duration::from_secs(2);
const DRIP: Duration = Duration::from_millis(400);

impl Discovery {
    /// One whose list is `first`.
    pub fn new(first: &Listing) -> Self {
        let mut new =
            Discovery { index: 1, entries: first.0.iter().cloned().collect(), ..Discovery::default() };
        new.before = new.whole();
        new
    }

    /// The same as the agent beside this router, noting in `shared` when it is asked.
    #[must_use]
    pub fn beside(mut self, router: &str, shared: &Shared) -> Self {
        self.notes = Some((router.to_owned(), shared.clone()));
        self
    }

    fn note_asked(&mut self, now: Duration) {
        self.asked.push(now);
        if let Some((router, shared)) = &self.notes {
            look(shared).see(now, Seen::Asked { router: router.clone() });
        }
    }

    /// The whole list as the protocol has it.
    pub fn whole(&self) -> String {
        let entries: Vec<&str> = self.entries.values().map(String::as_str).collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", self.index, entries.join(","))
    }

    fn say(&mut self, line: &str, beat: bool, out: &mut Vec<Output>) {
        let chunk = http::chunk(format!("{line}\n").as_bytes());
        let hears = self.watches.iter().filter(|(_, w)| if beat { w.beats } else { w.told });
        out.extend(hears.map(|(&conn, _)| Output::Write(conn, chunk.clone())));
    }

    fn answer(&mut self, conn: ConnId, now: Duration, out: &mut Vec<Output>) {
        self.note_asked(now);
        let (whole, before) = (self.whole(), self.before.clone());
        let Some(watch) = self.watches.get_mut(&conn) else { return };
        match self.mood {
            Mood::Fine => {
                (watch.told, watch.beats) = (true, true);
                watch.client.begin_stream(&[], out);
                watch.client.write(http::chunk(format!("{whole}\n").as_bytes()), out);
            }
            Mood::Refuses => out.push(Output::Abort(conn)),
            Mood::Silent => {}
            Mood::Busy => watch.client.answer(503, &[("retry-after", "60")], b"", out),
            Mood::Half => {
                watch.client.begin_stream(&[], out);
                watch.client.write(http::chunk(&whole.as_bytes()[..whole.len() / 2]), out);
            }
            Mood::Drips => {
                let fields = [("content-type", "text/event-stream")];
                let mut all = http::response_head(200, &fields, Framing::Chunked);
                all.extend_from_slice(&http::chunk(format!("{whole}\n").as_bytes()));
                all.reverse();
                watch.drips = all;
                self.drip.get_or_insert(now + DRIP);
            }
            Mood::Beats => {
                watch.beats = true;
                watch.client.begin_stream(&[], out);
            }
            Mood::Older => {
                watch.beats = true;
                watch.client.begin_stream(&[], out);
                watch.client.write(http::chunk(format!("{before}\n").as_bytes()), out);
            }
        }
    }

    fn turns(&mut self, mood: Mood, out: &mut Vec<Output>) {
        if self.mood == Mood::Older && mood == Mood::Fine {
            // It was another that lagged behind, and who listened to that one is cut off.
            out.extend(std::mem::take(&mut self.watches).into_keys().map(Output::Abort));
        }
        self.mood = mood;
        match mood {
            Mood::Fine => {}
            // They stay open, and nothing is ever said on them again.
            Mood::Silent => self.watches.values_mut().for_each(|w| (w.told, w.beats) = (false, false)),
            _ => {
                out.extend(std::mem::take(&mut self.watches).into_keys().map(Output::Abort));
            }
        }
    }

    fn changes(&mut self, listing: &Listing, out: &mut Vec<Output>) {
        self.before = self.whole();
        self.index += 1;
        for (name, entry) in &listing.0 {
            if entry.contains("\"Gone\"") {
                self.entries.remove(name);
            } else {
                self.entries.insert(name.clone(), entry.clone());
            }
        }
        let entries: Vec<&str> = listing.0.iter().map(|(_, e)| e.as_str()).collect();
        let (index, entries) = (self.index, entries.join(","));
        self.say(&format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{entries}]}}"), false, out);
    }
}

impl Machine for Discovery {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Accepted(conn, _) if self.mood == Mood::Refuses => {
                self.note_asked(now);
                out.push(Output::Abort(conn));
            }
            Input::Accepted(conn, door) => {
                let client = ClientConnection::new(conn, door, now, Limits::default(), 0);
                self.watches.insert(conn, Watch { client, told: false, beats: false, drips: Vec::new() });
                self.beat.get_or_insert(now + BEAT);
            }
            Input::Data(conn, bytes) => {
                let Some(watch) = self.watches.get_mut(&conn) else { return };
                watch.client.feed(now, bytes, out);
                if let Ok(Some(received)) = watch.client.receive(now, out) {
                    if received.path() != "/api/targets" {
                        return out.push(Output::Abort(conn));
                    }
                    self.answer(conn, now, out);
                }
            }
            Input::OwnerMessage(news) => {
                if let Some(listing) = news.downcast_ref::<Listing>() {
                    self.changes(listing, out);
                } else if let Some(mood) = news.downcast_ref::<Mood>() {
                    self.turns(*mood, out);
                }
            }
            Input::Wake => {
                if self.beat.is_some_and(|at| at <= now) {
                    self.beat = Some(now + BEAT);
                    self.say("", true, out);
                }
                if self.drip.is_some_and(|at| at <= now) {
                    self.drip = Some(now + DRIP);
                    for (&conn, watch) in &mut self.watches {
                        out.extend(watch.drips.pop().map(|byte| Output::Write(conn, vec![byte])));
                    }
                }
            }
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.watches.remove(&conn);
            }
            Input::Lost(conn, _) => {
                self.watches.remove(&conn);
            }
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.beat.into_iter().chain(self.drip).min()
    }
}
