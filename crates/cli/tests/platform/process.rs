//! Router processes of tests.

use super::ms;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A process that is killed when the value is dropped, also after a failed check.
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal, which is named as for `kill`: `-TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.0.id().to_string()]).status().expect("kill");
        assert!(status.success());
    }

    /// Whether the process ends within this time, by itself or by a signal.
    pub fn has_ended_within(&mut self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            if self.0.try_wait().expect("a child").is_some() {
                return true;
            }
            std::thread::sleep(ms(5));
        }
        false
    }

    /// The exit code, if the process ends within this time.
    pub fn exit_code_within(&mut self, time: Duration) -> Option<i32> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            if let Some(status) = self.0.try_wait().expect("a child") {
                return status.code();
            }
            std::thread::sleep(ms(20));
        }
        None
    }
}

/// Starts a router with this configuration file.
pub fn start(file: &Path) -> Process {
    start_with(file, None)
}

/// Starts a router in a process that the system allows at most this many descriptors.
pub fn start_with(file: &Path, descriptors: Option<u32>) -> Process {
    let program = env!("CARGO_BIN_EXE_slipreel");
    let mut command = match descriptors {
        None => Command::new(program),
        Some(max_descriptors) => {
            let mut shell = Command::new("sh");
            shell.args(["-c", &format!("ulimit -n {max_descriptors}; exec \"$0\" \"$@\""), program]);
            shell
        }
    };
    command.arg("node").env("LB_CONFIG", file).stderr(Stdio::null()).stdout(Stdio::null());
    Process(command.spawn().expect("the program"))
}
