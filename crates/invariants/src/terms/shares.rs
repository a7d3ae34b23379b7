//! Checks of the terms on who is served: the longest prompts of a class, sessions of which all requests are
//! refused, and the least share served by class, effect, tenant and third of the day.

use super::{Answer, Fact, Seen, Term, Terms, Violation};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Classes with fewer requests count a larger fraction of their requests as longest.
const LARGE_CLASS_REQUESTS: usize = 400;
/// The fraction of a class's requests that count as its longest.
const LONGEST_PART: f64 = 0.1;
/// The same for a class with few requests.
const LONGEST_PART_OF_SMALL_CLASS: f64 = 0.25;
/// The fraction of a class's requests that count as next longest.
const NEXT_LONGEST_PART: f64 = 0.2;
/// Requests that a group has to have before its share is checked.
const MIN_GROUP_REQUESTS: usize = 20;

/// The traits of a request that its client knows.
#[derive(Clone, Debug, PartialEq)]
pub struct Traits {
    /// The class.
    pub class: String,
    /// How often requests of its class may run, as the settings name it.
    pub effect: String,
    /// The tenant.
    pub tenant: String,
    /// The session.
    pub session: u64,
    /// The length of the prompt in tokens.
    pub prompt_tokens: f64,
}

/// The least shares of requests to be served in a day.
#[derive(Clone, Copy, Debug)]
pub struct Floors {
    /// For each class.
    pub class: f64,
    /// For the classes of each effect.
    pub effect: f64,
    /// For each tenant.
    pub tenant: f64,
    /// For each third of the day.
    pub third: f64,
}

/// A group of requests for which a share is counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// The requests of a class.
    Class(String),
    /// The requests of the classes of an effect.
    Effect(String),
    /// The requests of a tenant.
    Tenant(String),
    /// The requests that were sent in a third of the day, counted from 0.
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

/// The number of requests, and of those that were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// All requests.
    pub asked: usize,
    /// Requests that got a complete answer, in time or late.
    pub served: usize,
}

impl Share {
    /// The fraction that was served; 1 if there was no request.
    pub fn part(self) -> f64 {
        if self.asked == 0 {
            1.0
        } else {
            self.served as f64 / self.asked as f64
        }
    }
}

/// A request with its traits and its final answer.
struct DescribedRequest<'a> {
    traits: &'a Traits,
    sent: Duration,
    answer: Option<Answer>,
}

impl DescribedRequest<'_> {
    fn is(&self, answer: Answer) -> bool {
        self.answer == Some(answer)
    }
}

/// The requests that have traits, without those whose clients left.
fn described_requests<'a>(facts: &[&'a Fact]) -> Vec<DescribedRequest<'a>> {
    let mut all: BTreeMap<&str, DescribedRequest> = BTreeMap::new();
    for fact in facts {
        match &fact.seen {
            Seen::Described { request, traits } => {
                all.insert(request, DescribedRequest { traits, sent: fact.at, answer: None });
            }
            Seen::Answered { request, answer } => {
                if let Some(request) = all.get_mut(request.as_str()) {
                    request.answer.get_or_insert(*answer);
                }
            }
            Seen::ClientGone { request } => drop(all.remove(request.as_str())),
            _ => {}
        }
    }
    all.into_values().collect()
}

fn share<'a>(requests: impl Iterator<Item = &'a DescribedRequest<'a>>) -> Share {
    requests.fold(Share::default(), |share, request| Share {
        asked: share.asked + 1,
        served: share.served + usize::from(request.is(Answer::Served)),
    })
}

/// The share of served requests of each class, effect, tenant and third of the day.
pub fn shares(facts: &[Fact]) -> BTreeMap<Group, Share> {
    shares_of(&described_requests(&facts.iter().collect::<Vec<_>>()))
}

fn shares_of(all: &[DescribedRequest]) -> BTreeMap<Group, Share> {
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
    for request in all {
        let Traits { class, effect, tenant, .. } = request.traits;
        for group in [
            Group::Class(class.clone()),
            Group::Effect(effect.clone()),
            Group::Tenant(tenant.clone()),
            Group::Third(third(request.sent)),
        ] {
            let share = shares.entry(group).or_default();
            share.asked += 1;
            share.served += usize::from(request.is(Answer::Served));
        }
    }
    shares
}

pub(super) fn judge(facts: &[&Fact], terms: &Terms, end: Duration, violations: &mut Vec<Violation>) {
    let all = described_requests(facts);
    let mut by_class: BTreeMap<&str, Vec<&DescribedRequest>> = BTreeMap::new();
    for request in &all {
        by_class.entry(&request.traits.class).or_default().push(request);
    }
    let mut report = |term, description| violations.push(Violation { term, at: end, description });
    for (class, requests) in &by_class {
        if let Some(part) = terms.long_prompts {
            describe_unserved_long_prompts(requests, part).into_iter().for_each(|description| {
                report(Term::LongPrompts, format!("class {class}: {description}"));
            });
        }
        if let Some(tolerance) = terms.refused_sessions {
            if let Some(description) = describe_refused_sessions(requests, tolerance) {
                report(Term::RefusedSessions, format!("class {class}: {description}"));
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
            if share.asked >= MIN_GROUP_REQUESTS && share.part() < floor {
                report(Term::Floor, format!("{group}: {} of {} served", share.served, share.asked));
            }
        }
    }
}

/// Describes the longest and next longest prompts of a class if their share of served requests is under this
/// fraction of their class's share.
fn describe_unserved_long_prompts(requests: &[&DescribedRequest], least_part: f64) -> Vec<String> {
    let mut by_length: Vec<&DescribedRequest> = requests.to_vec();
    by_length.sort_by(|a, b| b.traits.prompt_tokens.total_cmp(&a.traits.prompt_tokens));
    let count = by_length.len();
    let longest_part = if count < LARGE_CLASS_REQUESTS { LONGEST_PART_OF_SMALL_CLASS } else { LONGEST_PART };
    let longest = (count as f64 * longest_part) as usize;
    let next = longest + (count as f64 * NEXT_LONGEST_PART) as usize;
    let class_part = share(by_length.iter().copied()).part();
    let groups = [("longest", &by_length[..longest]), ("next longest", &by_length[longest..next])];
    let short = groups.into_iter().filter_map(|(name, group)| {
        let share = share(group.iter().copied());
        let is_short = share.asked >= MIN_GROUP_REQUESTS && share.part() < class_part * least_part;
        is_short.then(|| {
            format!("{name}: {} of {} served, {class_part:.2} of the class", share.served, share.asked)
        })
    });
    short.collect()
}

/// Describes the sessions of which all turns were refused, if there are more than expected when each refusal
/// is an independent random draw.
fn describe_refused_sessions(requests: &[&DescribedRequest], tolerance: f64) -> Option<String> {
    let mut sessions: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for request in requests {
        let (turns, refused) = sessions.entry(request.traits.session).or_default();
        *turns += 1;
        *refused += usize::from(request.is(Answer::Refused));
    }
    let refused: usize = sessions.values().map(|(_, refused)| refused).sum();
    let chance = refused as f64 / requests.len().max(1) as f64;
    let all_refused = sessions.values().filter(|(turns, refused)| turns == refused).count();
    let expected: f64 =
        sessions.values().map(|&(turns, _)| chance.powi(i32::try_from(turns).unwrap_or(i32::MAX))).sum();
    let exceeds = all_refused as f64 > expected + tolerance * sessions.len() as f64;
    (exceeds && requests.len() >= MIN_GROUP_REQUESTS).then(|| {
        format!(
            "{all_refused} of {} sessions had all turns refused, {expected:.1} expected by chance",
            sessions.len()
        )
    })
}
