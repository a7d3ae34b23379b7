//! A member as a machine: rounds, what it answers, how it joins and leaves, and what it shows.

use crate::name_conflict::{self, ConflictOutcome, NameClaim, NameConflict};
use crate::router_count::{self, LocalRouters};
use crate::state_sync::{StateSync, SyncProgress};
use crate::table::{heartbeat_of, size, MemberState, MemberTable, MergeOutcome};
use crate::view::{MemberStatus, MemberView, MembershipView};
use crate::SharedView;
use crate::{timing, SavedState};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_protocol::membership::{
    frame, DecodeError, Flags, Heartbeat, MemberRecord, Message, MAX_HEARTBEAT_LEN,
};
use slipreel_state_machine::{Input, ListenerId, Machine, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a member is handed at its start.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// The fleet's name.
    pub fleet: String,
    /// The member's.
    pub name: String,
    /// Where it can be reached, by datagrams and by TCP.
    pub address: SocketAddr,
    /// How many routers this process runs.
    pub routers: u32,
    /// Routers to reckon with until the fleet has been seen.
    pub min_routers: u32,
    /// The longest datagram that it sends, bytes.
    pub max_datagram: usize,
}

/// How others are found; handed in anew as [`Input::News`] of an `Arc<Peers>` when it changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Members to ask at a start, and now and then while they are not in the view.
    pub seeds: Vec<SocketAddr>,
    /// How this member reaches others by name; those not in it are reached where they say.
    pub address_table: BTreeMap<String, SocketAddr>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes, without those of the network's own heads.
    pub sent_bytes: u64,
    /// Messages taken.
    pub received: u64,
    /// Messages that can't be read.
    pub malformed: u64,
    /// Messages of another fleet.
    pub other_fleet: u64,
    /// Messages of another version.
    pub other_version: u64,
    /// StateSync over TCP.
    pub synchronisations: u64,
    /// Changes of the view.
    pub changes: u64,
    /// Lives that there was no room for.
    pub table_full: u64,
}

/// Log lines of one round; what is beyond is counted.
const LINES: usize = 24;
/// Lives asked for in one message.
const MAX_REQUESTED_IDS: usize = 32;
const DOOR: ListenerId = ListenerId(0);

/// A member of a fleet.
pub struct Membership {
    settings: MembershipSettings,
    peers: Peers,
    contacts: Vec<(String, SocketAddr)>,
    me: MemberRecord,
    round: u32,
    status: MemberStatus,
    table: MemberTable,
    conflict: Option<NameConflict>,
    /// When another process of this name was last told to yield.
    conflict_told: Option<Duration>,
    exchanges: StateSync,
    rng: Xoshiro256PlusPlus,
    board: Arc<SharedView>,
    counters: Counters,
    digest: u64,
    started: Duration,
    /// When the last input came: a gap means that this process did not run.
    seen: Duration,
    next_round: Duration,
    changed: Duration,
    disagreed: Duration,
    asked: Option<Duration>,
    logged: Option<Duration>,
    unlogged: u64,
    goodbyes: Option<u32>,
    stopping: bool,
    stopped: bool,
    shown: Option<(bool, MemberStatus, u64, u32, u64)>,
}

impl Membership {
    /// A member at its start. `kept` is what its last life left, `seed` has to be a new one at each start. What should outlive
    /// this life stands on the board from the beginning: it is to be written before the machine runs.
    pub fn new(
        settings: MembershipSettings, peers: Peers, saved_state: &SavedState, seed: u64, now: Duration,
        board: Arc<SharedView>,
    ) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let me = MemberRecord {
            name: settings.name.clone(),
            incarnation: saved_state.incarnation + 1,
            nonce: rng.next_u64(),
            address: settings.address,
            routers: settings.routers,
            has_left: false,
        };
        let min_routers = settings.min_routers.max(saved_state.router_count);
        let settings = MembershipSettings { min_routers, ..settings };
        let mut fleet = Membership {
            contacts: saved_state.contacts.iter().filter(|(name, _)| *name != me.name).cloned().collect(),
            settings,
            peers,
            me,
            round: 0,
            status: MemberStatus::Joining,
            table: MemberTable::default(),
            conflict: None,
            conflict_told: None,
            exchanges: StateSync::default(),
            rng,
            board,
            counters: Counters::default(),
            digest: 0,
            started: now,
            seen: now,
            next_round: now,
            changed: now,
            disagreed: now,
            asked: None,
            logged: None,
            unlogged: 0,
            goodbyes: None,
            stopping: false,
            stopped: false,
            shown: None,
        };
        fleet.digest = fleet.table.digest(&fleet.me);
        fleet.show(now);
        fleet.keep(now);
        fleet
    }

    /// What it knows of the others.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// How it stands.
    pub fn status(&self) -> MemberStatus {
        self.status
    }

    /// Its view as a hash; the same on all that believe the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What passed on the wire.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Its incarnation, which grows if it has to take its name back.
    pub fn incarnation(&self) -> u64 {
        self.me.incarnation
    }

    /// Routers to reckon with now.
    pub fn routers(&self, now: Duration) -> u32 {
        router_count::router_count(now, self.own(), &self.table)
    }

    /// Whether nothing has changed, and nobody told of another view, for [`timing::SETTLED_AFTER`].
    pub fn is_settled(&self, now: Duration) -> bool {
        self.status == MemberStatus::Ready && now >= self.changed.max(self.disagreed) + timing::SETTLED_AFTER
    }

    fn own(&self) -> LocalRouters {
        LocalRouters {
            routers: self.settings.routers,
            min_routers: self.settings.min_routers,
            since: self.started,
        }
    }

    fn lot(rng: &mut Xoshiro256PlusPlus, below: usize) -> usize {
        (rng.next_u64() % below.max(1) as u64) as usize
    }

    fn reach(&self, record: &MemberRecord) -> SocketAddr {
        self.peers.address_table.get(&record.name).copied().unwrap_or(record.address)
    }

    // ---- Sending -------------------------------------------------------------------------------

    fn message(&self, flags: Flags, records: Vec<MemberRecord>, heartbeats: Vec<Heartbeat>) -> Message {
        Message {
            fleet: self.settings.fleet.clone(),
            sender: self.me.clone(),
            round: self.round,
            digest: self.digest,
            flags,
            records,
            heartbeats,
            requested_ids: Vec::new(),
        }
    }

    /// Bytes that lists may take beside the head.
    fn room(&self) -> usize {
        let head = 9 + 1 + self.settings.fleet.len() + size(&self.me) + 5 + 8 + 1 + 3 * 2;
        self.settings.max_datagram.saturating_sub(head)
    }

    fn send(&mut self, to: SocketAddr, message: &Message, out: &mut Vec<Output>) {
        let bytes = message.encode();
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(Output::Datagram(DOOR, to, bytes));
    }

    fn tell(&mut self, now: Duration, to: SocketAddr, flags: Flags, out: &mut Vec<Output>) {
        let room = self.room();
        let rng = &mut self.rng;
        let (records, heartbeats) = self.table.select_gossip(now, room, |below| Self::lot(rng, below));
        let message = self.message(flags, records, heartbeats);
        self.send(to, &message, out);
    }

    /// All that is known, or as much as fits and word that there is more.
    fn tell_whole(&mut self, now: Duration, to: SocketAddr, out: &mut Vec<Output>) {
        let (records, heartbeats) = self.table.full_state(now);
        let need: usize = records.iter().map(|l| size(l) + MAX_HEARTBEAT_LEN).sum();
        if need > self.room() {
            return self.tell(now, to, Flags { exceeds_datagram: true, ..Flags::default() }, out);
        }
        let message = self.message(Flags { is_full_state: true, ..Flags::default() }, records, heartbeats);
        self.send(to, &message, out);
    }

    fn whole_frame(&self, now: Duration) -> Vec<u8> {
        let (records, heartbeats) = self.table.full_state(now);
        frame(&self.message(Flags { is_full_state: true, ..Flags::default() }, records, heartbeats))
    }

    /// Addresses of those who are not in the view and may be there: seeds, contacts, whom the book names, who is gone.
    fn absent(&self) -> Vec<SocketAddr> {
        let here = |name: &str| {
            name == self.me.name
                || self.table.get(name).is_some_and(|e| e.state != MemberState::Gone || e.record.has_left)
        };
        let gone = self.table.iter().filter(|e| e.state == MemberState::Gone && !e.record.has_left);
        let mut all: Vec<SocketAddr> = gone.map(|e| self.reach(&e.record)).collect();
        all.extend(self.peers.address_table.iter().filter(|(name, _)| !here(name)).map(|(_, to)| *to));
        let saved_state = self.contacts.iter().filter(|(name, _)| !here(name));
        all.extend(saved_state.map(|(name, to)| self.peers.address_table.get(name).copied().unwrap_or(*to)));
        let met = |to: &&SocketAddr| {
            self.table.iter().any(|e| {
                e.state != MemberState::Gone && (e.record.address == **to || self.reach(&e.record) == **to)
            })
        };
        all.extend(self.peers.seeds.iter().filter(|to| **to != self.me.address).filter(|to| !met(to)));
        all.sort_unstable();
        all.dedup();
        all
    }

    fn draw(&mut self, from: &mut Vec<SocketAddr>) -> Option<SocketAddr> {
        (!from.is_empty()).then(|| from.swap_remove(Self::lot(&mut self.rng, from.len())))
    }

    fn go_round(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.round += 1;
        let mut present: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|e| e.state != MemberState::Gone)
            .map(|e| self.reach(&e.record))
            .collect();
        let joining = matches!(self.status, MemberStatus::Joining | MemberStatus::Challenged);
        let flags = Flags { wants_full_state: joining, ..Flags::default() };
        for _ in 0..timing::GOSSIP_FANOUT {
            let Some(to) = self.draw(&mut present) else { break };
            self.tell(now, to, flags, out);
        }
        if self.round % timing::ROUNDS_PER_RECONNECT == 1 || joining {
            let mut absent = self.absent();
            let most = if joining { timing::GOSSIP_FANOUT } else { 1 };
            for _ in 0..most {
                let Some(to) = self.draw(&mut absent) else { break };
                self.tell(now, to, Flags { wants_full_state: true, ..Flags::default() }, out);
            }
        }
    }

    // ---- Taking --------------------------------------------------------------------------------

    fn refuse(&mut self, now: Duration, what: &str, out: &mut Vec<Output>) {
        self.unlogged += 1;
        if self.logged.is_none_or(|at| now >= at + timing::REJECTION_LOG_INTERVAL) {
            let times = std::mem::take(&mut self.unlogged);
            self.logged = Some(now);
            out.push(Output::Log(format!("fleet: not taken ({times} since the last line): {what}")));
        }
    }

    fn read(&mut self, now: Duration, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        match Message::decode(bytes) {
            Ok(message) => self.take(now, &message, true, out),
            Err(bad) => self.bad(now, &bad, from, out),
        }
    }

    fn bad(&mut self, now: Duration, bad: &DecodeError, from: SocketAddr, out: &mut Vec<Output>) {
        match bad {
            DecodeError::Version(_) => self.counters.other_version += 1,
            _ => self.counters.malformed += 1,
        }
        self.refuse(now, &format!("from {from}: {bad}"), out);
    }

    /// Takes a message. `answers`: by a datagram, if it asks for something.
    fn take(&mut self, now: Duration, message: &Message, answers: bool, out: &mut Vec<Output>) {
        if message.fleet != self.settings.fleet {
            self.counters.other_fleet += 1;
            let (name, fleet, own) = (&message.sender.name, &message.fleet, &self.settings.fleet);
            let what =
                format!("{name} at {} is of fleet {fleet:?}: expected {own:?}", message.sender.address);
            return self.refuse(now, &what, out);
        }
        if message.sender.nonce == self.me.nonce && message.sender.name == self.me.name {
            return; // One of its own, by a seed that leads back here.
        }
        self.counters.received += 1;
        let to = self.reach(&message.sender);
        if message.sender.name == self.me.name {
            return self.rivalled(now, &message.sender, message.round, Duration::ZERO, out);
        }
        let by = &message.sender.name;
        let age = |ms: u32| Duration::from_millis(u64::from(ms));
        let learnt = self.table.merge_record(now, &message.sender, message.round, Duration::ZERO, by);
        if learnt == MergeOutcome::Superseded {
            // It does not know that another process holds its name: told where it says that it is, as the book leads to the holder.
            let Some(entry) = self.table.get(by) else { return };
            let heartbeats = vec![heartbeat_of(now, entry)];
            let word = self.message(Flags::default(), vec![entry.record.clone()], heartbeats);
            return self.send(message.sender.address, &word, out);
        }
        self.counters.table_full += u64::from(learnt == MergeOutcome::TableFull);
        let rounds: BTreeMap<u64, &Heartbeat> = message.heartbeats.iter().map(|b| (b.record_id, b)).collect();
        for record in &message.records {
            let heartbeat = rounds.get(&record.id());
            if record.name == self.me.name {
                self.told_of_own_name(now, record, heartbeat.copied(), out);
            } else if let Some(heartbeat) = heartbeat {
                let learnt = self.table.merge_record(now, record, heartbeat.round, age(heartbeat.age_ms), by);
                self.counters.table_full += u64::from(learnt == MergeOutcome::TableFull);
            }
        }
        let mut requested_ids = Vec::new();
        for heartbeat in &message.heartbeats {
            if self.table.name_by_id(heartbeat.record_id).is_some() {
                self.table.merge_heartbeat(
                    now,
                    heartbeat.record_id,
                    heartbeat.round,
                    age(heartbeat.age_ms),
                    by,
                );
            } else if let Some(conflict) =
                self.conflict.as_ref().filter(|r| r.record.id() == heartbeat.record_id)
            {
                let record = conflict.record.clone();
                self.told_of_own_name(now, &record, Some(heartbeat), out);
            } else if requested_ids.len() < MAX_REQUESTED_IDS
                && heartbeat.record_id != self.me.id()
                && !self.table.has_tombstone(heartbeat.record_id)
            {
                requested_ids.push(heartbeat.record_id);
            }
        }
        self.settle_changes(now, out);
        if message.digest != self.digest {
            self.disagreed = now;
        }
        if message.flags.is_full_state && self.status == MemberStatus::Joining {
            self.status = MemberStatus::Ready;
        }
        if message.flags.exceeds_datagram {
            self.exchanges.ask(now, to, out);
        }
        if answers {
            self.answer(now, message, to, requested_ids, out);
        }
    }

    fn answer(
        &mut self, now: Duration, message: &Message, to: SocketAddr, requested_ids: Vec<u64>,
        out: &mut Vec<Output>,
    ) {
        if message.flags.wants_full_state {
            self.tell_whole(now, to, out);
        }
        if !message.requested_ids.is_empty() {
            let (records, heartbeats) = self.table.records_by_id(now, &message.requested_ids, self.room());
            if !records.is_empty() {
                let word = self.message(Flags::default(), records, heartbeats);
                self.send(to, &word, out);
            }
        }
        // Views that stay apart although nothing changes: somebody has missed what nobody tells any more.
        let apart = message.digest != self.digest && now >= self.changed + timing::SETTLED_AFTER;
        let wants_full_state = apart
            && self.status == MemberStatus::Ready
            && self.asked.is_none_or(|at| now >= at + timing::FULL_STATE_REQUEST_INTERVAL);
        if wants_full_state {
            self.asked = Some(now);
        }
        if wants_full_state || !requested_ids.is_empty() {
            let mut word =
                self.message(Flags { wants_full_state, ..Flags::default() }, Vec::new(), Vec::new());
            word.requested_ids = requested_ids;
            self.send(to, &word, out);
        }
    }

    // ---- One's own name --------------------------------------------------------------------------

    fn told_of_own_name(
        &mut self, now: Duration, record: &MemberRecord, heartbeat: Option<&Heartbeat>, out: &mut Vec<Output>,
    ) {
        if record.nonce == self.me.nonce && record.incarnation <= self.me.incarnation {
            let declared =
                record.has_left && record.incarnation == self.me.incarnation && self.goodbyes.is_none();
            if declared {
                // Somebody has declared this life gone, and it is not: it goes on as the next one.
                self.next_life(now, record.incarnation);
                out.push(Output::Log(format!(
                    "fleet: was declared gone and is not; goes on as incarnation {}",
                    self.me.incarnation
                )));
            }
            return;
        }
        match (heartbeat, record.has_left) {
            (Some(heartbeat), _) => {
                let age = Duration::from_millis(u64::from(heartbeat.age_ms));
                self.rivalled(now, record, heartbeat.round, age, out);
            }
            (None, true) => self.rivalled(now, record, 0, timing::GONE_MEMBER_RETENTION, out),
            (None, false) => {}
        }
    }

    fn next_life(&mut self, now: Duration, after: u64) {
        self.me.incarnation = after.saturating_add(1);
        self.changed = now;
        self.digest = self.table.digest(&self.me);
        self.keep(now);
    }

    fn rivalled(
        &mut self, now: Duration, record: &MemberRecord, round: u32, age: Duration, out: &mut Vec<Output>,
    ) {
        if matches!(self.status, MemberStatus::Yielded | MemberStatus::Left) {
            return;
        }
        let (own, told) = (NameClaim { record: &self.me, round: self.round }, NameClaim { record, round });
        match name_conflict::evaluate_claim(now, self.started, own, &mut self.conflict, told, age) {
            ConflictOutcome::Holds => {
                let (at, n) = (record.address, record.incarnation);
                let what = format!("another process of this name, incarnation {n} at {at}, is to yield");
                self.refuse(now, &what, out);
                // It hears of this one from nobody else: the others keep to the life that they knew first, and their book leads
                // to that one. Untold, both of two that started at about one time went on. Once a round, as two that
                // both hold the name for a while would answer each other without end.
                let due = self.conflict_told.is_none_or(|told| now >= told + timing::ROUND_INTERVAL);
                if self.status == MemberStatus::Ready && !record.has_left && at != self.me.address && due {
                    self.conflict_told = Some(now);
                    let me = Heartbeat { record_id: self.me.id(), round: self.round, age_ms: 0 };
                    let word = self.message(Flags::default(), vec![self.me.clone()], vec![me]);
                    self.send(at, &word, out);
                }
            }
            ConflictOutcome::Challenged if self.status != MemberStatus::Challenged => {
                self.status = MemberStatus::Challenged;
                out.push(Output::Log(format!(
                    "fleet: another life of this name is known, incarnation {} at {}; not ready until it is \
                     known whether that runs",
                    record.incarnation, record.address
                )));
            }
            ConflictOutcome::Challenged => {}
            ConflictOutcome::Yields => {
                self.status = MemberStatus::Yielded;
                out.push(Output::Log(format!(
                    "fleet: another process of this name holds it, incarnation {} at {}; this one, incarnation {}, \
                     yields and is not ready any more: end one of the two",
                    record.incarnation, record.address, self.me.incarnation
                )));
            }
        }
        self.show(now);
    }

    /// A rival that has been silent for long was a predecessor.
    fn look_at_rival(&mut self, now: Duration, out: &mut Vec<Output>) {
        let members = self.table.present_count() + 1;
        let over = self.conflict.take_if(|r| name_conflict::is_resolved(now, r, members));
        if let Some(conflict) = over.filter(|_| self.status == MemberStatus::Challenged) {
            self.next_life(now, conflict.record.incarnation);
            self.status = MemberStatus::Ready;
            out.push(Output::Log(format!(
                "fleet: incarnation {} of this name is silent, so it was this router's last life; goes on as incarnation {}",
                conflict.record.incarnation, self.me.incarnation
            )));
        }
    }

    // ---- Rounds --------------------------------------------------------------------------------

    /// Notes that this process did not run for a while: silence of others meanwhile says nothing.
    fn mind_the_gap(&mut self, now: Duration, out: &mut Vec<Output>) {
        let gap = now.saturating_sub(self.seen);
        self.seen = now;
        if gap >= timing::SUSPENDED_AFTER {
            self.table.discount_suspension(gap);
            // Nor does it prove that a rival is dead: a challenged process that was stopped would take the name from one that runs.
            if let Some(conflict) = &mut self.conflict {
                conflict.last_heard += gap;
            }
            self.changed = now;
            out.push(Output::Log(format!("fleet: did not run for {} ms", gap.as_millis())));
        }
    }

    fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.exchanges.late(now, out);
        if now < self.next_round || self.stopped {
            return;
        }
        let part = 900 + Self::lot(&mut self.rng, 201) as u32;
        self.next_round = now + timing::ROUND_INTERVAL * part / 1000;
        if self.board.leave_requested() {
            self.leave(out);
        }
        for name in self.board.take_forget_requests() {
            let known = self.table.declare_left(&name, &self.me.name);
            let what = if known { "declared gone by an operator" } else { "not known, so not declared gone" };
            out.push(Output::Log(format!("fleet: member={name} {what}")));
        }
        if self.status == MemberStatus::Yielded {
            if self.stopping {
                self.stopped = true;
                out.push(Output::Stopped);
            }
            return self.show(now);
        }
        let silent_outweigh_present = router_count::silent_outweigh_present(self.own(), &self.table);
        self.table.update_states(now, |_| silent_outweigh_present);
        self.look_at_rival(now, out);
        let nobody = self.absent().is_empty() && self.table.is_empty();
        if self.status == MemberStatus::Joining && (nobody || now >= self.started + timing::JOIN_TIMEOUT) {
            self.status = MemberStatus::Ready;
            if !nobody {
                out.push(Output::Log(
                    "fleet: no seed and no contact answers; goes on alone and keeps asking".into(),
                ));
            }
        }
        self.settle_changes(now, out);
        if self.goodbyes == Some(0) {
            if self.stopping {
                self.stopped = true;
                out.push(Output::Stopped);
            }
            return self.show(now);
        }
        self.go_round(now, out);
        if let Some(left) = &mut self.goodbyes {
            *left -= 1;
        }
        self.show(now);
    }

    /// Says goodbye: to all at once, as far as a few datagrams go, then through the next rounds.
    fn leave(&mut self, out: &mut Vec<Output>) {
        if self.goodbyes.is_some() || self.status == MemberStatus::Yielded {
            return;
        }
        self.me.has_left = true;
        self.status = MemberStatus::Left;
        self.goodbyes = Some(timing::LEAVE_ROUNDS);
        let present = self.table.iter().filter(|e| e.state != MemberState::Gone);
        let to: Vec<SocketAddr> = present.map(|e| self.reach(&e.record)).take(GOODBYES_AT_ONCE).collect();
        let word = self.message(Flags::default(), Vec::new(), Vec::new());
        to.into_iter().for_each(|to| self.send(to, &word, out));
        out.push(Output::Log("fleet: said goodbye".into()));
    }

    // ---- Showing -------------------------------------------------------------------------------

    /// Logs what has changed in the table, and works out what follows.
    fn settle_changes(&mut self, now: Duration, out: &mut Vec<Output>) {
        let changes = self.table.take_changes();
        if changes.is_empty() {
            return;
        }
        self.counters.changes += changes.len() as u64;
        for change in changes.iter().take(LINES) {
            let from = change.from.map_or_else(|| "unknown".to_owned(), |s| s.to_string());
            out.push(Output::Log(format!(
                "fleet: member={} incarnation={} from={from} to={} why=\"{}\"",
                change.name, change.incarnation, change.to, change.why
            )));
        }
        if changes.len() > LINES {
            out.push(Output::Log(format!("fleet: and {} changes more", changes.len() - LINES)));
        }
        let digest = self.table.digest(&self.me);
        if digest != self.digest {
            (self.digest, self.changed) = (digest, now);
            self.keep(now);
        }
    }

    /// Puts on the board what should outlive this process.
    fn keep(&self, now: Duration) {
        let present = self.table.iter().filter(|e| e.state != MemberState::Gone);
        let mut contacts: Vec<(String, SocketAddr)> = present
            .map(|e| (e.record.name.clone(), e.record.address))
            .take(crate::saved_state::CONTACTS)
            .collect();
        // Who is alone has nobody new to remember, and may be alone because of a cut.
        for old in &self.contacts {
            if contacts.len() < crate::saved_state::CONTACTS
                && contacts.iter().all(|(name, _)| *name != old.0)
            {
                contacts.push(old.clone());
            }
        }
        contacts.sort();
        let routers = router_count::router_count(now, self.own(), &self.table);
        self.board.publish_saved_state(SavedState {
            incarnation: self.me.incarnation,
            router_count: routers,
            contacts,
        });
    }

    fn show(&mut self, now: Duration) {
        let routers = self.routers(now);
        let state = (self.is_settled(now), self.status, self.digest, routers, self.counters.changes);
        // Counters alone are shown once in five seconds.
        if self.shown == Some(state) && self.round % 25 != 0 {
            return;
        }
        if self.shown.is_some_and(|(.., known, _)| known != routers) {
            self.keep(now);
        }
        self.shown = Some(state);
        let other = |e: &crate::table::MemberEntry| MemberView {
            name: e.record.name.clone(),
            address: self.reach(&e.record),
            incarnation: e.record.incarnation,
            state: e.state,
            since: e.since,
            has_left: e.record.has_left,
        };
        let own = MemberView {
            name: self.me.name.clone(),
            address: self.me.address,
            incarnation: self.me.incarnation,
            state: if self.me.has_left { MemberState::Gone } else { MemberState::Alive },
            since: self.started,
            has_left: self.me.has_left,
        };
        let mut members: Vec<MemberView> = self.table.iter().map(other).chain([own]).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        self.board.publish_view(MembershipView {
            fleet: self.settings.fleet.clone(),
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            status: self.status,
            is_settled: state.0,
            digest: self.digest,
            router_count: routers,
            members,
            counters: self.counters,
        });
    }
}

/// Members that are told of a goodbye at once; the others hear of it through them.
const GOODBYES_AT_ONCE: usize = 32;

impl Machine for Membership {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if self.stopped {
            return;
        }
        self.mind_the_gap(now, out);
        let quiet = matches!(self.status, MemberStatus::Yielded);
        match input {
            Input::Datagram(_, from, bytes) if !quiet => self.read(now, from, bytes, out),
            Input::Accepted(conn, _) if quiet => out.push(Output::Abort(conn)),
            Input::Accepted(conn, _) => self.exchanges.accept(now, conn, out),
            Input::Connected(conn) => out.push(Output::Write(conn, self.whole_frame(now))),
            Input::Data(conn, bytes) => match self.exchanges.data(conn, bytes, out) {
                SyncProgress::Part => {}
                SyncProgress::DecodeError(bad) => {
                    self.bad(now, &bad, SocketAddr::from(([0, 0, 0, 0], 0)), out)
                }
                SyncProgress::Whole { message, answer } => {
                    self.counters.synchronisations += 1;
                    if answer {
                        out.push(Output::Write(conn, self.whole_frame(now)));
                        out.push(Output::CloseWhenSent(conn));
                    }
                    if !quiet {
                        self.take(now, &message, false, out);
                    }
                }
            },
            Input::Eof(conn) => self.exchanges.eof(conn, out),
            Input::Lost(conn, _) => self.exchanges.lost(conn),
            Input::Stop => {
                self.stopping = true;
                self.leave(out);
            }
            Input::OwnerMessage(news) => {
                if let Some(peers) = news.downcast_ref::<Arc<Peers>>() {
                    self.peers = (**peers).clone();
                    out.push(Output::Log(format!(
                        "fleet: {} seeds and a book of {}",
                        self.peers.seeds.len(),
                        self.peers.address_table.len()
                    )));
                }
            }
            Input::Datagram(..)
            | Input::Sent(..)
            | Input::PeerClosedWhilePaused(_)
            | Input::DescriptorsExhausted(_)
            | Input::Wake => {}
        }
        self.wake(now, out);
    }

    fn wake_at(&self) -> Option<Duration> {
        // StateSync that are late are ended with the round after their time.
        (!self.stopped).then_some(self.next_round)
    }
}
