//! How discovery is asked: one watch at a time, opened anew with some chance when it breaks, hangs or can't be read.

use crate::list::{self, List};
use crate::room;
use slipreel_machine::ConnId;
use slipreel_protocol::http::{self, Decoder, Framing, Item, Limits, Side, Start};
use std::net::SocketAddr;
use std::time::Duration;

/// Where the watch stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Not to be opened before this time.
    Waiting(Duration),
    /// Since when.
    Connecting(ConnId, Duration),
    /// When it last said something.
    Open(ConnId, Duration),
}

/// The watch of the list.
#[derive(Debug)]
pub(crate) struct Watch {
    pub(crate) addr: SocketAddr,
    pub(crate) state: State,
    /// Version of the list that is held.
    index: u64,
    /// The whole list is asked for, whatever its version: what was told last could not be taken.
    anew: bool,
    /// The head of its answer has come, and it is good.
    listening: bool,
    decoder: Decoder,
    /// What it has said since its last whole object.
    said: Vec<u8>,
    /// Since when an object stands there in part.
    part: Option<Duration>,
}

fn decoder() -> Decoder {
    Decoder::new(Side::Client, Limits { head: room::HEAD, body: u64::MAX, ..Limits::default() })
}

impl Watch {
    pub(crate) fn new(addr: SocketAddr, now: Duration) -> Self {
        Watch {
            addr,
            state: State::Waiting(now),
            index: 0,
            anew: true,
            listening: false,
            decoder: decoder(),
            said: Vec::new(),
            part: None,
        }
    }

    /// The list that the node holds is of this version.
    pub(crate) fn holds(&mut self, index: u64) {
        (self.index, self.anew) = (index, false);
    }

    pub(crate) fn conn(&self) -> Option<ConnId> {
        match self.state {
            State::Waiting(_) => None,
            State::Connecting(conn, _) | State::Open(conn, _) => Some(conn),
        }
    }

    /// When it has to be looked at again.
    pub(crate) fn due(&self) -> Duration {
        match self.state {
            State::Waiting(at) => at,
            State::Connecting(_, since) => since + room::WATCH_CONNECT,
            State::Open(_, heard) => {
                let whole = self.part.map_or(Duration::MAX, |since| since + room::WATCH_PART);
                whole.min(heard + room::WATCH_SILENT)
            }
        }
    }

    /// It is over; the next one is opened at `at`. What it had said in part is dropped.
    pub(crate) fn again(&mut self, at: Duration) {
        self.state = State::Waiting(at);
        self.listening = false;
        self.decoder = decoder();
        (self.said, self.part) = (Vec::new(), None);
    }

    /// Its connection stands: gives what to ask.
    pub(crate) fn ask(&mut self, conn: ConnId, now: Duration) -> Vec<u8> {
        self.state = State::Open(conn, now);
        let after = if self.anew { 0 } else { self.index };
        let (target, host) = (format!("/api/targets?watch=1&after={after}"), self.addr.to_string());
        http::request_head("GET", &target, &[("host", &host)], Framing::Length(0))
    }

    /// Takes bytes; gives the lists that they complete.
    ///
    /// # Errors
    /// What can't be read, or is older than what is held: the watch has to be opened anew. The lists before it count.
    pub(crate) fn feed(&mut self, now: Duration, bytes: &[u8], out: &mut Vec<List>) -> Result<(), String> {
        if let State::Open(_, heard) = &mut self.state {
            *heard = now;
        }
        self.decoder.feed(bytes);
        // What came before something that can't be read counts.
        let (read, before) = (self.pieces(), out.len());
        self.objects(out)?;
        let since = self.part.filter(|_| out.len() == before).unwrap_or(now);
        self.part = (!self.said.is_empty()).then_some(since);
        read
    }

    fn pieces(&mut self) -> Result<(), String> {
        while let Some(item) = self.decoder.next_item().map_err(|why| why.why)? {
            match item {
                Item::Head(head) => match head.start {
                    Start::Response { status: 200 } => self.listening = true,
                    Start::Response { status: 100..=199 } => {}
                    _ => return Err(format!("answer {:?}: expected 200", head.start)),
                },
                Item::Body(piece) => self.said.extend_from_slice(&piece),
                Item::End if self.listening => return Err("the watch has ended".into()),
                Item::End => {}
            }
        }
        Ok(())
    }

    /// What has been said since the last whole object; the lists that it completes go to `out`.
    fn objects(&mut self, out: &mut Vec<List>) -> Result<(), String> {
        let Watch { said, index, anew, .. } = self;
        let mut take = |list: List| {
            if !(list.whole && *anew || list.index >= *index) {
                return Err(format!("list {}: older than {}, which is held", list.index, *index));
            }
            (*index, *anew) = (list.index, false);
            out.push(list);
            Ok(())
        };
        let taken = list::take(said, &mut take);
        if taken.is_err() {
            self.anew = true;
        } else if self.said.len() > room::LIST {
            return Err(format!("an object over {} bytes", room::LIST));
        }
        taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    fn line(index: u64, whole: bool) -> String {
        format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[]}}\n")
    }

    fn open(holds: u64) -> Watch {
        let mut watch = Watch::new(SocketAddr::from(([127, 0, 0, 1], 1)), Duration::ZERO);
        watch.holds(holds);
        let asked = watch.ask(ConnId::opened(1), Duration::ZERO);
        assert!(String::from_utf8_lossy(&asked).contains(&format!("after={holds} ")));
        watch.feed(Duration::ZERO, HEAD, &mut Vec::new()).unwrap();
        watch
    }

    #[test]
    fn lists_come_in_pieces_of_any_size_and_empty_lines_say_that_it_lives() {
        let text = format!("\n{}\n{}", line(42, true), line(43, false));
        let bytes: Vec<u8> = text.bytes().flat_map(|b| http::chunk(&[b])).collect();
        let (mut watch, mut out) = (open(41), Vec::new());
        for b in &bytes {
            watch.feed(Duration::from_secs(3), &[*b], &mut out).unwrap();
        }
        assert_eq!(out.iter().map(|l| (l.index, l.whole)).collect::<Vec<_>>(), [(42, true), (43, false)]);
        assert_eq!(watch.due(), Duration::from_secs(3) + room::WATCH_SILENT);
    }

    #[test]
    fn an_older_or_unreadable_list_is_not_taken_and_the_whole_is_asked_for() {
        for text in [line(40, true), "{\"index\"]".to_owned() + "\n", line(39, false)] {
            let (mut watch, mut out) = (open(41), Vec::new());
            assert!(watch.feed(Duration::ZERO, &http::chunk(text.as_bytes()), &mut out).is_err());
            assert!(out.is_empty());
            watch.again(Duration::ZERO);
            let asked = String::from_utf8(watch.ask(ConnId::opened(2), Duration::ZERO)).unwrap();
            assert!(asked.contains("after=0 "), "{asked}");
            watch.feed(Duration::ZERO, HEAD, &mut out).unwrap();
            watch.feed(Duration::ZERO, &http::chunk(line(7, true).as_bytes()), &mut out).unwrap();
            assert_eq!(out.len(), 1, "a whole list that was asked for counts");
        }
    }

    #[test]
    fn lists_may_run_over_several_lines_and_several_may_come_at_once() {
        let pretty = |index| {
            let value: serde_json::Value = serde_json::from_str(&line(index, false)).unwrap();
            serde_json::to_string_pretty(&value).unwrap()
        };
        let text = format!("{}\n\n{}{}\n\n", pretty(42), pretty(43), line(44, false));
        for size in [1, 7, 50, text.len()] {
            let (mut watch, mut out) = (open(41), Vec::new());
            for piece in text.as_bytes().chunks(size) {
                watch.feed(Duration::ZERO, &http::chunk(piece), &mut out).unwrap();
            }
            assert_eq!(out.iter().map(|l| l.index).collect::<Vec<_>>(), [42, 43, 44], "pieces of {size}");
            assert!(watch.said.is_empty(), "nothing is kept of what was taken");
        }
    }

    #[test]
    fn what_came_whole_before_the_watch_broke_counts() {
        for end in ["0\r\n\r\n", "zz\r\n"] {
            let (mut watch, mut out) = (open(41), Vec::new());
            let bytes = [http::chunk(line(42, false).as_bytes()), end.into()].concat();
            assert!(watch.feed(Duration::ZERO, &bytes, &mut out).is_err());
            assert_eq!(out.len(), 1, "{end:?}");
        }
    }

    #[test]
    fn an_object_without_end_is_no_list() {
        let (mut watch, mut out) = (open(41), Vec::new());
        let endless = http::chunk(format!("[\"{}\",\n", "x".repeat(60_000)).as_bytes());
        let fed = (0..200).map(|_| watch.feed(Duration::ZERO, &endless, &mut out)).find(Result::is_err);
        assert!(fed.is_some() && out.is_empty() && watch.said.len() < 2 * room::LIST);
    }

    #[test]
    fn half_a_line_is_dropped_with_its_connection() {
        let (mut watch, mut out) = (open(41), Vec::new());
        watch.feed(Duration::ZERO, &http::chunk(b"{\"index\":42,"), &mut out).unwrap();
        watch.again(Duration::ZERO);
        let asked = String::from_utf8(watch.ask(ConnId::opened(2), Duration::ZERO)).unwrap();
        assert!(asked.contains("after=41 "));
        watch.feed(Duration::ZERO, HEAD, &mut out).unwrap();
        watch.feed(Duration::ZERO, &http::chunk(line(42, false).as_bytes()), &mut out).unwrap();
        assert_eq!(out.len(), 1);
    }
}
