//! The marker that a test client puts into its prompt: it identifies the attempt and gives the length of the
//! answer.
//!
//! Its form is `[[request.attempt.length.effect]]`. Engines read it from the prompt, so clients and engines
//! can match their observations without help from the router.

use slipreel_invariants::{ClientAttempt, Effect};

/// A parsed marker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// The attempt that carries the marker.
    pub attempt: ClientAttempt,
    /// Length of the answer in tokens.
    pub length: u32,
    /// Whether it is safe to run the request more than once.
    pub effect: Effect,
}

impl Mark {
    /// Formats the marker for a prompt.
    pub fn text(&self) -> String {
        let effect = match self.effect {
            Effect::Safe => 's',
            Effect::Keyed => 'k',
            Effect::Unsafe => 'u',
        };
        format!("[[{}.{}.{}.{effect}]]", self.attempt.request, self.attempt.number, self.length)
    }

    /// Returns the last marker in `text`: earlier turns of a session carry markers of their own.
    pub fn find(text: &str) -> Option<Mark> {
        let start = text.rfind("[[")? + 2;
        let content = &text[start..start + text[start..].find("]]")?];
        let mut parts = content.split('.');
        let request = parts.next()?.parse().ok()?;
        let number = parts.next()?.parse().ok()?;
        let length = parts.next()?.parse().ok()?;
        let effect = match parts.next()? {
            "s" => Effect::Safe,
            "k" => Effect::Keyed,
            "u" => Effect::Unsafe,
            _ => return None,
        };
        Some(Mark { attempt: ClientAttempt { request, number }, length, effect })
    }
}

/// The `n`th token of the answer to a request, which the engine generates and the client expects.
pub fn token(request: u64, n: u32) -> String {
    const WORDS: [&str; 16] = [
        "goal", "corner", "pass", "shot", "save", "half", "ball", "net", "wing", "line", "run", "kick",
        "été", "上", "flag", "cap",
    ];
    let mut hash =
        request.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(n).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 29;
    format!("{}{n} ", WORDS[(hash % 16) as usize])
}

/// The whole answer of `length` tokens.
pub fn answer(request: u64, length: u32) -> String {
    (0..length).map(|n| token(request, n)).collect()
}

#[cfg(test)]
mod tests;
