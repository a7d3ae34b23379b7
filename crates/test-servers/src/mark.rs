//! The mark that a client puts into its prompt: names the try, and says how long the answer is to be.
//!
//! `[[request.try.length.effect]]`. Engines read it out of the prompt, so that neither side needs the router to know
//! what belongs together.

use slipreel_invariants::{ClientAttempt, Effect};

/// What a mark says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Which try.
    pub what: ClientAttempt,
    /// Tokens of the answer.
    pub length: u32,
    /// What the request does when it runs.
    pub effect: Effect,
}

impl Mark {
    /// The mark as text.
    pub fn text(&self) -> String {
        let effect = match self.effect {
            Effect::Safe => 's',
            Effect::Keyed => 'k',
            Effect::Unsafe => 'u',
        };
        format!("[[{}.{}.{}.{effect}]]", self.what.request, self.what.number, self.length)
    }

    /// The last mark in a text: earlier turns of a session carry their own.
    pub fn find(text: &str) -> Option<Mark> {
        let start = text.rfind("[[")? + 2;
        let inside = &text[start..start + text[start..].find("]]")?];
        let mut parts = inside.split('.');
        let request = parts.next()?.parse().ok()?;
        let number = parts.next()?.parse().ok()?;
        let length = parts.next()?.parse().ok()?;
        let effect = match parts.next()? {
            "s" => Effect::Safe,
            "k" => Effect::Keyed,
            "u" => Effect::Unsafe,
            _ => return None,
        };
        Some(Mark { what: ClientAttempt { request, number }, length, effect })
    }
}

/// The `n`th token of the answer to a request: what the engine writes and the client expects.
pub fn token(request: u64, n: u32) -> String {
    const WORDS: [&str; 16] = [
        "goal", "corner", "pass", "shot", "save", "half", "ball", "net", "wing", "line", "run", "kick",
        "été", "上", "flag", "cap",
    ];
    let mut x =
        request.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(n).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 29;
    format!("{}{n} ", WORDS[(x % 16) as usize])
}

/// The whole answer of so many tokens.
pub fn answer(request: u64, length: u32) -> String {
    (0..length).map(|n| token(request, n)).collect()
}

#[cfg(test)]
mod tests;
