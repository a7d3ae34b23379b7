//! `losses`: reads logs of `node` and says where requests and work went.
//!
//! A router says every ten seconds, and as it ends, what it has counted since its start, and names some of the requests that
//! ended without an answer. A file may hold several lives of a process. What a life counted after it last said so, as when it
//! was killed, is in no log: the counts are bounds from below.

use crate::{Failure, Outcome};
use clap::Args as ClapArgs;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

#[derive(ClapArgs)]
pub(crate) struct Args {
    /// Logs, or folders of logs.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// Ways of ending that are shown, the most frequent first.
    #[arg(long, default_value_t = 12)]
    most: usize,
}

/// What is shown: a count, what it is a part of, and what it means.
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

/// What the logs told.
#[derive(Debug, Default, PartialEq)]
struct Told {
    lives: usize,
    /// The last counts of each life, added up.
    counts: BTreeMap<String, u64>,
    /// How requests ended without an answer, by what was tried, with how often a line named one.
    endings: BTreeMap<String, u64>,
    /// Routers by the requests that they took, for how uneven they are.
    taken: Vec<u64>,
}

/// The counts in a line, as `Tally { name: number, .. }` stands there: the text of `slipreel_platform::Counters`.
fn counts(line: &str) -> Option<BTreeMap<String, u64>> {
    let (_, rest) = line.split_once("Tally {")?;
    let (pairs, _) = rest.split_once('}')?;
    let pair = |pair: &str| {
        let (name, number) = pair.split_once(':')?;
        Some((name.trim().to_owned(), number.trim().parse().ok()?))
    };
    pairs.split(',').map(pair).collect()
}

/// How a request ended, if the line names one: its numbers left out, so that the same ways fall together.
fn ending(line: &str) -> Option<String> {
    let kinds = ["refused: ", "failed: ", "broke off: "];
    let at = kinds.iter().filter_map(|kind| line.find(kind)).min()?;
    let story = line[at..].split(" (and ").next()?.trim_end();
    let mut short = String::new();
    for word in story.split(' ').filter(|w| !matches!(*w, "ms" | "ago" | "left:")) {
        if !word.starts_with(|c: char| c.is_ascii_digit()) {
            short.push_str(if short.is_empty() { "" } else { " " });
            short.push_str(word);
        }
    }
    Some(short)
}

impl Told {
    fn read(&mut self, text: &str) {
        let mut last = BTreeMap::new();
        let mut taken = 0;
        let mut end_of_life = |told: &mut Told, last: &mut BTreeMap<String, u64>| {
            taken += last.get("taken").copied().unwrap_or(0);
            for (name, count) in std::mem::take(last) {
                *told.counts.entry(name).or_default() += count;
            }
        };
        for line in text.lines() {
            if line.contains("serving listen=") {
                self.lives += 1;
                end_of_life(self, &mut last);
            } else if let Some(counts) = counts(line) {
                last = counts;
            } else if let Some(ending) = ending(line) {
                *self.endings.entry(ending).or_default() += 1;
            }
        }
        end_of_life(self, &mut last);
        self.taken.push(taken);
    }

    fn of(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    fn print(&self, most: usize) {
        println!(
            "{} routers in {} lives; what a killed one had not said yet is missing",
            self.taken.len(),
            self.lives
        );
        for (part, whole, text) in ROWS {
            let (part, of) = (self.of(part), self.of(whole));
            let percent = 100.0 * part as f64 / (of as f64).max(1.0);
            println!("{text:<44}{part:>10}  {percent:>6.1}% of {of} {}", whole.replace('_', " "));
        }
        let mut taken = self.taken.clone();
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

/// The files that a path names: itself, or all in a folder.
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

pub(crate) fn run(args: &Args) -> Outcome {
    let mut told = Told::default();
    for path in &args.paths {
        let bad = |path: &Path, why: std::io::Error| Failure::Input(format!("{}: {why}", path.display()));
        for file in files(path).map_err(|why| bad(path, why))? {
            let text = std::fs::read(&file).map_err(|why| bad(&file, why))?;
            let text = String::from_utf8_lossy(&text);
            // What is no router's log, as a report that lies beside them, is passed over.
            if text.contains("serving listen=") {
                told.read(&text);
            }
        }
    }
    if told.lives == 0 {
        return Err(Failure::Input(
            "none of these is a log of `slipreel node`: expected a line 'serving listen='".into(),
        ));
    }
    told.print(args.most);
    Ok(())
}

#[cfg(test)]
mod tests;
