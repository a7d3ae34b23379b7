//! Discovery as a machine: a watch of the list, with changes as they are told by [`Listing`]s as news.

use slipreel_links::Client;
use slipreel_machine::{ConnId, Input, Machine, Output};
use slipreel_protocol::http::{self, Limits};
use std::collections::BTreeMap;
use std::time::Duration;

/// News for discovery: entries that changed, each as its JSON object, by name.
#[derive(Clone, Debug, Default)]
pub struct Listing(pub Vec<(String, String)>);

/// Discovery. An entry whose status is `Gone` leaves the whole list.
#[derive(Default)]
pub struct Discovery {
    index: u64,
    entries: BTreeMap<String, String>,
    clients: BTreeMap<ConnId, (Client, bool)>,
    beat: Option<Duration>,
}

const BEAT: Duration = Duration::from_secs(2);

impl Discovery {
    /// One whose list is `first`.
    pub fn new(first: &Listing) -> Self {
        Discovery { index: 1, entries: first.0.iter().cloned().collect(), ..Discovery::default() }
    }

    /// The whole list as the protocol has it.
    pub fn whole(&self) -> String {
        let entries: Vec<&str> = self.entries.values().map(String::as_str).collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", self.index, entries.join(","))
    }

    fn say(&mut self, line: &str, out: &mut Vec<Output>) {
        let chunk = http::chunk(format!("{line}\n").as_bytes());
        let watching = self.clients.iter().filter(|(_, (_, watches))| *watches);
        out.extend(watching.map(|(&conn, _)| Output::Write(conn, chunk.clone())));
    }
}

impl Machine for Discovery {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Accepted(conn, door) => {
                self.clients.insert(conn, (Client::new(conn, door, now, Limits::default(), 0), false));
                self.beat.get_or_insert(now + BEAT);
            }
            Input::Data(conn, bytes) => {
                let whole = self.whole();
                let Some((client, watches)) = self.clients.get_mut(&conn) else { return };
                client.feed(now, bytes, out);
                if let Ok(Some(received)) = client.receive(now, out) {
                    if received.path() != "/api/targets" {
                        return out.push(Output::Abort(conn));
                    }
                    *watches = true;
                    client.begin_stream(&[], out);
                    client.write(http::chunk(format!("{whole}\n").as_bytes()), out);
                }
            }
            Input::News(news) => {
                let Some(listing) = news.downcast_ref::<Listing>() else { return };
                self.index += 1;
                for (name, entry) in &listing.0 {
                    if entry.contains("\"Gone\"") {
                        self.entries.remove(name);
                    } else {
                        self.entries.insert(name.clone(), entry.clone());
                    }
                }
                let entries: Vec<&str> = listing.0.iter().map(|(_, e)| e.as_str()).collect();
                let line = format!(
                    "{{\"index\":{},\"snapshot\":false,\"endpoints\":[{}]}}",
                    self.index,
                    entries.join(",")
                );
                self.say(&line, out);
            }
            Input::Wake if self.beat.is_some_and(|at| at <= now) => {
                self.beat = Some(now + BEAT);
                self.say("", out);
            }
            Input::Eof(conn) => {
                out.push(Output::Finish(conn));
                self.clients.remove(&conn);
            }
            Input::Lost(conn, _) => {
                self.clients.remove(&conn);
            }
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.beat
    }
}
