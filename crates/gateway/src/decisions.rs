//! The decision modules of a gateway, one for each generation of settings, and their event queue.
//!
//! A request belongs to the generation that admitted it. After settings were replaced, earlier modules are
//! kept until their requests are finished.

use slipreel::{Action, Event, Router, Settings, SettingsMapping};
use std::collections::VecDeque;
use std::time::Duration;

/// A decision module and the generation of its settings.
struct DecisionModule {
    generation: u64,
    router: Router,
}

/// Which modules an event is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recipient {
    /// All modules.
    All,
    /// The module of this generation. Later modules, which took over what it had learnt, also receive the
    /// outcomes and first tokens of its attempts.
    Generation(u64),
}

/// An event in the queue.
pub(crate) struct QueuedEvent {
    recipient: Recipient,
    event: Event,
}

impl QueuedEvent {
    /// Whether the module of this generation receives the event.
    fn is_for(&self, generation: u64) -> bool {
        let is_for_later_modules = matches!(self.event, Event::AttemptEnded(_) | Event::FirstToken { .. });
        match self.recipient {
            Recipient::All => true,
            Recipient::Generation(recipient) => {
                recipient == generation || (is_for_later_modules && recipient < generation)
            }
        }
    }
}

/// The actions with which a module responds to one event.
pub(crate) struct Decision {
    /// The generation of the decision module.
    pub(crate) generation: u64,
    pub(crate) actions: Vec<Action>,
}

/// The decision modules, oldest first, with their event queue.
pub(crate) struct DecisionModules {
    modules: Vec<DecisionModule>,
    events: VecDeque<QueuedEvent>,
    seed: u64,
}

impl DecisionModules {
    /// Creates an empty list of modules. `seed` seeds the random numbers of the first module, `seed + 1`
    /// those of the second, and so on.
    pub(crate) fn new(seed: u64) -> Self {
        DecisionModules { modules: Vec::new(), events: VecDeque::new(), seed }
    }

    /// The generation that admits requests now: the last one.
    pub(crate) fn generation(&self) -> u64 {
        self.modules.last().map_or(0, |module| module.generation)
    }

    fn next_generation(&self) -> u64 {
        self.modules.last().map_or(0, |module| module.generation + 1)
    }

    /// Adds a module that has learnt nothing.
    pub(crate) fn add(&mut self, settings: Settings) {
        let generation = self.next_generation();
        let router = Router::new(settings, self.seed.wrapping_add(generation));
        self.modules.push(DecisionModule { generation, router });
    }

    /// Adds a module that takes over what the last one has learnt. Returns its first decision; `None` if
    /// there is no module yet.
    pub(crate) fn add_successor(
        &mut self, now: Duration, settings: Settings, mapping: &SettingsMapping,
    ) -> Option<Decision> {
        let generation = self.next_generation();
        let seed = self.seed.wrapping_add(generation);
        let mut actions = Vec::new();
        let router = self.modules.last()?.router.successor(now, settings, mapping, seed, &mut actions);
        self.modules.push(DecisionModule { generation, router });
        Some(Decision { generation, actions })
    }

    /// Sets the number of routers that share the engines; the modules keep what they have learnt.
    pub(crate) fn set_router_count(&mut self, count: u32) {
        self.modules.iter_mut().for_each(|module| module.router.set_router_count(count));
    }

    /// Queues an event for the module of one generation.
    pub(crate) fn queue(&mut self, generation: u64, event: Event) {
        self.events.push_back(QueuedEvent { recipient: Recipient::Generation(generation), event });
    }

    /// Queues an event for all modules.
    pub(crate) fn queue_for_all(&mut self, event: Event) {
        self.events.push_back(QueuedEvent { recipient: Recipient::All, event });
    }

    /// Removes the oldest event from the queue.
    pub(crate) fn next_event(&mut self) -> Option<QueuedEvent> {
        self.events.pop_front()
    }

    /// The number of modules.
    pub(crate) fn len(&self) -> usize {
        self.modules.len()
    }

    /// Passes an event to the module at `index`; `None` if it is not for that module.
    pub(crate) fn handle(&mut self, index: usize, now: Duration, queued: &QueuedEvent) -> Option<Decision> {
        let module = self.modules.get_mut(index).filter(|module| queued.is_for(module.generation))?;
        let mut actions = Vec::new();
        module.router.handle(now, queued.event.clone(), &mut actions);
        Some(Decision { generation: module.generation, actions })
    }

    /// Removes earlier modules whose generation is no longer in use.
    pub(crate) fn remove_unused(&mut self, is_in_use: impl Fn(u64) -> bool) {
        if self.modules.len() > 1 {
            let current = self.generation();
            self.modules.retain(|module| module.generation == current || is_in_use(module.generation));
        }
    }
}
