//! `losses`: summarises logs of `node`: where requests and engine work were lost.
//!
//! A router logs its counters every ten seconds and when it ends; they count from its start. It also logs
//! some of the requests that ended without an answer. One file may hold several runs of a process. What a run
//! counted after its last log line, for example before a kill, is in no log: the sums are lower bounds.

use crate::{Failure, Outcome};
use clap::Args as ClapArgs;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

#[derive(ClapArgs)]
pub(crate) struct Args {
    /// Log files, or folders of log files.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// How many kinds of failed requests are shown, the most frequent first.
    #[arg(long, default_value_t = 12)]
    most: usize,
}

/// The rows that are printed: the name of a counter, the counter that is its total, and the label.
const ROWS: [(&str, &str, &str); 15] = [
    ("served", "taken", "served whole"),
    ("refused_early", "taken", "refused before any attempt (curve, hopeless)"),
    ("refused", "taken", "refused in all"),
    ("failed", "taken", "failed"),
    ("broken", "taken", "of these streams that broke"),
    ("left", "taken", "left by their clients"),
    ("fruitless", "taken", "ended without an event after attempts"),
    ("late", "taken", "first event after the aim of the class"),
    ("turned", "taken", "never told to the module (bad, no room)"),
    ("wasted", "attempts", "attempts given up, broken or in error"),
    ("crossed", "attempts", "attempts in another zone"),
    ("probes", "taken", "probes"),
    ("opened", "attempts", "connections opened to engines"),
    ("kept_tokens", "read_tokens", "prompt tokens that readers had kept"),
    ("moved_tokens", "read_tokens", "prompt tokens written outside the cell"),
];

/// The sums of all logs that were read.
#[derive(Debug, Default, PartialEq)]
struct LogSummary {
    /// Starts of a router process.
    runs: usize,
    /// The sum of the last counters of each run.
    counts: BTreeMap<String, u64>,
    /// Requests that ended without an answer, by how they ended and what was tried: how many lines name one.
    endings: BTreeMap<String, u64>,
    /// The requests that each router took; they show how uneven the load is.
    taken_by_router: Vec<u64>,
}

/// The counters in a line, which are logged as `Tally { name: number, .. }`: the text of
/// `slipreel_platform::Counters`.
fn parse_counters(line: &str) -> Option<BTreeMap<String, u64>> {
    let (_, rest) = line.split_once("Tally {")?;
    let (pairs, _) = rest.split_once('}')?;
    let parse_pair = |pair: &str| {
        let (name, number) = pair.split_once(':')?;
        Some((name.trim().to_owned(), number.trim().parse().ok()?))
    };
    pairs.split(',').map(parse_pair).collect()
}

/// How a request ended, if the line names one. Numbers are left out, so that equal endings are counted
/// together.
fn parse_ending(line: &str) -> Option<String> {
    let markers = ["refused: ", "failed: ", "broke off: "];
    let at = markers.iter().filter_map(|marker| line.find(marker)).min()?;
    let description = line[at..].split(" (and ").next()?.trim_end();
    let mut normalized = String::new();
    for word in description.split(' ').filter(|w| !matches!(*w, "ms" | "ago" | "left:")) {
        if !word.starts_with(|c: char| c.is_ascii_digit()) {
            normalized.push_str(if normalized.is_empty() { "" } else { " " });
            normalized.push_str(word);
        }
    }
    Some(normalized)
}

impl LogSummary {
    /// Adds the log of one router.
    fn read(&mut self, text: &str) {
        let mut last = BTreeMap::new();
        let mut taken = 0;
        let mut end_run = |summary: &mut LogSummary, last: &mut BTreeMap<String, u64>| {
            taken += last.get("taken").copied().unwrap_or(0);
            for (name, count) in std::mem::take(last) {
                *summary.counts.entry(name).or_default() += count;
            }
        };
        for line in text.lines() {
            if line.contains("serving listen=") {
                self.runs += 1;
                end_run(self, &mut last);
            } else if let Some(counters) = parse_counters(line) {
                last = counters;
            } else if let Some(ending) = parse_ending(line) {
                *self.endings.entry(ending).or_default() += 1;
            }
        }
        end_run(self, &mut last);
        self.taken_by_router.push(taken);
    }

    fn count(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    /// Prints the summary, with at most `most` kinds of endings.
    fn print(&self, most: usize) {
        println!(
            "{} routers in {} lives; what a killed one had not said yet is missing",
            self.taken_by_router.len(),
            self.runs
        );
        for (part, whole, text) in ROWS {
            let (part, total) = (self.count(part), self.count(whole));
            let percent = 100.0 * part as f64 / (total as f64).max(1.0);
            println!("{text:<44}{part:>10}  {percent:>6.1}% of {total} {}", whole.replace('_', " "));
        }
        let mut taken = self.taken_by_router.clone();
        taken.sort_unstable();
        if let (Some(least), Some(most)) = (taken.first(), taken.last()) {
            println!(
                "{:<44}{least:>10}  to {most}, median {}",
                "requests taken by a router",
                taken[taken.len() / 2]
            );
        }
        let mut endings: Vec<(&String, &u64)> = self.endings.iter().collect();
        endings.sort_by_key(|&(ending, count)| (std::cmp::Reverse(count), ending));
        for (ending, count) in endings.into_iter().take(most) {
            println!("{count:>10} named  {ending}");
        }
    }
}

/// The files of a path: the file itself, or all files in the folder.
fn files(path: &Path) -> std::io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path)?.map(|entry| entry.map(|e| e.path()));
    let mut files = entries.collect::<std::io::Result<Vec<_>>>()?;
    files.retain(|file| file.is_file());
    files.sort();
    Ok(files)
}

/// Reads the logs, sums their counters over all runs, and prints the sums.
pub(crate) fn run(args: &Args) -> Outcome {
    let mut summary = LogSummary::default();
    for path in &args.paths {
        let input_failure =
            |path: &Path, why: std::io::Error| Failure::Input(format!("{}: {why}", path.display()));
        for file in files(path).map_err(|why| input_failure(path, why))? {
            let text = std::fs::read(&file).map_err(|why| input_failure(&file, why))?;
            let text = String::from_utf8_lossy(&text);
            // Other files in the folder, such as reports, are skipped.
            if text.contains("serving listen=") {
                summary.read(&text);
            }
        }
    }
    if summary.runs == 0 {
        return Err(Failure::Input(
            "none of these is a log of `slipreel node`: expected a line 'serving listen='".into(),
        ));
    }
    summary.print(args.most);
    Ok(())
}

#[cfg(test)]
mod tests;
