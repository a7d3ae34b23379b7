//! Plays many routers on the simulator's wire. It translates and decides nothing.

#![forbid(unsafe_code)]

mod wire;

use slipreel::Router;
use slipreel_platform_settings::{self as settings, Column};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::time::Duration;
use wire::{Input, Malformed, Reply, RouterId};

/// One router and the layout of its load reports.
struct Instance {
    router: Router,
    columns: Vec<Column>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<RouterId, Instance>,
    clock: Duration,
}

impl Host {
    /// Plays one batch and gives the reply.
    fn play(&mut self, frame: &[u8]) -> Result<Vec<u8>, Malformed> {
        let mut batch = wire::open(frame)?;
        self.clock = batch.clock.map_or(self.clock, |clock| clock.max(self.clock));
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        loop {
            let columns = |id| self.instances.get(&id).map_or(&[][..], |i| &i.columns);
            let Some(input) = batch.next(columns)? else { break };
            match input {
                Input::Attach { router, seed, profile } => match settings::parse(&profile) {
                    Ok(profile) => {
                        let instance = Instance {
                            router: Router::new(profile.settings, seed),
                            columns: profile.columns,
                        };
                        self.instances.insert(router, instance);
                    }
                    Err(bad) => reply.fault(router, &format!("bad setting {}", bad.fault())),
                },
                Input::Stop(router) => {
                    self.instances.remove(&router);
                    reply.forget(router);
                }
                Input::Event(id, event) => {
                    let Some(instance) = self.instances.get_mut(&id) else { continue };
                    let now = self.clock;
                    let handled = catch_unwind(AssertUnwindSafe(|| {
                        instance.router.handle(now, event, &mut actions);
                    }));
                    for action in actions.drain(..) {
                        reply.action(id, &action);
                    }
                    if let Err(panic) = handled {
                        reply.fault(id, &format!("panic: {}", panic_text(&*panic)));
                        self.instances.remove(&id);
                    }
                }
                Input::Unknown => {}
            }
        }
        Ok(reply.frame())
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no text")
}

fn run(input: impl Read, output: impl Write) -> Result<(), String> {
    let (mut input, mut output) = (BufReader::new(input), BufWriter::new(output));
    let mut host = Host::default();
    while let Some(frame) = wire::read_frame(&mut input).map_err(|e| e.to_string())? {
        let reply = host.play(&frame).map_err(|e| e.to_string())?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("slipreel-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
