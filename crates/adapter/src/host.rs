//! The routers of one simulation: plays a batch of inputs on them and collects what they ask for.

use crate::wire::{Batch, Input, Malformed, Reply, RouterId};
use slipreel::{Action, Event, Router};
use slipreel_platform_settings::{self as settings, Column};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// One router and the layout of its load reports.
struct Instance {
    router: Router,
    columns: Vec<Column>,
}

/// All routers, on one clock.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<RouterId, Instance>,
    clock: Duration,
}

impl Host {
    /// Plays one batch, a frame without its length field, and gives the frame of the reply.
    ///
    /// # Errors
    /// The frame can't be read.
    pub(crate) fn play(&mut self, frame: &[u8]) -> Result<Vec<u8>, Malformed> {
        let mut batch = Batch::open(frame)?;
        self.clock = batch.clock.map_or(self.clock, |clock| clock.max(self.clock));
        let mut reply = Reply::default();
        loop {
            let columns = |id| self.instances.get(&id).map_or(&[][..], |instance| &instance.columns);
            let Some(input) = batch.next(columns)? else { break };
            match input {
                Input::Attach { router, seed, profile } => self.attach(router, seed, &profile, &mut reply),
                Input::Stop(router) => {
                    self.instances.remove(&router);
                    reply.discard(router);
                }
                Input::Event(router, event) => self.handle(router, event, &mut reply),
                Input::Unknown => {}
            }
        }
        Ok(reply.frame())
    }

    fn attach(&mut self, router: RouterId, seed: u64, profile: &str, reply: &mut Reply) {
        match settings::parse(profile) {
            Ok(profile) => {
                let instance =
                    Instance { router: Router::new(profile.settings, seed), columns: profile.columns };
                self.instances.insert(router, instance);
            }
            Err(bad) => reply.add_fault(router, &format!("bad setting {}", bad.fault())),
        }
    }

    /// Gives an event to a router. One that panics is reported and removed; what it had asked for stands.
    fn handle(&mut self, id: RouterId, event: Event, reply: &mut Reply) {
        let Some(instance) = self.instances.get_mut(&id) else { return };
        let now = self.clock;
        let mut actions: Vec<Action> = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            instance.router.handle(now, event, &mut actions);
        }));
        for action in actions {
            reply.add_action(id, &action);
        }
        if let Err(panic) = handled {
            reply.add_fault(id, &format!("panic: {}", panic_text(&*panic)));
            self.instances.remove(&id);
        }
    }
}

/// The text of a panic.
pub(crate) fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no text")
}
