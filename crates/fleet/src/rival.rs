//! Two processes of one name: which one yields, and how a predecessor that is dead is told from a twin that lives.
//!
//! Of two lives the one of the higher (incarnation, nonce) holds the name. Who learns of a higher one than its own is challenged: it may be
//! a predecessor, where the folder was lost, or a twin. A challenged process is not ready. If the other is heard to have moved on since
//! this one's start, it lives, and this one yields for good: which of two may run is the operators' affair. If it stays silent for as
//! long as makes a member gone, it was a predecessor, and this one takes the next incarnation.

use crate::pace;
use slipreel_protocol::fleet::Life;
use std::time::Duration;

/// Another process of this one's name that holds it.
#[derive(Clone, Debug)]
pub struct Rival {
    /// Its life.
    pub life: Life,
    /// When it was last heard to have moved on, on this process's clock.
    pub heard: Duration,
}

/// What follows from news of one's own name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing: the other is older and will be told so.
    Holds,
    /// Wait: it may be dead or alive.
    Challenged,
    /// It lives and holds the name.
    Yields,
}

/// Weighs news of another life of one's own name; keeps what is known of it in `rival`.
pub fn weigh(
    now: Duration, started: Duration, own: &Life, rival: &mut Option<Rival>, told: &Life, age: Duration,
) -> Verdict {
    if (told.incarnation, told.nonce) < (own.incarnation, own.nonce) {
        return Verdict::Holds;
    }
    let heard = now.saturating_sub(age);
    match rival {
        Some(known) if (known.life.incarnation, known.life.nonce) >= (told.incarnation, told.nonce) => {
            if known.life.id() == told.id() {
                known.heard = known.heard.max(heard);
                known.life.left |= told.left;
            }
        }
        _ => *rival = Some(Rival { life: told.clone(), heard }),
    }
    let lives = rival.as_ref().is_some_and(|r| !r.life.left && r.heard > started + pace::LATE_NEWS);
    if lives {
        Verdict::Yields
    } else {
        Verdict::Challenged
    }
}

/// Whether a rival has been silent for so long that the name is free, in a fleet of so many.
pub fn is_over(now: Duration, rival: &Rival, members: usize) -> bool {
    rival.life.left || now.saturating_sub(rival.heard) >= pace::gone_after(members)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::SocketAddr;

    fn s(n: f64) -> Duration {
        Duration::from_secs_f64(n)
    }

    fn life(incarnation: u64, nonce: u64) -> Life {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        Life { name: "a".into(), incarnation, nonce, address, routers: 1, left: false }
    }

    #[test]
    fn a_dead_predecessor_is_waited_out() {
        let (own, before) = (life(1, 7), life(5, 3));
        let mut rival = None;
        // Its last rounds reach us by several ways after our start at 100 s; each is from before it or hardly after.
        for (at, age) in [(100.2, 0.4), (100.4, 0.5), (101.0, 0.3), (102.0, 2.1)] {
            let verdict = weigh(s(at), s(100.0), &own, &mut rival, &before, s(age));
            assert_eq!(verdict, Verdict::Challenged, "at {at}");
        }
        let rival = rival.expect("a rival");
        assert!(!is_over(s(103.0), &rival, 10));
        assert!(is_over(s(103.8), &rival, 10));
    }

    #[test]
    fn a_twin_that_lives_makes_the_older_yield() {
        let (own, twin) = (life(1, 7), life(5, 3));
        let mut rival = None;
        assert_eq!(weigh(s(101.0), s(100.0), &own, &mut rival, &twin, s(0.1)), Verdict::Challenged);
        assert_eq!(weigh(s(101.8), s(100.0), &own, &mut rival, &twin, s(0.1)), Verdict::Yields);
        // The twin hears of us and holds.
        assert_eq!(weigh(s(101.8), s(50.0), &twin, &mut None, &own, s(0.1)), Verdict::Holds);
        // Of one incarnation the higher nonce holds: somebody always does.
        assert_eq!(weigh(s(110.0), s(50.0), &life(5, 9), &mut None, &twin, s(0.1)), Verdict::Holds);
        assert_eq!(weigh(s(110.0), s(50.0), &twin, &mut None, &life(5, 9), s(0.1)), Verdict::Yields);
    }

    #[test]
    fn a_predecessor_that_said_goodbye_is_over_at_once() {
        let mut rival = None;
        let before = Life { left: true, ..life(5, 3) };
        assert_eq!(weigh(s(103.0), s(100.0), &life(1, 7), &mut rival, &before, s(0.0)), Verdict::Challenged);
        assert!(is_over(s(103.0), &rival.expect("a rival"), 10));
    }
}
