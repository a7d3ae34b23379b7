//! The routers of one simulation: passes the inputs of a batch to them and collects their actions.

use crate::wire::{Batch, Input, MalformedFrame, Reply, RouterId};
use slipreel::{Action, Event, Router};
use slipreel_platform_settings::{self as settings, Column};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// One router, with the layout of the load reports that it gets.
struct HostedRouter {
    router: Router,
    columns: Vec<Column>,
}

/// All routers of a simulation, which share one clock.
#[derive(Default)]
pub(crate) struct Host {
    routers: BTreeMap<RouterId, HostedRouter>,
    clock: Duration,
}

impl Host {
    /// Processes one batch, which is a frame without its length field, and returns the reply as a frame.
    ///
    /// # Errors
    /// The frame can't be decoded.
    pub(crate) fn process_batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, MalformedFrame> {
        let mut batch = Batch::open(frame)?;
        self.clock = batch.clock.map_or(self.clock, |clock| clock.max(self.clock));
        let mut reply = Reply::default();
        loop {
            let columns = |id| self.routers.get(&id).map_or(&[][..], |hosted| &hosted.columns);
            let Some(input) = batch.next(columns)? else { break };
            match input {
                Input::Attach { router, seed, profile } => self.attach(router, seed, &profile, &mut reply),
                Input::Stop(router) => {
                    self.routers.remove(&router);
                    reply.discard(router);
                }
                Input::Event(router, event) => self.handle(router, event, &mut reply),
                Input::Unknown => {}
            }
        }
        Ok(reply.frame())
    }

    /// Starts a router with the settings `profile`. Invalid settings are reported as a fault.
    fn attach(&mut self, router: RouterId, seed: u64, profile: &str, reply: &mut Reply) {
        match settings::parse(profile) {
            Ok(profile) => {
                let hosted =
                    HostedRouter { router: Router::new(profile.settings, seed), columns: profile.columns };
                self.routers.insert(router, hosted);
            }
            Err(error) => reply.add_fault(router, &format!("bad setting {}", error.fault())),
        }
    }

    /// Passes an event to a router. A router that panics is reported and removed; its actions so far stay in
    /// the reply.
    fn handle(&mut self, id: RouterId, event: Event, reply: &mut Reply) {
        let Some(hosted) = self.routers.get_mut(&id) else { return };
        let now = self.clock;
        let mut actions: Vec<Action> = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            hosted.router.handle(now, event, &mut actions);
        }));
        for action in actions {
            reply.add_action(id, &action);
        }
        if let Err(panic) = handled {
            reply.add_fault(id, &format!("panic: {}", panic_text(&*panic)));
            self.routers.remove(&id);
        }
    }
}

/// The message of a panic.
pub(crate) fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no text")
}
