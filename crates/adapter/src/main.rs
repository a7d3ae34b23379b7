//! Runs many routers for a simulator, with which it exchanges frames on standard input and output. It only
//! translates between these frames and the routers' events and actions.

#![forbid(unsafe_code)]

mod host;
mod wire;

use host::Host;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

/// Why the adapter ends before its input does.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// The input can't be read or the output can't be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A frame can't be decoded.
    #[error(transparent)]
    Malformed(#[from] wire::MalformedFrame),
}

/// Replies to each batch of the input until the input ends.
fn run(input: impl Read, output: impl Write) -> Result<(), AdapterError> {
    let (mut input, mut output) = (BufReader::new(input), BufWriter::new(output));
    let mut host = Host::default();
    while let Some(frame) = wire::read_frame(&mut input)? {
        let reply = host.process_batch(&frame)?;
        output.write_all(&reply)?;
        output.flush()?;
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
