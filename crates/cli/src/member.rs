//! `serve` as a member of a fleet: a thread of its own keeps the view, this side keeps the folder and passes on what follows.

use crate::disk::Folder;
use crate::{lines, Failure};
use slipreel_consensus::storage::{read, StorageError};
use slipreel_consensus::{
    CompiledPolicy, Consensus, Disk, InvalidPolicy, Member as Machine, MembershipDirectory, PolicyCompiler,
    PolicyHandle, Startup,
};
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle, MachineId};
use slipreel_gateway::{Gateway, RouterCount};
use slipreel_membership::{Membership, MembershipSettings, Peers, SavedState, SharedView};
use slipreel_settings::{changes, join, policy_of, Daemon, FleetSite};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

/// Least time between two writes of the folder, whatever changes.
const WRITE: Duration = Duration::from_secs(1);

/// This process's part in the policy that the fleet agrees on.
struct Policy {
    handle: Arc<PolicyHandle>,
    /// The router's own file as it was last read well: a policy is tried together with it.
    own: Arc<Mutex<String>>,
    file: String,
    /// The epoch that was last told of.
    told: u64,
    /// Held for as long as the process runs.
    _lock: Option<std::fs::File>,
}

impl Policy {
    fn own(&self) -> String {
        self.own.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Says which keys of this router's file differ from the policy in force, when another one is.
    fn look(&mut self) {
        let shown = self.handle.status();
        if shown.epoch == self.told {
            return;
        }
        self.told = shown.epoch;
        let Ok(own) = policy_of(&self.own(), &self.file) else { return };
        for change in changes(&own.text, &shown.text).unwrap_or_default().iter().take(DIFFERENCES) {
            tracing::info!(
                epoch = shown.epoch,
                "the policy in force, not this router's file, holds: {change}"
            );
        }
    }
}

/// Lines about what a file has otherwise than the policy in force.
const DIFFERENCES: usize = 16;

/// A disk for a router without a folder: it does not vote, and nothing is kept.
struct NoDisk;

impl Disk for NoDisk {
    fn append(&mut self, _: &[u8], _: bool) -> std::io::Result<()> {
        Ok(())
    }
    fn replace(&mut self, _: &[u8]) -> std::io::Result<()> {
        Ok(())
    }
}

/// Takes the folder. One that can't be written is no reason not to serve: the router does not vote, and says so.
fn lock(folder: &Path) -> Result<Option<std::fs::File>, Failure> {
    match Folder::take(folder) {
        Ok(lock) => Ok(Some(lock)),
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => Err(Failure::Run(format!(
            "[fleet] folder: {}: another process uses it: expected a folder of this router's own",
            folder.display()
        ))),
        Err(_) => Ok(None),
    }
}

/// What a router needs to take part in the policy, where its settings want that.
fn consensus(
    site: &FleetSite, name: &str, config: &Path, clock: Clock, view: &Arc<SharedView>,
) -> Result<Option<(Consensus, Policy)>, Failure> {
    if site.founders.is_empty() {
        return Ok(None);
    }
    let file = config.display().to_string();
    let text = std::fs::read_to_string(config).map_err(|e| Failure::Input(format!("{file}: {e}")))?;
    let policy = policy_of(&text, &file).map_err(|faults| Failure::Input(lines(&faults)))?;
    let own = Arc::new(Mutex::new(text));
    let handle = Arc::new(PolicyHandle::default());
    let settings = slipreel_consensus::ConsensusConfig {
        fleet: site.fleet.clone(),
        name: name.to_owned(),
        founders: site.founders.clone(),
        policy: policy.text,
        partition_mode: site.cut,
        max_datagram_len: site.datagram,
    };
    let (of, with) = (file.clone(), own.clone());
    let compiler: Box<dyn PolicyCompiler> = Box::new(move |policy: &str| {
        let own = with.lock().unwrap_or_else(PoisonError::into_inner).clone();
        match join(&own, &of, policy) {
            Ok(daemon) => Ok(Arc::new(daemon.site) as CompiledPolicy),
            Err(faults) => Err(InvalidPolicy::new(lines(&faults))),
        }
    });
    let (found, disk, lock): (_, Box<dyn Disk>, _) = match &site.folder {
        None => (None, Box::new(NoDisk), None),
        Some(folder) => {
            let lock = lock(folder)?;
            // What can't be read may hold promises: the router serves by what the others agree on, and does not vote.
            let found = match Folder::read(folder) {
                Ok(stands) => read(&stands).map_err(StorageError::Log),
                Err(error) => Err(StorageError::Unreadable(error)),
            };
            (Some(found), Box::new(Folder::new(folder)), lock)
        }
    };
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let start = Startup {
        stored: found,
        disk,
        compiler,
        directory: Box::new(MembershipDirectory(view.clone())),
        seed: rand::random(),
        unix_time_at_zero: wall.saturating_sub(clock.now()),
        handle: handle.clone(),
    };
    let consensus = Consensus::new(settings, start, clock.now());
    Ok(Some((consensus, Policy { handle, own, file, told: 0, _lock: lock })))
}

/// The member of this process.
pub(crate) struct Member {
    board: Arc<SharedView>,
    handle: EventLoopHandle<Machine>,
    policy: Option<Policy>,
    thread: JoinHandle<()>,
    site: FleetSite,
    peers: Peers,
    /// The book as it was last read, to see whether it has changed.
    book: Option<String>,
    kept: Arc<SavedState>,
    written: Instant,
    failing: bool,
    routers: u32,
}

fn file_of(folder: &Path) -> PathBuf {
    folder.join("fleet")
}

/// What the last life left; nothing if there is none, or if it can't be read, which is said.
fn read_kept(folder: Option<&Path>) -> SavedState {
    let Some(file) = folder.map(file_of) else { return SavedState::default() };
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return SavedState::default(),
        Err(e) => {
            tracing::warn!(file = %file.display(), why = %e, "what the last life left can't be read; starts without it");
            return SavedState::default();
        }
    };
    SavedState::decode(&text).unwrap_or_else(|why| {
        tracing::warn!(file = %file.display(), %why, "what the last life left is not taken; starts without it");
        SavedState::default()
    })
}

/// Writes the file so that it is never half there: another file, synced, takes its place, and the folder is synced.
fn write_kept(folder: &Path, kept: &SavedState) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let (file, new) = (file_of(folder), folder.join("fleet.new"));
    let mut out = std::fs::File::create(&new)?;
    out.write_all(kept.encode().as_bytes())?;
    out.sync_all()?;
    drop(out);
    std::fs::rename(&new, &file)?;
    std::fs::File::open(folder)?.sync_all()
}

fn peers(site: &FleetSite) -> Result<Peers, Failure> {
    site.peers().map_err(|faults| Failure::Input(lines(&faults)))
}

fn book_text(site: &FleetSite) -> Option<String> {
    site.book.as_ref().and_then(|file| std::fs::read_to_string(file).ok())
}

impl Member {
    /// Starts it, where the settings have a section `[fleet]`. What outlives the process is written before anybody hears of it.
    pub(crate) fn start(daemon: &Daemon, config: &Path, clock: Clock) -> Result<Option<Member>, Failure> {
        let Some(site) = daemon.fleet.clone() else { return Ok(None) };
        let run = |e: std::io::Error| Failure::Run(e.to_string());
        let peers = peers(&site)?;
        let settings = MembershipSettings {
            fleet: site.fleet.clone(),
            name: daemon.site.name.clone(),
            address: site.listen,
            routers: daemon.threads as u32,
            min_routers: daemon.site.decisions.router_count,
            max_datagram: site.datagram,
        };
        let board = Arc::new(SharedView::default());
        let before = read_kept(site.folder.as_deref());
        let machine =
            Membership::new(settings, peers.clone(), &before, rand::random(), clock.now(), board.clone());
        let (consensus, policy) = consensus(&site, &daemon.site.name, config, clock, &board)?.unzip();
        let machine = Machine::new(machine, consensus);
        let mut looped = EventLoop::new(clock).map_err(run)?;
        looped.on_log(|_, line| tracing::info!("{line}"));
        let node = looped.add(machine);
        let listen = |e: slipreel_event_loop::AddressError| Failure::Run(e.to_string());
        looped.listen_alone(node, site.listen).map_err(listen)?;
        looped.listen_datagrams(node, site.listen).map_err(listen)?;
        let handle = looped.handle();
        let mut member = Member {
            kept: board.saved_state(),
            book: book_text(&site),
            site,
            peers,
            written: Instant::now(),
            failing: false,
            routers: daemon.site.decisions.router_count,
            board,
            handle,
            policy,
            thread: std::thread::spawn(|| {}),
        };
        member.write();
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(move || {
            if let Err(why) = looped.run() {
                tracing::error!(%why, "the event loop of the fleet failed");
            }
        });
        member.thread = thread.map_err(run)?;
        tracing::info!(fleet = member.site.fleet, listen = %member.site.listen, "a member of a fleet");
        Ok(Some(member))
    }

    /// Hands the view to the routers of this process.
    pub(crate) fn introduce(&self, handles: &[EventLoopHandle<Gateway>]) {
        let board: Arc<Arc<SharedView>> = Arc::new(self.board.clone());
        handles.iter().for_each(|h| {
            h.send(Command::Message(MachineId(0), board.clone()));
            h.send(Command::Message(MachineId(0), Arc::new(RouterCount(self.board.view().router_count))));
            if let Some(policy) = &self.policy {
                let handle: Arc<Arc<PolicyHandle>> = Arc::new(policy.handle.clone());
                h.send(Command::Message(MachineId(0), handle));
            }
        });
    }

    /// The settings of a file that is read again, with the policy in force in place of its own; `None`: the file's own policy holds.
    pub(crate) fn with_policy_in_force(&self, config: &Path) -> Option<Result<Daemon, String>> {
        let policy = self.policy.as_ref()?;
        let shown = policy.handle.status();
        let text = match std::fs::read_to_string(config) {
            Ok(text) => text,
            Err(e) => return Some(Err(e.to_string())),
        };
        if shown.epoch == 0 {
            // Nothing is in force here yet, perhaps as this file did not go with it: it is tried with what the file says now.
            *policy.own.lock().unwrap_or_else(PoisonError::into_inner) = text;
            return None;
        }
        Some(match join(&text, &policy.file, &shown.text) {
            Ok(daemon) => {
                *policy.own.lock().unwrap_or_else(PoisonError::into_inner) = text;
                Ok(daemon)
            }
            Err(faults) => Err(lines(&faults)),
        })
    }

    /// Looks at what has changed: the view, what is to be kept, the book.
    pub(crate) fn look(&mut self, handles: &[EventLoopHandle<Gateway>]) {
        if let Some(policy) = &mut self.policy {
            policy.look();
        }
        let routers = self.board.view().router_count;
        if routers != std::mem::replace(&mut self.routers, routers) {
            tracing::info!(routers, "the fleet counts another number of routers");
            handles.iter().for_each(|h| {
                h.send(Command::Message(MachineId(0), Arc::new(RouterCount(routers))));
            });
        }
        let kept = self.board.saved_state();
        if kept != self.kept {
            // A new incarnation is written at once, as it is in use already; contacts may wait.
            if kept.incarnation != self.kept.incarnation || self.written.elapsed() >= WRITE {
                self.kept = kept;
                self.write();
            }
        }
        if self.book != book_text(&self.site) {
            self.book = book_text(&self.site);
            self.reload(None);
        }
    }

    fn write(&mut self) {
        let Some(folder) = &self.site.folder else { return };
        self.written = Instant::now();
        let result = write_kept(folder, &self.kept);
        if let (Err(why), false) = (&result, self.failing) {
            tracing::warn!(folder = %folder.display(), %why,
                "the folder can't be written: after a restart this router waits until its last life is known to be over");
        }
        self.failing = result.is_err();
    }

    /// Seeds and book are read again; `None`: the book alone. What can't be read changes nothing.
    pub(crate) fn reload(&mut self, site: Option<&FleetSite>) {
        let mut new = self.site.clone();
        if let Some(site) = site {
            let fixed = |s: &FleetSite| (s.fleet.clone(), s.listen, s.folder.clone(), s.datagram);
            if fixed(site) != fixed(&self.site) {
                tracing::warn!("fleet, listen, folder and datagram of [fleet] change with a restart only");
            }
            new.seeds.clone_from(&site.seeds);
            new.book.clone_from(&site.book);
        }
        match new.peers() {
            Ok(peers) => {
                self.site = new;
                if peers != self.peers {
                    self.peers = peers.clone();
                    self.handle.send(Command::Message(MachineId(0), Arc::new(Arc::new(peers))));
                }
            }
            Err(faults) => tracing::warn!(why = lines(&faults), "the book can't be read; it stays as it was"),
        }
    }

    /// Says goodbye.
    pub(crate) fn stop(&self) {
        self.handle.send(Command::Stop(MachineId(0)));
    }

    /// Waits until the goodbye is said.
    pub(crate) fn join(self) {
        let _ = self.thread.join();
    }
}
