//! Timers: a hierarchical wheel (Varghese and Lauck, 1987) of 1 ms ticks, six levels of 64 slots.
//!
//! Setting, cancelling and firing a timer costs the same whatever the number of timers. Timers that are due
//! in the same tick fire in the order in which they were set, so that the same inputs give the same outputs.

use std::collections::VecDeque;
use std::time::Duration;

const LEVELS: usize = 6;
const BITS_PER_LEVEL: u32 = 6;
const SLOTS_PER_LEVEL: usize = 1 << BITS_PER_LEVEL;
/// The last tick of the wheel, after two years. Later timers are set to it.
const MAX_TICK: u64 = (1 << (BITS_PER_LEVEL * LEVELS as u32)) - 1;
const INVALID_INDEX: u32 = u32::MAX;

/// Identifies a timer, so that it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    index: u32,
    sequence: u64,
}

struct Entry<T> {
    /// The tick at which the timer fires.
    tick: u64,
    /// Numbers all timers in the order in which they were set. Distinguishes the timer from earlier ones in
    /// this entry.
    sequence: u64,
    /// `None`: the timer has fired or was cancelled.
    item: Option<T>,
}

/// Timers that carry items.
pub struct TimerWheel<T> {
    /// The current tick.
    now: u64,
    /// The indices of the entries in each slot, level by level.
    slots: Vec<Vec<u32>>,
    /// The slots of each level that are not empty, one bit per slot.
    occupied: [u64; LEVELS],
    entries: Vec<Entry<T>>,
    /// The indices of unused entries.
    free: Vec<u32>,
    /// The indices of the entries that are due, in the order in which they fire.
    due: VecDeque<u32>,
    /// How many timers are set and have not fired.
    pending: usize,
    last_sequence: u64,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        TimerWheel {
            now: 0,
            slots: (0..LEVELS * SLOTS_PER_LEVEL).map(|_| Vec::new()).collect(),
            occupied: [0; LEVELS],
            entries: Vec::new(),
            free: Vec::new(),
            due: VecDeque::new(),
            pending: 0,
            last_sequence: 0,
        }
    }
}

impl<T> TimerWheel<T> {
    /// The number of timers that are set and have not fired.
    pub fn len(&self) -> usize {
        self.pending
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.pending == 0
    }

    /// Sets a timer that fires at the first tick that is not before `at`.
    pub fn set(&mut self, at: Duration, item: T) -> TimerKey {
        // Rounded up from nanoseconds: for a timer that fires a nanosecond early, the owner finds that it is
        // not due yet, sets it again for the same tick, and so on in an endless loop.
        let tick = u64::try_from(at.as_nanos().div_ceil(1_000_000)).unwrap_or(MAX_TICK).min(MAX_TICK);
        self.last_sequence += 1;
        let entry = Entry { tick, sequence: self.last_sequence, item: Some(item) };
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(Entry { tick: 0, sequence: 0, item: None });
            self.entries.len() as u32 - 1
        });
        debug_assert!(index != INVALID_INDEX);
        self.entries[index as usize] = entry;
        self.pending += 1;
        self.place(index);
        TimerKey { index, sequence: self.last_sequence }
    }

    /// Cancels a timer. Returns its item if it has not fired.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        // The index stays in its slot and is freed when the slot expires.
        let entry =
            self.entries.get_mut(key.index as usize).filter(|entry| entry.sequence == key.sequence)?;
        let item = entry.item.take()?;
        self.pending -= 1;
        Some(item)
    }

    /// When to call [`TimerWheel::pop`] next: a time that is not after the next timer. `None` if no timer is
    /// set.
    pub fn next_at(&self) -> Option<Duration> {
        if self.pending == 0 {
            return None;
        }
        if !self.due.is_empty() {
            return Some(Duration::from_millis(self.now));
        }
        self.next_slot().map(|(tick, _)| Duration::from_millis(tick))
    }

    /// Removes the next timer that is due at `now`, earliest first, and returns its item.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        loop {
            while let Some(index) = self.due.pop_front() {
                self.free.push(index);
                if let Some(item) = self.entries[index as usize].item.take() {
                    self.pending -= 1;
                    return Some(item);
                }
            }
            let target = now.as_millis() as u64;
            match self.next_slot() {
                Some((tick, slot)) if tick <= target => {
                    self.now = tick;
                    self.expire_slot(slot);
                }
                _ => {
                    self.now = self.now.max(target);
                    return None;
                }
            }
        }
    }

    /// Puts an entry into its slot as of the current tick, or into the due ones. The level is that of the
    /// highest group of bits in which the entry's tick differs from the current one, so that later slots of a
    /// level are later ticks.
    fn place(&mut self, index: u32) {
        let tick = self.entries[index as usize].tick;
        if tick <= self.now {
            self.due.push_back(index);
            return;
        }
        let level = (tick ^ self.now).ilog2() / BITS_PER_LEVEL;
        let slot = (tick >> (BITS_PER_LEVEL * level)) as usize % SLOTS_PER_LEVEL;
        self.slots[level as usize * SLOTS_PER_LEVEL + slot].push(index);
        self.occupied[level as usize] |= 1 << slot;
    }

    /// The tick at which the first slot that is not empty expires, and the slot.
    fn next_slot(&self) -> Option<(u64, usize)> {
        (0..LEVELS).find_map(|level| {
            let shift = BITS_PER_LEVEL * level as u32;
            let slot = self.occupied[level].trailing_zeros() as usize;
            let rotation = self.now >> (shift + BITS_PER_LEVEL) << (shift + BITS_PER_LEVEL);
            (slot < SLOTS_PER_LEVEL)
                .then(|| (rotation | (slot as u64) << shift, level * SLOTS_PER_LEVEL + slot))
        })
    }

    /// Moves the entries of an expired slot to lower levels or to the due ones.
    fn expire_slot(&mut self, slot: usize) {
        self.occupied[slot / SLOTS_PER_LEVEL] &= !(1 << (slot % SLOTS_PER_LEVEL));
        let mut indices = std::mem::take(&mut self.slots[slot]);
        indices.sort_unstable_by_key(|&index| self.entries[index as usize].sequence);
        for index in indices.drain(..) {
            if self.entries[index as usize].item.is_some() {
                self.place(index);
            } else {
                self.free.push(index);
            }
        }
        // The slot keeps its allocation for later timers.
        self.slots[slot] = indices;
    }
}

#[cfg(test)]
mod tests;
