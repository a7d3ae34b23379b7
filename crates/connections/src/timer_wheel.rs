//! Timers: a hierarchical wheel (Varghese and Lauck, 1987) of 1 ms ticks, six levels of 64 slots.
//!
//! Setting, cancelling and firing cost the same whatever the number of timers. Timers due in one tick fire in
//! the order in which they were set, so that the same inputs give the same outputs.

use std::collections::VecDeque;
use std::time::Duration;

const LEVELS: usize = 6;
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// Later timers than this are held at it: two years.
const FARTHEST: u64 = (1 << (BITS * LEVELS as u32)) - 1;
const NONE: u32 = u32::MAX;

/// Names a timer that was set, so that it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    index: u32,
    set: u64,
}

struct Entry<T> {
    at: u64,
    /// Number of this setting, also its place in the order; tells a key of an earlier use of the entry.
    set: u64,
    item: Option<T>,
}

/// Timers that carry items.
pub struct TimerWheel<T> {
    now: u64,
    slots: Vec<Vec<u32>>,
    occupied: [u64; LEVELS],
    entries: Vec<Entry<T>>,
    free: Vec<u32>,
    due: VecDeque<u32>,
    live: usize,
    sets: u64,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        TimerWheel {
            now: 0,
            slots: (0..LEVELS * SLOTS).map(|_| Vec::new()).collect(),
            occupied: [0; LEVELS],
            entries: Vec::new(),
            free: Vec::new(),
            due: VecDeque::new(),
            live: 0,
            sets: 0,
        }
    }
}

impl<T> TimerWheel<T> {
    /// Timers that are set and have not fired.
    pub fn len(&self) -> usize {
        self.live
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.live == 0
    }

    /// Sets a timer for `at`; it fires at the first tick that is not before.
    pub fn set(&mut self, at: Duration, item: T) -> TimerKey {
        // Rounded up from the finest part of the clock: one that fires a nanosecond early finds its time not come,
        // is set again for the same tick, and so on without end.
        let at = u64::try_from(at.as_nanos().div_ceil(1_000_000)).unwrap_or(FARTHEST).min(FARTHEST);
        self.sets += 1;
        let entry = Entry { at, set: self.sets, item: Some(item) };
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(Entry { at: 0, set: 0, item: None });
            self.entries.len() as u32 - 1
        });
        debug_assert!(index != NONE);
        self.entries[index as usize] = entry;
        self.live += 1;
        self.place(index);
        TimerKey { index, set: self.sets }
    }

    /// Takes a timer back; gives its item if it had not fired.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        // Its index stays in its slot and is dropped when the slot comes up.
        let entry = self.entries.get_mut(key.index as usize).filter(|e| e.set == key.set)?;
        let item = entry.item.take()?;
        self.live -= 1;
        Some(item)
    }

    /// A time not after the next timer: when to look again. `None` if none is set.
    pub fn next_at(&self) -> Option<Duration> {
        if self.live == 0 {
            return None;
        }
        if !self.due.is_empty() {
            return Some(Duration::from_millis(self.now));
        }
        self.next_slot().map(|(at, _)| Duration::from_millis(at))
    }

    /// The next timer that is due at `now`, earliest first.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        loop {
            while let Some(index) = self.due.pop_front() {
                self.free.push(index);
                if let Some(item) = self.entries[index as usize].item.take() {
                    self.live -= 1;
                    return Some(item);
                }
            }
            let target = now.as_millis() as u64;
            match self.next_slot() {
                Some((at, slot)) if at <= target => {
                    self.now = at;
                    self.open(slot);
                }
                _ => {
                    self.now = self.now.max(target);
                    return None;
                }
            }
        }
    }

    /// Puts an entry where it belongs as of the present tick. The level is that of the highest group of bits
    /// in which its time differs from now, so that within a level later slots are later times.
    fn place(&mut self, index: u32) {
        let at = self.entries[index as usize].at;
        if at <= self.now {
            self.due.push_back(index);
            return;
        }
        let level = (at ^ self.now).ilog2() / BITS;
        let slot = (at >> (BITS * level)) as usize % SLOTS;
        self.slots[level as usize * SLOTS + slot].push(index);
        self.occupied[level as usize] |= 1 << slot;
    }

    /// The first slot that holds anything, and the tick at which it comes up.
    fn next_slot(&self) -> Option<(u64, usize)> {
        (0..LEVELS).find_map(|level| {
            let shift = BITS * level as u32;
            let slot = self.occupied[level].trailing_zeros() as usize;
            let rotation = self.now >> (shift + BITS) << (shift + BITS);
            (slot < SLOTS).then(|| (rotation | (slot as u64) << shift, level * SLOTS + slot))
        })
    }

    fn open(&mut self, slot: usize) {
        self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
        let mut held = std::mem::take(&mut self.slots[slot]);
        held.sort_unstable_by_key(|&i| self.entries[i as usize].set);
        for index in held.drain(..) {
            if self.entries[index as usize].item.is_some() {
                self.place(index);
            } else {
                self.free.push(index);
            }
        }
        // Its room is kept for the next round.
        self.slots[slot] = held;
    }
}

#[cfg(test)]
mod tests;
