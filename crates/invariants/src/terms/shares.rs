//! Terms on who is served: the longest prompts of a class, sessions that are refused throughout, and floors of the share
//! served by class, effect, tenant and third of the day.

use super::{Answer, Fact, Seen, Term, Terms, Violation};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Classes with fewer requests have a larger part of longest prompts.
const MANY_REQUESTS: usize = 400;
/// Part of a class's requests that count as its longest, and of a class with few requests.
const LONGEST_PART: f64 = 0.1;
const LONGEST_PART_OF_FEW: f64 = 0.25;
/// Part of a class's requests that are next in length.
const NEXT_PART: f64 = 0.2;
/// Requests that a group has to have before its share says anything.
const ENOUGH_REQUESTS: usize = 20;

/// What a request is, as its client knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Traits {
    /// Its class.
    pub class: String,
    /// How often its class may run, as the settings name it.
    pub effect: String,
    /// Its tenant.
    pub tenant: String,
    /// Its session.
    pub session: u64,
    /// Length of its prompt, tokens.
    pub prompt_tokens: f64,
}

/// The least shares served of a day.
#[derive(Clone, Copy, Debug)]
pub struct Floors {
    /// Of each class.
    pub class: f64,
    /// Of the classes of each effect.
    pub effect: f64,
    /// Of each tenant.
    pub tenant: f64,
    /// Of each third of the day.
    pub third: f64,
}

/// Requests of which a share is counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// Those of a class.
    Class(String),
    /// Those of the classes of an effect.
    Effect(String),
    /// Those of a tenant.
    Tenant(String),
    /// Those that were sent in a third of the day, from 0.
    Third(usize),
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Group::Class(name) => write!(f, "class {name}"),
            Group::Effect(name) => write!(f, "effect {name}"),
            Group::Tenant(name) => write!(f, "tenant {name}"),
            Group::Third(n) => write!(f, "third {}", n + 1),
        }
    }
}

/// How many requests there were, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests.
    pub asked: usize,
    /// Served whole, in time or late.
    pub served: usize,
}

impl Share {
    /// The part that was served; all of none.
    pub fn part(self) -> f64 {
        if self.asked == 0 {
            1.0
        } else {
            self.served as f64 / self.asked as f64
        }
    }
}

/// A request with its traits and its end.
struct Ended<'a> {
    traits: &'a Traits,
    sent: Duration,
    answer: Option<Answer>,
}

impl Ended<'_> {
    fn is(&self, answer: Answer) -> bool {
        self.answer == Some(answer)
    }
}

/// The requests that have traits, those left out whose clients went away.
fn ended<'a>(facts: &[&'a Fact]) -> Vec<Ended<'a>> {
    let mut all: BTreeMap<&str, Ended> = BTreeMap::new();
    for fact in facts {
        match &fact.seen {
            Seen::Described { request, traits } => {
                all.insert(request, Ended { traits, sent: fact.at, answer: None });
            }
            Seen::Answered { request, answer } => {
                if let Some(ended) = all.get_mut(request.as_str()) {
                    ended.answer.get_or_insert(*answer);
                }
            }
            Seen::ClientGone { request } => drop(all.remove(request.as_str())),
            _ => {}
        }
    }
    all.into_values().collect()
}

fn share<'a>(requests: impl Iterator<Item = &'a Ended<'a>>) -> Share {
    requests.fold(Share::default(), |share, ended| Share {
        asked: share.asked + 1,
        served: share.served + usize::from(ended.is(Answer::Served)),
    })
}

/// The share served of each class, effect, tenant and third of the day.
pub fn shares(facts: &[Fact]) -> BTreeMap<Group, Share> {
    shares_of(&ended(&facts.iter().collect::<Vec<_>>()))
}

fn shares_of(all: &[Ended]) -> BTreeMap<Group, Share> {
    let (first, last) = (all.iter().map(|e| e.sent).min(), all.iter().map(|e| e.sent).max());
    let (first, length) = match (first, last) {
        (Some(first), Some(last)) => (first, last - first),
        _ => return BTreeMap::new(),
    };
    let third = |sent: Duration| {
        let part = (sent - first).as_secs_f64() / length.as_secs_f64().max(f64::EPSILON);
        ((part * 3.0) as usize).min(2)
    };
    let mut shares: BTreeMap<Group, Share> = BTreeMap::new();
    for ended in all {
        let Traits { class, effect, tenant, .. } = ended.traits;
        for group in [
            Group::Class(class.clone()),
            Group::Effect(effect.clone()),
            Group::Tenant(tenant.clone()),
            Group::Third(third(ended.sent)),
        ] {
            let share = shares.entry(group).or_default();
            share.asked += 1;
            share.served += usize::from(ended.is(Answer::Served));
        }
    }
    shares
}

pub(super) fn judge(facts: &[&Fact], terms: &Terms, end: Duration, breaks: &mut Vec<Violation>) {
    let all = ended(facts);
    let mut by_class: BTreeMap<&str, Vec<&Ended>> = BTreeMap::new();
    for ended in &all {
        by_class.entry(&ended.traits.class).or_default().push(ended);
    }
    let mut say = |term, what| breaks.push(Violation { term, at: end, description: what });
    for (class, requests) in &by_class {
        if let Some(part) = terms.long_prompts {
            long_prompts(requests, part).into_iter().for_each(|what| {
                say(Term::LongPrompts, format!("class {class}: {what}"));
            });
        }
        if let Some(more) = terms.refused_sessions {
            if let Some(what) = refused_sessions(requests, more) {
                say(Term::RefusedSessions, format!("class {class}: {what}"));
            }
        }
    }
    if let Some(floors) = terms.floors {
        for (group, share) in shares_of(&all) {
            let floor = match group {
                Group::Class(_) => floors.class,
                Group::Effect(_) => floors.effect,
                Group::Tenant(_) => floors.tenant,
                Group::Third(_) => floors.third,
            };
            if share.asked >= ENOUGH_REQUESTS && share.part() < floor {
                say(Term::Floor, format!("{group}: {} of {} served", share.served, share.asked));
            }
        }
    }
}

/// The longest prompts of a class, and those next in length, whose share served is under a part of that of their class.
fn long_prompts(requests: &[&Ended], least_part: f64) -> Vec<String> {
    let mut by_length: Vec<&Ended> = requests.to_vec();
    by_length.sort_by(|a, b| b.traits.prompt_tokens.total_cmp(&a.traits.prompt_tokens));
    let count = by_length.len();
    let longest_part = if count < MANY_REQUESTS { LONGEST_PART_OF_FEW } else { LONGEST_PART };
    let longest = (count as f64 * longest_part) as usize;
    let next = longest + (count as f64 * NEXT_PART) as usize;
    let whole = share(by_length.iter().copied()).part();
    let groups = [("longest", &by_length[..longest]), ("next in length", &by_length[longest..next])];
    let short = groups.into_iter().filter_map(|(name, group)| {
        let share = share(group.iter().copied());
        let is_short = share.asked >= ENOUGH_REQUESTS && share.part() < whole * least_part;
        is_short
            .then(|| format!("{name}: {} of {} served, of the class {whole:.2}", share.served, share.asked))
    });
    short.collect()
}

/// Sessions of which all turns were refused, beyond what chance gives where each refusal is a fresh draw.
fn refused_sessions(requests: &[&Ended], most_more: f64) -> Option<String> {
    let mut sessions: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for ended in requests {
        let (turns, refused) = sessions.entry(ended.traits.session).or_default();
        *turns += 1;
        *refused += usize::from(ended.is(Answer::Refused));
    }
    let refused: usize = sessions.values().map(|(_, refused)| refused).sum();
    let chance = refused as f64 / requests.len().max(1) as f64;
    let throughout = sessions.values().filter(|(turns, refused)| turns == refused).count();
    let expected: f64 =
        sessions.values().map(|&(turns, _)| chance.powi(i32::try_from(turns).unwrap_or(i32::MAX))).sum();
    let is_over = throughout as f64 > expected + most_more * sessions.len() as f64;
    (is_over && requests.len() >= ENOUGH_REQUESTS).then(|| {
        format!(
            "{throughout} of {} sessions refused throughout, {expected:.1} expected by chance",
            sessions.len()
        )
    })
}
