//! `[fleet]`: how this router finds the others of its fleet, and the book of addresses by which it reaches
//! them.

use crate::doc::{Doc, Fault};
use crate::values::{Loopback, Name, Value};
use slipreel_consensus::PartitionMode;
use slipreel_membership::Peers;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What a section `[fleet]` says. The member's name is that of `[router]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// The fleet's name: members of another one are refused.
    pub fleet: String,
    /// Where this member can be reached by the others, by datagrams and by TCP.
    pub listen: SocketAddr,
    /// Whom to ask at a start.
    pub seeds: Vec<SocketAddr>,
    /// Where what must outlive the process is kept.
    pub folder: Option<PathBuf>,
    /// A file with the addresses by which this router reaches others.
    pub address_table_file: Option<PathBuf>,
    /// The longest datagram, bytes.
    pub max_datagram: usize,
    /// Who founds the fleet's policy, by name; none: each router acts by its own file.
    pub founders: Vec<String>,
    /// What a router does that can't know whether its policy still holds.
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

/// Some names, each once.
struct Names(Vec<String>);

impl Value for Names {
    const EXPECTED: &'static str = "one to nine names with commas between them, each once";
    fn read(text: &str) -> Result<Self, String> {
        let words = text.split(',').map(str::trim).filter(|w| !w.is_empty());
        let all: Result<Vec<String>, String> = words.map(|n| Name::read(n).map(|n| n.0)).collect();
        let all = all.map_err(|_| Self::EXPECTED.to_owned())?;
        let once = all.iter().enumerate().all(|(at, name)| !all[..at].contains(name));
        if all.is_empty() || all.len() > slipreel_consensus::timing::MAX_VOTERS || !once {
            return Err(Self::EXPECTED.into());
        }
        Ok(Names(all))
    }
}

/// Some addresses of loopback, or none.
struct Seeds(Vec<SocketAddr>);

impl Value for Seeds {
    const EXPECTED: &'static str = "loopback addresses with ports, with commas between them";
    fn read(text: &str) -> Result<Self, String> {
        let words = text.split(',').map(str::trim).filter(|w| !w.is_empty());
        let all: Result<Vec<SocketAddr>, String> = words.map(|a| Loopback::read(a).map(|a| a.0)).collect();
        all.map(Seeds).map_err(|_| Self::EXPECTED.into())
    }
}

/// What datagrams may hold: under the least that carries a head with a few lives, names are lost.
struct Datagram(usize);

impl Value for Datagram {
    const EXPECTED: &'static str = "a number of bytes from 512 to 60000";
    fn read(text: &str) -> Result<Self, String> {
        let n = text.parse().ok().filter(|n| (512..=60_000).contains(n));
        n.map(Datagram).ok_or_else(|| Self::EXPECTED.into())
    }
}

/// A datagram that is not split on links of the usual kind.
const DATAGRAM: usize = 1_200;

/// Reads the section, if it is there.
pub(crate) fn read_fleet(
    doc: &mut Doc, router: Option<usize>, taken: &[SocketAddr],
) -> Option<FleetSettings> {
    let at = doc.one("fleet")?;
    if let Some(router) = router {
        if doc.text(router, "name").is_none() {
            doc.add_fault(
                router,
                "",
                "name: expected the name by which the other members know this router, as [fleet] is there",
            );
        } else if let Some(name) = doc.get::<Name>(router, "name").filter(|n| n.0.len() > LONGEST_NAME) {
            doc.add_fault(
                router,
                "name",
                format!("{:?}: expected {LONGEST_NAME} bytes at most, as [fleet] is there", name.0),
            );
        }
    }
    let listen = doc.need::<Loopback>(at, "listen").map(|a| a.0);
    if let Some(listen) = listen.filter(|l| taken.contains(l)) {
        doc.add_fault(at, "listen", format!("{listen}: expected an address that [router] does not use"));
    }
    if let Some(listen) = listen.filter(|l| l.port() == 0) {
        doc.add_fault(at, "listen", format!("{listen}: expected a port, as others have to know it"));
    }
    let fleet = doc.or(Some(at), "fleet", Name("fleet".into())).0;
    if fleet.len() > LONGEST_NAME {
        doc.add_fault(at, "fleet", format!("{fleet:?}: expected {LONGEST_NAME} bytes at most"));
    }
    let site = FleetSettings {
        fleet,
        listen: listen?,
        seeds: doc.or(Some(at), "seeds", Seeds(Vec::new())).0,
        folder: doc.get::<String>(at, "folder").map(PathBuf::from),
        address_table_file: doc.get::<String>(at, "book").map(PathBuf::from),
        max_datagram: doc.or(Some(at), "datagram", Datagram(DATAGRAM)).0,
        founders: doc.or(Some(at), "founders", Names(Vec::new())).0,
        partition_mode: doc.or(Some(at), "cut", PartitionMode::Refuse),
    };
    if !site.founders.is_empty() && site.folder.is_none() {
        doc.add_fault(at, "founders", "expected a folder, too: what a voter has promised must outlive it");
    }
    if site.founders.is_empty() && doc.text(at, "cut").is_some() {
        doc.add_fault(at, "cut", "expected founders, too: without them each router acts by its own file");
    }
    Some(site)
}

/// Bytes of a name on the wire.
const LONGEST_NAME: usize = 64;

impl FleetSettings {
    /// Reads the book, if there is one, and gives how others are found.
    ///
    /// # Errors
    /// Every line that can't be read; a file that is not there.
    pub fn peers(&self) -> Result<Peers, Vec<Fault>> {
        let book = match &self.address_table_file {
            Some(file) => {
                let text =
                    std::fs::read_to_string(file).map_err(|e| vec![fault(file, 1, "", &e.to_string())])?;
                parse_address_table(&text, file)?
            }
            None => BTreeMap::new(),
        };
        Ok(Peers { seeds: self.seeds.clone(), address_table: book })
    }
}

fn fault(file: &Path, line: usize, key: &str, what: &str) -> Fault {
    let file = file.display().to_string();
    Fault { file, line, section: String::new(), key: key.into(), what: what.into() }
}

/// Reads a book: `name = address` a line, `;` and `#` begin a comment.
///
/// # Errors
/// Every line that is not such, and names that stand twice.
pub fn parse_address_table(text: &str, file: &Path) -> Result<BTreeMap<String, SocketAddr>, Vec<Fault>> {
    let (mut book, mut faults) = (BTreeMap::new(), Vec::new());
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
            (Ok(name), Ok(_)) if book.contains_key(&name.0) => {
                faults.push(fault(
                    file,
                    n + 1,
                    &name.0,
                    "stands in the book already: expected each name once",
                ));
            }
            (Ok(name), Ok(address)) => {
                book.insert(name.0, address.0);
            }
        }
    }
    if faults.is_empty() {
        Ok(book)
    } else {
        Err(faults)
    }
}
