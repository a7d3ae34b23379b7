//! The configuration that a router is started with, parsed from the platform's configuration file.

use crate::endpoint_list::{self, EndpointList, EndpointListError};
use crate::resource_limits::ResourceLimits;
use serde_json::Value;
use slipreel_platform_settings::{Profile, SettingsError};
use std::net::SocketAddr;

/// Why a configuration cannot be used. `Display` names the field, the value found and what was expected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not JSON.
    #[error("no JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A field is missing.
    #[error("{field}: missing")]
    Missing {
        /// The path of the field.
        field: String,
    },
    /// A field holds something other than text.
    #[error("{field}: {found}: expected text")]
    NotText {
        /// The path of the field.
        field: String,
        /// The value found.
        found: Value,
    },
    /// A field is not an address.
    #[error("{field}: {found:?}: expected IP:PORT")]
    InvalidAddress {
        /// The path of the field.
        field: String,
        /// The value found.
        found: String,
    },
    /// A limit is not a number, or out of range.
    #[error("{field}: {found}: expected a number of 1 or more")]
    InvalidLimit {
        /// The path of the field.
        field: String,
        /// The value found.
        found: Value,
    },
    /// The seed is not a number in hex.
    #[error("seed: {0:?}: expected 1 to 16 hex digits")]
    InvalidSeed(String),
    /// The cached endpoint list cannot be read.
    #[error("known.{0}")]
    InvalidEndpointList(#[source] EndpointListError),
    /// The settings cannot be read.
    #[error("settings: {}", .0.fault())]
    InvalidSettings(SettingsError),
}

/// Limits of this size and above are rejected as mistakes.
const MAX_LIMIT: f64 = 1e9;

/// The configuration of a router.
#[derive(Clone, Debug)]
pub struct Config {
    /// The router's name, which stays the same after a restart.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random generators; new at each start.
    pub seed: u64,
    /// Bounds on what the process may hold.
    pub resource_limits: ResourceLimits,
    /// The last endpoint list that this router held before it was restarted.
    pub cached_endpoints: Option<EndpointList>,
    /// The settings.
    pub profile: Profile,
}

impl Config {
    /// Parses the text of the file.
    ///
    /// # Errors
    /// The first field that is missing or cannot be read.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let value: Value = serde_json::from_str(text)?;
        let seed = get_text(&value, "seed")?;
        let limits = get(&value, "limits")?;
        let resource_limits =
            ResourceLimits::new(get_limit(limits, "sockets")?, get_limit(limits, "memory_mb")?);
        let cached_endpoints = value.get("known").filter(|list| !list.is_null());
        let cached_endpoints = cached_endpoints
            .map(endpoint_list::parse)
            .transpose()
            .map_err(ConfigError::InvalidEndpointList)?;
        let profile = slipreel_platform_settings::from_json(get(&value, "settings")?);
        Ok(Config {
            name: get_text(&value, "name")?.to_owned(),
            listen: get_address(&value, "listen")?,
            discovery: get_address(&value, "discovery")?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::InvalidSeed(seed.to_owned()))?,
            resource_limits,
            cached_endpoints,
            profile: profile.map_err(ConfigError::InvalidSettings)?,
        })
    }
}

fn get<'a>(value: &'a Value, field: &str) -> Result<&'a Value, ConfigError> {
    value.get(field).ok_or_else(|| ConfigError::Missing { field: field.to_owned() })
}

fn get_text<'a>(value: &'a Value, field: &str) -> Result<&'a str, ConfigError> {
    let found = get(value, field)?;
    found.as_str().ok_or_else(|| ConfigError::NotText { field: field.to_owned(), found: found.clone() })
}

fn get_address(value: &Value, field: &str) -> Result<SocketAddr, ConfigError> {
    let found = get_text(value, field)?;
    found
        .parse()
        .map_err(|_| ConfigError::InvalidAddress { field: field.to_owned(), found: found.to_owned() })
}

/// Reads a field of the object `limits`.
fn get_limit(limits: &Value, name: &str) -> Result<usize, ConfigError> {
    let field = format!("limits.{name}");
    let Some(found) = limits.get(name) else { return Err(ConfigError::Missing { field }) };
    match found.as_f64() {
        Some(number) if (1.0..MAX_LIMIT).contains(&number) => Ok(number as usize),
        _ => Err(ConfigError::InvalidLimit { field, found: found.clone() }),
    }
}

#[cfg(test)]
mod tests;
