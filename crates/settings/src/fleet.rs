//! The section `[fleet]`: how this router finds the other members of its fleet, and the address table by
//! which it reaches them.

use crate::doc::{Doc, Fault};
use crate::values::{Loopback, Name, Value};
use slipreel_consensus::PartitionMode;
use slipreel_membership::Peers;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The settings of the section `[fleet]`. The member's name is that of `[router]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// The fleet's name. Members of other fleets are rejected.
    pub fleet: String,
    /// The address at which the other members reach this one, by datagrams and by TCP.
    pub listen: SocketAddr,
    /// Addresses of members to contact at startup.
    pub seeds: Vec<SocketAddr>,
    /// The folder for state that must survive a restart.
    pub folder: Option<PathBuf>,
    /// The file with the address table: the addresses by which this router reaches others.
    pub address_table_file: Option<PathBuf>,
    /// The maximum length of a datagram, in bytes.
    pub max_datagram: usize,
    /// The names of the first voters on the fleet's policy. If there are none, each router follows its own
    /// file.
    pub founders: Vec<String>,
    /// What a router does while it can't know whether its policy is still in force.
    pub partition_mode: PartitionMode,
}

impl Value for PartitionMode {
    const EXPECTED: &'static str = "refuse or serve";
    fn read(text: &str) -> Result<Self, String> {
        match text {
            "refuse" => Ok(PartitionMode::Refuse),
            "serve" => Ok(PartitionMode::Serve),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// A list of distinct names.
struct Names(Vec<String>);

impl Value for Names {
    const EXPECTED: &'static str = "one to nine names with commas between them, each once";
    fn read(text: &str) -> Result<Self, String> {
        let words = text.split(',').map(str::trim).filter(|w| !w.is_empty());
        let names: Result<Vec<String>, String> = words.map(|n| Name::read(n).map(|n| n.0)).collect();
        let names = names.map_err(|_| Self::EXPECTED.to_owned())?;
        let are_distinct = names.iter().enumerate().all(|(at, name)| !names[..at].contains(name));
        if names.is_empty() || names.len() > slipreel_consensus::timing::MAX_VOTERS || !are_distinct {
            return Err(Self::EXPECTED.into());
        }
        Ok(Names(names))
    }
}

/// A list of loopback addresses; it may be empty.
struct Seeds(Vec<SocketAddr>);

impl Value for Seeds {
    const EXPECTED: &'static str = "loopback addresses with ports, with commas between them";
    fn read(text: &str) -> Result<Self, String> {
        let words = text.split(',').map(str::trim).filter(|w| !w.is_empty());
        let all: Result<Vec<SocketAddr>, String> = words.map(|a| Loopback::read(a).map(|a| a.0)).collect();
        all.map(Seeds).map_err(|_| Self::EXPECTED.into())
    }
}

/// The maximum length of a datagram. Below the lower bound, a header with a few members does not fit, so that
/// names would be lost.
struct DatagramLen(usize);

impl Value for DatagramLen {
    const EXPECTED: &'static str = "a number of bytes from 512 to 60000";
    fn read(text: &str) -> Result<Self, String> {
        let n = text.parse().ok().filter(|n| (512..=60_000).contains(n));
        n.map(DatagramLen).ok_or_else(|| Self::EXPECTED.into())
    }
}

/// The default maximum length of a datagram, in bytes: usual links do not fragment it.
const DEFAULT_MAX_DATAGRAM: usize = 1_200;

/// Reads the section, if it is there. `router` is the position of `[router]`, `used` the addresses that it
/// uses.
pub(crate) fn read_fleet(doc: &mut Doc, router: Option<usize>, used: &[SocketAddr]) -> Option<FleetSettings> {
    let at = doc.one("fleet")?;
    if let Some(router) = router {
        if doc.text(router, "name").is_none() {
            doc.add_fault(
                router,
                "",
                "name: expected the name by which the other members know this router, as [fleet] is there",
            );
        } else if let Some(name) = doc.get::<Name>(router, "name").filter(|n| n.0.len() > MAX_NAME_LEN) {
            doc.add_fault(
                router,
                "name",
                format!("{:?}: expected {MAX_NAME_LEN} bytes at most, as [fleet] is there", name.0),
            );
        }
    }
    let listen = doc.need::<Loopback>(at, "listen").map(|a| a.0);
    if let Some(listen) = listen.filter(|l| used.contains(l)) {
        doc.add_fault(at, "listen", format!("{listen}: expected an address that [router] does not use"));
    }
    if let Some(listen) = listen.filter(|l| l.port() == 0) {
        doc.add_fault(at, "listen", format!("{listen}: expected a port, as others have to know it"));
    }
    let fleet = doc.or(Some(at), "fleet", Name("fleet".into())).0;
    if fleet.len() > MAX_NAME_LEN {
        doc.add_fault(at, "fleet", format!("{fleet:?}: expected {MAX_NAME_LEN} bytes at most"));
    }
    let settings = FleetSettings {
        fleet,
        listen: listen?,
        seeds: doc.or(Some(at), "seeds", Seeds(Vec::new())).0,
        folder: doc.get::<String>(at, "folder").map(PathBuf::from),
        address_table_file: doc.get::<String>(at, "book").map(PathBuf::from),
        max_datagram: doc.or(Some(at), "datagram", DatagramLen(DEFAULT_MAX_DATAGRAM)).0,
        founders: doc.or(Some(at), "founders", Names(Vec::new())).0,
        partition_mode: doc.or(Some(at), "cut", PartitionMode::Refuse),
    };
    if !settings.founders.is_empty() && settings.folder.is_none() {
        doc.add_fault(at, "founders", "expected a folder, too: what a voter has promised must outlive it");
    }
    if settings.founders.is_empty() && doc.text(at, "cut").is_some() {
        doc.add_fault(at, "cut", "expected founders, too: without them each router acts by its own file");
    }
    Some(settings)
}

/// The maximum length of a name on the wire, in bytes.
const MAX_NAME_LEN: usize = 64;

impl FleetSettings {
    /// The seeds and the address table, which is read from its file if there is one.
    ///
    /// # Errors
    /// Every line that can't be read, or a missing file.
    pub fn peers(&self) -> Result<Peers, Vec<Fault>> {
        let address_table = match &self.address_table_file {
            Some(file) => {
                let text =
                    std::fs::read_to_string(file).map_err(|e| vec![fault(file, 1, "", &e.to_string())])?;
                parse_address_table(&text, file)?
            }
            None => BTreeMap::new(),
        };
        Ok(Peers { seeds: self.seeds.clone(), address_table })
    }
}

fn fault(file: &Path, line: usize, key: &str, what: &str) -> Fault {
    let file = file.display().to_string();
    Fault { file, line, section: String::new(), key: key.into(), what: what.into() }
}

/// Parses an address table: a line `name = address` for each member; `;` and `#` begin a comment.
///
/// # Errors
/// Every malformed line, and names that are given twice.
pub fn parse_address_table(text: &str, file: &Path) -> Result<BTreeMap<String, SocketAddr>, Vec<Fault>> {
    let (mut addresses, mut faults) = (BTreeMap::new(), Vec::new());
    for (n, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        let Some((name, address)) = line.split_once('=').map(|(n, a)| (n.trim(), a.trim())) else {
            faults.push(fault(file, n + 1, "", &format!("{line:?}: expected NAME = ADDRESS")));
            continue;
        };
        match (Name::read(name), Loopback::read(address)) {
            (Err(expected), _) => faults.push(fault(file, n + 1, name, &format!("expected {expected}"))),
            (_, Err(expected)) => {
                faults.push(fault(file, n + 1, name, &format!("{address:?}: expected {expected}")));
            }
            (Ok(name), Ok(_)) if addresses.contains_key(&name.0) => {
                faults.push(fault(
                    file,
                    n + 1,
                    &name.0,
                    "stands in the book already: expected each name once",
                ));
            }
            (Ok(name), Ok(address)) => {
                addresses.insert(name.0, address.0);
            }
        }
    }
    if faults.is_empty() {
        Ok(addresses)
    } else {
        Err(faults)
    }
}
