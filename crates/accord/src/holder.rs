//! Every router's side: by which epoch it may take requests, and until when that is certain.
//!
//! A router asks the leader and counts the answer from the moment at which it asked, on its own clock. Without a valid answer it can't know whether
//! its epoch still holds, and does not take requests by it. While a change is under way it tries the new policy, gives up its long lease for
//! one of [`pace::SHORT`], and says both in one question: what was answered to earlier questions counts no more.

use crate::book::{digest, Outcome};
use crate::pace;
use crate::voter::Term;
use crate::wire::{Ask, Grant};
use std::any::Any;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// What a router makes of a policy; the host knows what it is.
pub type Made = Arc<dyn Any + Send + Sync>;

/// Tries a policy: reads it and builds from it.
pub type Try = Box<dyn FnMut(&str) -> Result<Made, String> + Send>;

/// Questions that may be under way.
const ASKS: usize = 256;

struct Tried {
    id: String,
    text: String,
    digest: u64,
    made: Result<Made, String>,
    /// The first question that said so: answers to earlier ones count no more.
    since: u64,
}

/// A router as one that holds a lease.
pub struct Holder {
    attempt: Try,
    epoch: u64,
    digest: u64,
    text: String,
    made: Option<Made>,
    until: Duration,
    term: Term,
    version: (u32, u64),
    recent: Vec<Outcome>,
    leader: Option<String>,
    voters: Vec<String>,
    trial: Option<(String, Vec<String>)>,
    tried: Option<Tried>,
    asks: VecDeque<(u64, Duration)>,
    nonce: u64,
    /// The last question that was answered.
    answered: u64,
    next: Duration,
    /// Why the policy in force can't be taken here, if it can't.
    stuck: Option<String>,
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Came {
    /// The epoch that the router acts by is another.
    pub epoch: bool,
    /// A question is due at once.
    pub ask: bool,
}

impl Holder {
    /// A router at its start: it knows no epoch.
    pub fn new(attempt: Try) -> Holder {
        Holder {
            attempt,
            epoch: 0,
            digest: 0,
            text: String::new(),
            made: None,
            until: Duration::ZERO,
            term: Term::default(),
            version: (0, 0),
            recent: Vec::new(),
            leader: None,
            voters: Vec::new(),
            trial: None,
            tried: None,
            asks: VecDeque::new(),
            nonce: 0,
            answered: 0,
            next: Duration::ZERO,
            stuck: None,
        }
    }

    /// The epoch that it acts by; 0: none yet.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The policy of that epoch.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// What it made of it.
    pub fn made(&self) -> Option<&Made> {
        self.made.as_ref()
    }

    /// Until when that epoch is certain, on its own clock.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// The leader that answered last.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Who votes, as the leader told.
    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// The state that the leader told of last: the council and the entries in it.
    pub fn version(&self) -> (u32, u64) {
        self.version
    }

    /// The change under way, and whom it waits for.
    pub fn trial(&self) -> Option<&(String, Vec<String>)> {
        self.trial.as_ref()
    }

    /// How the last changes ended.
    pub fn recent(&self) -> &[Outcome] {
        &self.recent
    }

    /// Why the policy in force can't be taken here.
    pub fn stuck(&self) -> Option<&str> {
        self.stuck.as_deref()
    }

    /// Tries a policy without taking it.
    pub fn attempt(&mut self, text: &str) -> Result<Made, String> {
        (self.attempt)(text)
    }

    /// Whether the leader has not answered the last questions: another is to be asked.
    pub fn is_lost(&self) -> bool {
        self.nonce > self.answered + 2
    }

    /// When the next question is due.
    pub fn due(&self) -> Duration {
        self.next
    }

    /// The question, now.
    pub fn ask(&mut self, now: Duration) -> Ask {
        self.nonce += 1;
        if let Some(tried) = self.tried.as_mut().filter(|t| t.made.is_ok()) {
            if tried.since == 0 {
                tried.since = self.nonce;
                // Late answers to what was asked before must not bring a long lease back, now or after the trial.
                self.asks.clear();
            }
            // The long lease ends with this question, whether it is answered or not.
            self.until = self.until.min(now + pace::SHORT);
        }
        self.asks.push_back((self.nonce, now));
        if self.asks.len() > ASKS {
            self.asks.pop_front();
        }
        let short = self.tried.as_ref().is_some_and(|t| t.made.is_ok());
        self.next = now
            + match () {
                () if short => pace::RENEW_SHORT,
                () if now < self.until => pace::RENEW,
                () => pace::SEEK,
            };
        Ask {
            nonce: self.nonce,
            epoch: self.epoch,
            digest: self.digest,
            version: self.version,
            tried: self.tried.as_ref().map(|t| (t.id.clone(), t.made.as_ref().err().cloned())),
            since: self.tried.as_ref().filter(|t| t.made.is_ok()).map_or(0, |t| t.since),
            gone: false,
        }
    }

    /// It takes no requests any more; the leader is told, so that no change waits for its lease.
    pub fn give_up(&mut self) -> Ask {
        self.nonce += 1;
        self.asks.clear();
        self.until = Duration::ZERO;
        Ask { nonce: self.nonce, epoch: self.epoch, digest: self.digest, gone: true, ..Ask::default() }
    }

    /// Takes an answer.
    pub fn answer(&mut self, now: Duration, grant: Grant) -> Came {
        let mut came = Came::default();
        if grant.term < self.term || grant.epoch < self.epoch {
            return came; // Of a leader that was replaced, or late.
        }
        self.term = grant.term;
        self.leader = Some(grant.leader);
        self.voters = grant.voters;
        self.answered = self.answered.max(grant.nonce);
        if grant.version > self.version {
            if let Some(recent) = grant.recent {
                self.recent = recent;
                self.version = grant.version;
            }
        }
        if grant.epoch > self.epoch {
            self.move_on(&grant.epoch, grant.digest, grant.text, &mut came);
        }
        // A trial that is no more the leader's is over: the long lease may come back.
        let id = grant.trial.as_ref().map(|t| &t.id);
        if self.tried.as_ref().is_some_and(|t| Some(&t.id) != id) {
            self.tried = None;
        }
        if let Some(trial) = &grant.trial {
            let known = self.tried.as_ref().is_some_and(|t| t.id == trial.id);
            if let (false, Some(text)) = (known, &trial.text) {
                let made = (self.attempt)(text);
                let (id, digest) = (trial.id.clone(), digest(text));
                self.tried = Some(Tried { id, text: text.clone(), digest, made, since: 0 });
                (came.ask, self.next) = (true, now);
            }
        }
        self.trial = grant.trial.map(|t| (t.id, t.waits_for));
        let asked = self.asks.iter().find(|(nonce, _)| *nonce == grant.nonce).map(|(_, at)| *at);
        let counts =
            self.tried.as_ref().is_none_or(|t| t.made.is_err() || t.since != 0 && t.since <= grant.nonce);
        if let (Some(asked), true, true) = (asked, counts, grant.epoch == self.epoch) {
            let lease = Duration::from_millis(u64::from(grant.lease_ms));
            self.until = self.until.max(asked + lease);
            if !came.ask && self.tried.is_none() && now < self.until {
                self.next = self.next.max(asked + pace::RENEW);
            }
        }
        came
    }

    /// Another epoch is in force: the policy that was tried for it, or the one that was sent along.
    fn move_on(&mut self, epoch: &u64, wanted: u64, sent: Option<String>, came: &mut Came) {
        let tried = self.tried.take().filter(|t| t.digest == wanted);
        let (text, made) = match (tried, sent) {
            (Some(tried), _) => (tried.text, tried.made),
            (None, Some(text)) if digest(&text) == wanted => {
                let made = (self.attempt)(&text);
                (text, made)
            }
            // The next question tells the leader that the policy is missing here.
            _ => return came.ask = true,
        };
        // An epoch that is over holds here no more, even if the new one can't be taken.
        self.until = Duration::ZERO;
        match made {
            Ok(made) => {
                (self.epoch, self.digest, self.text) = (*epoch, wanted, text);
                (self.made, self.stuck, came.epoch) = (Some(made), None, true);
            }
            Err(why) => self.stuck = Some(why),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::Trial;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    fn holder() -> Holder {
        Holder::new(Box::new(|text| match text {
            "bad" => Err("line 1: bad".into()),
            text => Ok(Arc::new(text.to_owned())),
        }))
    }

    fn grant(nonce: u64, epoch: u64, text: &str, lease_ms: u32) -> Grant {
        let text_of = Some(text.to_owned());
        Grant { nonce, epoch, digest: digest(text), lease_ms, text: text_of, ..Grant::default() }
    }

    fn trial(id: &str, text: &str) -> Option<Trial> {
        Some(Trial { id: id.into(), text: Some(text.into()), waits_for: Vec::new() })
    }

    #[test]
    fn a_lease_counts_from_the_question_and_not_from_the_answer() {
        let mut h = holder();
        let ask = h.ask(MS(1_000));
        h.answer(MS(1_900), grant(ask.nonce, 1, "one", 3_000));
        assert_eq!((h.epoch(), h.until()), (1, MS(4_000)));
        h.answer(MS(1_900), grant(99, 1, "one", 3_000));
        assert_eq!(h.until(), MS(4_000), "an answer to no question");
    }

    #[test]
    fn a_trial_ends_the_long_lease_and_earlier_answers_count_no_more() {
        let mut h = holder();
        let first = h.ask(MS(0));
        h.answer(MS(1), grant(first.nonce, 1, "one", 3_000));
        let before = h.ask(MS(100));
        let told = Grant { trial: trial("x", "two"), lease_ms: 0, ..grant(0, 1, "one", 0) };
        assert!(h.answer(MS(110), told.clone()).ask);
        let short = h.ask(MS(111));
        assert!(short.since == short.nonce && short.tried == Some(("x".into(), None)));
        assert_eq!(h.until(), MS(111) + pace::SHORT);
        h.answer(MS(112), Grant { trial: told.trial.clone(), ..grant(before.nonce, 1, "one", 3_000) });
        assert_eq!(h.until(), MS(111) + pace::SHORT, "granted before the trial");
        let next = h.ask(MS(131));
        h.answer(MS(132), Grant { trial: told.trial.clone(), ..grant(next.nonce, 1, "one", 80) });
        assert_eq!(h.until(), MS(211));
        let came = h.answer(MS(140), Grant { text: None, ..grant(next.nonce, 2, "two", 3_000) });
        assert!(came.epoch && h.epoch() == 2 && h.until() == MS(3_131));
        h.answer(MS(150), grant(next.nonce, 1, "one", 3_000));
        assert_eq!(h.epoch(), 2, "no way back");
    }

    #[test]
    fn a_policy_that_cant_be_taken_is_said_and_the_long_lease_stays() {
        let mut h = holder();
        let first = h.ask(MS(0));
        h.answer(MS(1), grant(first.nonce, 1, "one", 3_000));
        let bad = Grant { trial: trial("x", "bad"), ..grant(0, 1, "one", 0) };
        h.answer(MS(10), bad);
        let ask = h.ask(MS(11));
        assert_eq!((ask.tried, ask.since), (Some(("x".into(), Some("line 1: bad".into()))), 0));
        assert_eq!(h.until(), MS(3_000));
        let came = h.answer(MS(20), Grant { text: Some("bad".into()), ..grant(ask.nonce, 2, "bad", 3_000) });
        assert!(!came.epoch && h.stuck().is_some() && h.until() == Duration::ZERO, "it can't act by it");
    }

    #[test]
    fn one_that_gives_up_holds_nothing_whatever_is_still_on_its_way() {
        let mut h = holder();
        let first = h.ask(MS(0));
        h.answer(MS(1), grant(first.nonce, 1, "one", 3_000));
        let late = h.ask(MS(500));
        assert!(h.give_up().gone && h.until() == Duration::ZERO);
        h.answer(MS(501), grant(late.nonce, 1, "one", 3_000));
        assert_eq!(h.until(), Duration::ZERO);
    }

    #[test]
    fn one_that_lacks_the_policy_asks_for_it_and_holds_nothing() {
        let mut h = holder();
        let first = h.ask(MS(0));
        let came = h.answer(MS(1), Grant { text: None, ..grant(first.nonce, 3, "three", 3_000) });
        assert!(came.ask && h.epoch() == 0 && h.until() == Duration::ZERO);
    }
}
