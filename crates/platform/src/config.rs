//! What a node is started with: the platform's configuration file.

use crate::list::{self, List};
use crate::room::Room;
use serde_json::Value;
use slipreel_platform_settings::Profile;
use std::fmt;
use std::net::SocketAddr;

/// A configuration that can't be used: place, what was found, what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable(pub String);

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Unreadable {}

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For its chances; new at each start.
    pub seed: u64,
    /// What its process may hold.
    pub room: Room,
    /// The list as this router last held it.
    pub known: Option<List>,
    /// The settings.
    pub profile: Profile,
}

impl Config {
    /// Reads the file's text.
    ///
    /// # Errors
    /// The first field that is missing or can't be read.
    pub fn parse(text: &str) -> Result<Config, Unreadable> {
        let value: Value = serde_json::from_str(text).map_err(|e| Unreadable(format!("no JSON: {e}")))?;
        let field = |name: &str| value.get(name).ok_or_else(|| Unreadable(format!("{name}: missing")));
        let text = |name: &str| {
            let found = field(name)?;
            found.as_str().ok_or_else(|| Unreadable(format!("{name}: {found}: expected text")))
        };
        let address = |name: &str| {
            let found = text(name)?;
            found.parse().map_err(|_| Unreadable(format!("{name}: {found:?}: expected IP:PORT")))
        };
        let seed = text("seed")?;
        let limits = field("limits")?;
        let limit = |name: &str| {
            let found = limits.get(name).ok_or_else(|| Unreadable(format!("limits.{name}: missing")))?;
            let number = found.as_f64().filter(|n| (1.0..1e9).contains(n));
            number
                .map(|n| n as usize)
                .ok_or_else(|| Unreadable(format!("limits.{name}: {found}: expected a number of 1 or more")))
        };
        let room = Room::of(limit("sockets")?, limit("memory_mb")?);
        let known = value.get("known").filter(|k| !k.is_null());
        let known = known.map(list::read).transpose().map_err(|why| Unreadable(format!("known.{why}")))?;
        let profile = slipreel_platform_settings::from_json(field("settings")?);
        Ok(Config {
            name: text("name")?.to_owned(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| Unreadable(format!("seed: {seed:?}: expected 1 to 16 hex digits")))?,
            room,
            known,
            profile: profile.map_err(|bad| Unreadable(format!("settings: {}", bad.0)))?,
        })
    }
}
