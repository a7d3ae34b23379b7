//! The types of values in settings, and what is expected where a value can't be read.

use slipreel::{DeduplicationScope, EngineState, Role};
use std::net::SocketAddr;
use std::time::Duration;

/// A type whose values can be read from the text of a setting.
pub trait Value: Sized {
    /// What is expected, as it ends the sentence "expected ...".
    const EXPECTED: &'static str;

    /// Reads a value.
    ///
    /// # Errors
    /// What was expected instead.
    fn read(text: &str) -> Result<Self, String>;
}

fn or_expected<T: Value>(value: Option<T>) -> Result<T, String> {
    value.ok_or_else(|| T::EXPECTED.to_owned())
}

impl Value for Duration {
    const EXPECTED: &'static str = "a time such as 250ms, 2s, 1.5s, 10m or 1h";
    fn read(text: &str) -> Result<Self, String> {
        let units = [("ms", 0.001), ("us", 0.000_001), ("s", 1.0), ("m", 60.0), ("h", 3600.0)];
        let duration = units.iter().find_map(|(unit, seconds)| {
            let number: f64 = text.strip_suffix(unit)?.trim().parse().ok()?;
            Duration::try_from_secs_f64(number * seconds).ok()
        });
        or_expected(duration.filter(|duration| *duration <= Duration::from_secs(366 * 86_400)))
    }
}

impl Value for bool {
    const EXPECTED: &'static str = "yes or no";
    fn read(text: &str) -> Result<Self, String> {
        or_expected(match text {
            "yes" | "true" | "on" => Some(true),
            "no" | "false" | "off" => Some(false),
            _ => None,
        })
    }
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number of 0 or more";
    fn read(text: &str) -> Result<Self, String> {
        or_expected(text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0))
    }
}

impl Value for usize {
    const EXPECTED: &'static str = "a whole number";
    fn read(text: &str) -> Result<Self, String> {
        or_expected(text.parse().ok())
    }
}

impl Value for u32 {
    const EXPECTED: &'static str = "a whole number";
    fn read(text: &str) -> Result<Self, String> {
        or_expected(text.parse().ok())
    }
}

impl Value for u64 {
    const EXPECTED: &'static str = "a whole number";
    fn read(text: &str) -> Result<Self, String> {
        or_expected(text.parse().ok())
    }
}

impl Value for String {
    const EXPECTED: &'static str = "some text";
    fn read(text: &str) -> Result<Self, String> {
        or_expected(Some(text.to_owned()).filter(|t| !t.is_empty()))
    }
}

/// A number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bytes(pub u64);

impl Value for Bytes {
    const EXPECTED: &'static str = "a size such as 512, 64KiB or 32MiB";
    fn read(text: &str) -> Result<Self, String> {
        let units = [("KiB", 1u64 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("", 1)];
        let size = units.iter().find_map(|(unit, bytes)| {
            let number: u64 = text.strip_suffix(unit)?.trim().parse().ok()?;
            number.checked_mul(*bytes)
        });
        or_expected(size.map(Bytes))
    }
}

/// A loopback address with a port. Routers listen on and connect to no other addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loopback(pub SocketAddr);

impl Value for Loopback {
    const EXPECTED: &'static str = "a loopback address and port such as 127.0.0.1:8080 or [::1]:8080";
    fn read(text: &str) -> Result<Self, String> {
        or_expected(text.parse().ok().filter(|a: &SocketAddr| a.ip().is_loopback()).map(Loopback))
    }
}

/// A name of letters, digits, dots, dashes and underscores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name(pub String);

impl Value for Name {
    const EXPECTED: &'static str = "a name of letters, digits, '.', '-' and '_'";
    fn read(text: &str) -> Result<Self, String> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        or_expected(Some(text).filter(|t| !t.is_empty() && t.chars().all(is_allowed)).map(|t| Name(t.into())))
    }
}

impl Value for Role {
    const EXPECTED: &'static str = "read, write or both";
    fn read(text: &str) -> Result<Self, String> {
        or_expected(match text {
            "read" => Some(Role::Prefill),
            "write" => Some(Role::Decode),
            "both" => Some(Role::Mixed),
            _ => None,
        })
    }
}

impl Value for DeduplicationScope {
    const EXPECTED: &'static str = "all, zone or cell";
    fn read(text: &str) -> Result<Self, String> {
        or_expected(match text {
            "all" => Some(DeduplicationScope::All),
            "zone" => Some(DeduplicationScope::Zone),
            "cell" => Some(DeduplicationScope::Cell),
            _ => None,
        })
    }
}

impl Value for EngineState {
    const EXPECTED: &'static str = "ready or draining";
    fn read(text: &str) -> Result<Self, String> {
        or_expected(match text {
            "ready" => Some(EngineState::Ready),
            "draining" => Some(EngineState::Draining),
            _ => None,
        })
    }
}
