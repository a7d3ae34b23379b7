//! `serve` as a member of a fleet. Membership and consensus run on a thread of their own; this module starts
//! it, saves its state and forwards changes to the routers of the process.

use crate::disk::Folder;
use crate::{lines, Failure};
use slipreel_consensus::storage::{read, StorageError, StoredState};
use slipreel_consensus::{
    CompiledPolicy, Consensus, Disk, InvalidPolicy, Member as Machine, MembershipDirectory, PolicyCompiler,
    PolicyHandle, Startup,
};
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle, MachineId};
use slipreel_gateway::{Gateway, RouterCount};
use slipreel_membership::{Membership, MembershipSettings, Peers, SavedState, SharedView};
use slipreel_settings::{changes, policy_of, settings_with_policy, DaemonSettings, FleetSettings};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

/// Least time between two writes of the saved state, unless the incarnation changes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// This process's part in the agreement on the fleet's policy.
struct FleetPolicy {
    handle: Arc<PolicyHandle>,
    /// The last valid text of the router's own settings; a policy is compiled together with them.
    own_settings: Arc<Mutex<String>>,
    /// The name of the settings file, for messages.
    file: String,
    /// The last epoch whose differences from the file were logged.
    logged_epoch: u64,
    /// The lock of the folder, held for as long as the process runs.
    _lock: Option<std::fs::File>,
}

impl FleetPolicy {
    fn own_settings(&self) -> String {
        self.own_settings.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Logs which keys of this router's file differ from the policy in force, once for each epoch.
    fn log_differences(&mut self) {
        let status = self.handle.status();
        if status.epoch == self.logged_epoch {
            return;
        }
        self.logged_epoch = status.epoch;
        let Ok(own) = policy_of(&self.own_settings(), &self.file) else { return };
        for change in changes(&own.text, &status.text).unwrap_or_default().iter().take(MAX_LOGGED_DIFFERENCES)
        {
            tracing::info!(
                epoch = status.epoch,
                "the policy in force, not this router's file, holds: {change}"
            );
        }
    }
}

/// Most lines that are logged about differences between the file and the policy in force.
const MAX_LOGGED_DIFFERENCES: usize = 16;

/// The disk of a router without a folder: it does not vote, and nothing is stored.
struct NoDisk;

impl Disk for NoDisk {
    fn append(&mut self, _: &[u8], _: bool) -> std::io::Result<()> {
        Ok(())
    }
    fn replace(&mut self, _: &[u8]) -> std::io::Result<()> {
        Ok(())
    }
}

/// Locks the folder; `None`: it can't be written. The router then serves but does not vote.
fn lock_folder(folder: &Path) -> Result<Option<std::fs::File>, Failure> {
    match Folder::lock(folder) {
        Ok(lock) => Ok(Some(lock)),
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => Err(Failure::Run(format!(
            "[fleet] folder: {}: another process uses it: expected a folder of this router's own",
            folder.display()
        ))),
        Err(_) => Ok(None),
    }
}

/// Compiles policies together with this router's own settings.
fn compiler(own_settings: Arc<Mutex<String>>, file: String) -> Box<dyn PolicyCompiler> {
    Box::new(move |policy: &str| {
        let own = own_settings.lock().unwrap_or_else(PoisonError::into_inner).clone();
        match settings_with_policy(&own, &file, policy) {
            Ok(daemon) => Ok(Arc::new(daemon.gateway) as CompiledPolicy),
            Err(faults) => Err(InvalidPolicy::new(lines(&faults))),
        }
    })
}

/// The stored state of a voter and its disk; nothing is stored without a folder.
struct DurableState {
    stored: Option<Result<StoredState, StorageError>>,
    disk: Box<dyn Disk>,
    lock: Option<std::fs::File>,
}

impl DurableState {
    fn open(folder: Option<&Path>) -> Result<DurableState, Failure> {
        let Some(folder) = folder else {
            return Ok(DurableState { stored: None, disk: Box::new(NoDisk), lock: None });
        };
        let lock = lock_folder(folder)?;
        // A file that can't be read may hold promises: the router follows the decisions of the others, and
        // does not vote.
        let stored = match Folder::read(folder) {
            Ok(bytes) => read(&bytes).map_err(StorageError::Log),
            Err(error) => Err(StorageError::Unreadable(error)),
        };
        Ok(DurableState { stored: Some(stored), disk: Box::new(Folder::new(folder)), lock })
    }
}

/// Consensus on the policy, if the settings name founders.
fn consensus(
    site: &FleetSettings, name: &str, config: &Path, clock: Clock, view: &Arc<SharedView>,
) -> Result<Option<(Consensus, FleetPolicy)>, Failure> {
    if site.founders.is_empty() {
        return Ok(None);
    }
    let file = config.display().to_string();
    let text = std::fs::read_to_string(config).map_err(|e| Failure::Input(format!("{file}: {e}")))?;
    let policy = policy_of(&text, &file).map_err(|faults| Failure::Input(lines(&faults)))?;
    let own_settings = Arc::new(Mutex::new(text));
    let handle = Arc::new(PolicyHandle::default());
    let consensus_config = slipreel_consensus::ConsensusConfig {
        fleet: site.fleet.clone(),
        name: name.to_owned(),
        founders: site.founders.clone(),
        policy: policy.text,
        partition_mode: site.partition_mode,
        max_datagram_len: site.max_datagram,
    };
    let DurableState { stored, disk, lock } = DurableState::open(site.folder.as_deref())?;
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let startup = Startup {
        stored,
        disk,
        compiler: compiler(own_settings.clone(), file.clone()),
        directory: Box::new(MembershipDirectory(view.clone())),
        seed: rand::random(),
        unix_time_at_zero: unix_time.saturating_sub(clock.now()),
        handle: handle.clone(),
    };
    let consensus = Consensus::new(consensus_config, startup, clock.now());
    Ok(Some((consensus, FleetPolicy { handle, own_settings, file, logged_epoch: 0, _lock: lock })))
}

/// This process as a member of the fleet.
pub(crate) struct Member {
    view: Arc<SharedView>,
    handle: EventLoopHandle<Machine>,
    policy: Option<FleetPolicy>,
    thread: JoinHandle<()>,
    site: FleetSettings,
    peers: Peers,
    /// The address table as it was last read, to detect changes.
    address_table_text: Option<String>,
    saved_state: Arc<SavedState>,
    last_write: Instant,
    write_failed: bool,
    router_count: u32,
}

fn saved_state_file(folder: &Path) -> PathBuf {
    folder.join("fleet")
}

/// Reads the state that the previous process saved. If there is none, or if it can't be read, which is
/// logged, the default is used.
fn read_saved_state(folder: Option<&Path>) -> SavedState {
    let Some(file) = folder.map(saved_state_file) else { return SavedState::default() };
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return SavedState::default(),
        Err(e) => {
            tracing::warn!(file = %file.display(), why = %e, "the saved state can't be read; starting without it");
            return SavedState::default();
        }
    };
    SavedState::decode(&text).unwrap_or_else(|why| {
        tracing::warn!(file = %file.display(), %why, "the saved state is invalid; starting without it");
        SavedState::default()
    })
}

/// Replaces the file atomically: a new file is written, synced and renamed, and the folder is synced.
fn write_saved_state(folder: &Path, state: &SavedState) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let file = saved_state_file(folder);
    let new = folder.join("fleet.new");
    let mut out = std::fs::File::create(&new)?;
    out.write_all(state.encode().as_bytes())?;
    out.sync_all()?;
    drop(out);
    std::fs::rename(&new, &file)?;
    std::fs::File::open(folder)?.sync_all()
}

/// Whether settings differ that take effect only at a start.
fn fixed_settings_differ(one: &FleetSettings, other: &FleetSettings) -> bool {
    one.fleet != other.fleet
        || one.listen != other.listen
        || one.folder != other.folder
        || one.max_datagram != other.max_datagram
}

fn peers(site: &FleetSettings) -> Result<Peers, Failure> {
    site.peers().map_err(|faults| Failure::Input(lines(&faults)))
}

fn address_table_text(site: &FleetSettings) -> Option<String> {
    site.address_table_file.as_ref().and_then(|file| std::fs::read_to_string(file).ok())
}

fn membership_settings(daemon: &DaemonSettings, site: &FleetSettings) -> MembershipSettings {
    MembershipSettings {
        fleet: site.fleet.clone(),
        name: daemon.gateway.name.clone(),
        address: site.listen,
        routers: daemon.threads as u32,
        min_routers: daemon.gateway.decisions.router_count,
        max_datagram: site.max_datagram,
    }
}

/// An event loop with this state machine, which listens at `address`.
fn event_loop(machine: Machine, clock: Clock, address: SocketAddr) -> Result<EventLoop<Machine>, Failure> {
    let mut event_loop = EventLoop::new(clock).map_err(|e| Failure::Run(e.to_string()))?;
    event_loop.on_log(|_, line| tracing::info!("{line}"));
    let machine = event_loop.add(machine);
    event_loop.listen_alone(machine, address).map_err(|e| Failure::Run(e.to_string()))?;
    event_loop.listen_datagrams(machine, address).map_err(|e| Failure::Run(e.to_string()))?;
    Ok(event_loop)
}

fn run_on_thread(mut event_loop: EventLoop<Machine>) -> Result<JoinHandle<()>, Failure> {
    let run = move || {
        if let Err(why) = event_loop.run() {
            tracing::error!(%why, "the event loop of the fleet failed");
        }
    };
    std::thread::Builder::new().name("fleet".into()).spawn(run).map_err(|e| Failure::Run(e.to_string()))
}

impl Member {
    /// Starts the member, if the settings have a section `[fleet]`. State that must survive the process is
    /// written before it is sent.
    pub(crate) fn start(
        daemon: &DaemonSettings, config: &Path, clock: Clock,
    ) -> Result<Option<Member>, Failure> {
        let Some(site) = daemon.fleet.clone() else { return Ok(None) };
        let peers = peers(&site)?;
        let view = Arc::new(SharedView::default());
        let settings = membership_settings(daemon, &site);
        let saved = read_saved_state(site.folder.as_deref());
        let membership =
            Membership::new(settings, peers.clone(), &saved, rand::random(), clock.now(), view.clone());
        let (consensus, policy) = consensus(&site, &daemon.gateway.name, config, clock, &view)?.unzip();
        let event_loop = event_loop(Machine::new(membership, consensus), clock, site.listen)?;
        let mut member = Member {
            saved_state: view.saved_state(),
            address_table_text: address_table_text(&site),
            site,
            peers,
            last_write: Instant::now(),
            write_failed: false,
            router_count: daemon.gateway.decisions.router_count,
            view,
            handle: event_loop.handle(),
            policy,
            thread: std::thread::spawn(|| {}),
        };
        member.write();
        member.thread = run_on_thread(event_loop)?;
        tracing::info!(fleet = member.site.fleet, listen = %member.site.listen, "started as a member of a fleet");
        Ok(Some(member))
    }

    /// Shares the view and the policy with the routers of this process.
    pub(crate) fn share_with(&self, handles: &[EventLoopHandle<Gateway>]) {
        let view: Arc<Arc<SharedView>> = Arc::new(self.view.clone());
        for router in handles {
            router.send(Command::Message(MachineId(0), view.clone()));
            router.send(Command::Message(MachineId(0), Arc::new(RouterCount(self.view.view().router_count))));
            if let Some(policy) = &self.policy {
                let policy_handle: Arc<Arc<PolicyHandle>> = Arc::new(policy.handle.clone());
                router.send(Command::Message(MachineId(0), policy_handle));
            }
        }
    }

    /// The settings of a reloaded file, with the policy in force instead of the file's policy; `None`: no
    /// policy is in force here, and the policy of the file is used.
    pub(crate) fn with_policy_in_force(&self, config: &Path) -> Option<Result<DaemonSettings, String>> {
        let policy = self.policy.as_ref()?;
        let status = policy.handle.status();
        let text = match std::fs::read_to_string(config) {
            Ok(text) => text,
            Err(e) => return Some(Err(e.to_string())),
        };
        if status.epoch == 0 {
            // No policy is in force here yet, perhaps because it did not compile with this file. The next
            // attempt compiles it with the new content.
            *policy.own_settings.lock().unwrap_or_else(PoisonError::into_inner) = text;
            return None;
        }
        Some(match settings_with_policy(&text, &policy.file, &status.text) {
            Ok(daemon) => {
                *policy.own_settings.lock().unwrap_or_else(PoisonError::into_inner) = text;
                Ok(daemon)
            }
            Err(faults) => Err(lines(&faults)),
        })
    }

    /// Handles changes of the policy, the view, the saved state and the address table.
    pub(crate) fn poll_changes(&mut self, handles: &[EventLoopHandle<Gateway>]) {
        if let Some(policy) = &mut self.policy {
            policy.log_differences();
        }
        let router_count = self.view.view().router_count;
        if router_count != std::mem::replace(&mut self.router_count, router_count) {
            tracing::info!(routers = router_count, "the number of routers in the fleet has changed");
            for router in handles {
                router.send(Command::Message(MachineId(0), Arc::new(RouterCount(router_count))));
            }
        }
        let state = self.view.saved_state();
        if state != self.saved_state {
            // A new incarnation is written at once, because it is in use already; changed contacts may wait.
            let is_new_incarnation = state.incarnation != self.saved_state.incarnation;
            if is_new_incarnation || self.last_write.elapsed() >= MIN_WRITE_INTERVAL {
                self.saved_state = state;
                self.write();
            }
        }
        if self.address_table_text != address_table_text(&self.site) {
            self.address_table_text = address_table_text(&self.site);
            self.reload(None);
        }
    }

    fn write(&mut self) {
        let Some(folder) = &self.site.folder else { return };
        self.last_write = Instant::now();
        let result = write_saved_state(folder, &self.saved_state);
        if let (Err(why), false) = (&result, self.write_failed) {
            tracing::warn!(folder = %folder.display(), %why,
                "the folder can't be written: after a restart this router waits until its previous process is known to have ended");
        }
        self.write_failed = result.is_err();
    }

    /// Reloads the seeds and the address table; `None`: only the address table. Input that can't be read
    /// changes nothing.
    pub(crate) fn reload(&mut self, site: Option<&FleetSettings>) {
        let mut new_site = self.site.clone();
        if let Some(site) = site {
            if fixed_settings_differ(site, &self.site) {
                tracing::warn!("fleet, listen, folder and datagram of [fleet] change with a restart only");
            }
            new_site.seeds.clone_from(&site.seeds);
            new_site.address_table_file.clone_from(&site.address_table_file);
        }
        match new_site.peers() {
            Ok(peers) => {
                self.site = new_site;
                if peers != self.peers {
                    self.peers = peers.clone();
                    self.handle.send(Command::Message(MachineId(0), Arc::new(Arc::new(peers))));
                }
            }
            Err(faults) => tracing::warn!(
                why = lines(&faults),
                "the address table (book) can't be read; it stays as it was"
            ),
        }
    }

    /// Announces to the fleet that this member leaves.
    pub(crate) fn stop(&self) {
        self.handle.send(Command::Stop(MachineId(0)));
    }

    /// Waits until the announcement is sent.
    pub(crate) fn join(self) {
        let _ = self.thread.join();
    }
}
