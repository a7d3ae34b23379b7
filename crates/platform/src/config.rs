//! What a node is started with: the platform's configuration file.

use crate::endpoint_list::{self, EndpointList};
use crate::resource_limits::ResourceLimits;
use serde_json::Value;
use slipreel_platform_settings::Profile;
use std::fmt;
use std::net::SocketAddr;

/// A configuration that can't be used: place, what was found, what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

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
    pub resource_limits: ResourceLimits,
    /// The list as this router last held it.
    pub known: Option<EndpointList>,
    /// The settings.
    pub profile: Profile,
}

impl Config {
    /// Reads the file's text.
    ///
    /// # Errors
    /// The first field that is missing or can't be read.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let value: Value = serde_json::from_str(text).map_err(|e| ConfigError(format!("no JSON: {e}")))?;
        let field = |name: &str| value.get(name).ok_or_else(|| ConfigError(format!("{name}: missing")));
        let text = |name: &str| {
            let found = field(name)?;
            found.as_str().ok_or_else(|| ConfigError(format!("{name}: {found}: expected text")))
        };
        let address = |name: &str| {
            let found = text(name)?;
            found.parse().map_err(|_| ConfigError(format!("{name}: {found:?}: expected IP:PORT")))
        };
        let seed = text("seed")?;
        let limits = field("limits")?;
        let limit = |name: &str| {
            let found = limits.get(name).ok_or_else(|| ConfigError(format!("limits.{name}: missing")))?;
            let number = found.as_f64().filter(|n| (1.0..1e9).contains(n));
            number
                .map(|n| n as usize)
                .ok_or_else(|| ConfigError(format!("limits.{name}: {found}: expected a number of 1 or more")))
        };
        let resource_limits = ResourceLimits::new(limit("sockets")?, limit("memory_mb")?);
        let known = value.get("known").filter(|k| !k.is_null());
        let known = known
            .map(endpoint_list::read)
            .transpose()
            .map_err(|error| ConfigError(format!("known.{error}")))?;
        let profile = slipreel_platform_settings::from_json(field("settings")?);
        Ok(Config {
            name: text("name")?.to_owned(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| ConfigError(format!("seed: {seed:?}: expected 1 to 16 hex digits")))?,
            resource_limits,
            known,
            profile: profile.map_err(|bad| ConfigError(format!("settings: {}", bad.0)))?,
        })
    }
}
