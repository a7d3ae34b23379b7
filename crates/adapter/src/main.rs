//! Plays many routers on the simulator's wire. It translates and decides nothing.

#![forbid(unsafe_code)]

mod wire;

use slipreel::Router;
use slipreel_profile::{self as settings, Column};
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
                    Err(bad) => reply.fault(router, &format!("bad setting {}", bad.0)),
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
mod tests {
    use super::*;

    const PROFILE: &str = "classes.count=1\nclasses.0.target=800\nclasses.0.worth=1\n\
                           classes.0.streaming=true\nextra.role_by_kind=read,write\n";

    fn frame(records: &[Vec<u8>]) -> Vec<u8> {
        let clock = 240f64.to_be_bytes();
        [&clock[..], &(records.len() as u32).to_be_bytes(), &records.concat()].concat()
    }

    fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
        let fields = [&3u16.to_be_bytes()[..], &fields.concat()].concat();
        [&[code][..], &(fields.len() as u32).to_be_bytes(), &fields].concat()
    }

    fn attach(profile: &str) -> Vec<u8> {
        let length = (profile.len() as u32).to_be_bytes();
        record(1, &[&7u64.to_be_bytes(), &length, profile.as_bytes()])
    }

    fn query(id: u64) -> Vec<u8> {
        let time_left = 4000f64.to_be_bytes();
        record(
            3,
            &[
                &id.to_be_bytes(),
                &[0; 8],
                &[0; 2],
                &[0; 4],
                &[0; 2],
                &[0],
                &[0; 4],
                &[0; 8],
                &[0; 4],
                &[0; 8],
                &time_left,
            ],
        )
    }

    fn count(reply: &[u8]) -> u32 {
        u32::from_be_bytes(reply[4..8].try_into().unwrap())
    }

    #[test]
    fn an_empty_batch_is_answered_by_an_empty_reply() {
        assert_eq!(Host::default().play(&frame(&[])), Ok(vec![0, 0, 0, 4, 0, 0, 0, 0]));
    }

    #[test]
    fn a_request_with_no_engines_is_refused() {
        let reply = Host::default().play(&frame(&[attach(PROFILE), query(9)])).unwrap();
        assert_eq!((reply[8], count(&reply) >= 1), (13, true));
        assert!(reply.windows(13).any(|w| w[0] == 9 && w[7..15.min(w.len())].starts_with(&[0; 5])));
    }

    #[test]
    fn a_restart_within_one_batch_voids_what_came_before() {
        let batch = frame(&[attach(PROFILE), query(9), record(10, &[]), attach(PROFILE)]);
        assert_eq!(count(&Host::default().play(&batch).unwrap()), 0);
    }

    #[test]
    fn a_bad_setting_is_a_fault_that_names_its_key() {
        let reply = Host::default().play(&frame(&[attach("classes.count=x")])).unwrap();
        assert_eq!(reply[8], 2);
        assert!(String::from_utf8_lossy(&reply).contains("classes.count"));
    }

    #[test]
    fn malformed_input_ends_the_run_with_a_line() {
        let error = run(&[0, 0, 0, 9, 1][..], Vec::new()).unwrap_err();
        assert_eq!(error, "frame truncated at byte 5");
        assert_eq!(run(&[][..], Vec::new()), Ok(()));
    }

    #[test]
    fn panics_are_told_with_their_text() {
        let panic = catch_unwind(|| panic!("no {}", "way")).unwrap_err();
        assert_eq!(panic_text(&*panic), "no way");
    }
}
