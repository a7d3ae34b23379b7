//! `policy`: the policy that a fleet has agreed on, asked and changed at a router's operators' port.

use crate::fleet::ask_with;
use crate::{lines, Failure, Outcome};
use clap::{Args as ClapArgs, Subcommand};
use serde_json::Value;
use slipreel_settings::{changes, masked, policy_of};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How often the outcome of a change is asked for.
const LOOK: Duration = Duration::from_millis(30);
/// Exit code: the change was dropped.
const DROPPED: u8 = 3;
/// Exit code: its outcome is not known yet.
const UNKNOWN: u8 = 4;

#[derive(ClapArgs)]
pub(crate) struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(ClapArgs)]
struct At {
    /// The operators' port of the router that is asked.
    #[arg(long)]
    at: SocketAddr,
    /// As JSON.
    #[arg(long)]
    json: bool,
}

#[derive(ClapArgs)]
struct Change {
    #[command(flatten)]
    at: At,
    /// Wait so long for the outcome, e.g. 10s; 0s: not at all.
    #[arg(long, default_value = "10s")]
    wait: String,
    /// Names the change: sent twice under one id, it is one. Drawn if it is not given.
    #[arg(long)]
    id: Option<String>,
}

#[derive(Subcommand)]
enum What {
    /// The policy in force.
    Show {
        #[command(flatten)]
        at: At,
    },
    /// What a file would change, in words.
    Diff {
        /// A settings file, or its policy sections alone.
        file: PathBuf,
        #[command(flatten)]
        at: At,
    },
    /// Propose a file's policy: in force everywhere (exit 0), dropped (3) or not known yet (4).
    Propose {
        /// A settings file, or its policy sections alone.
        file: PathBuf,
        #[command(flatten)]
        change: Change,
    },
    /// The epoch in force and the change under way; with an id, how that change stands.
    Status {
        /// A proposal.
        id: Option<String>,
        #[command(flatten)]
        at: At,
    },
    /// How changes ended.
    History {
        #[command(flatten)]
        at: At,
    },
    /// Propose the policy of an earlier epoch again, as a new one.
    Rollback {
        /// That epoch.
        epoch: u64,
        #[command(flatten)]
        change: Change,
    },
}

/// What a router answers; `Err`: why it can't be asked, and whether it has heard the question for certain not.
fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<(u16, Value), (String, bool)> {
    let (status, text) = ask_with(at, method, path, body)
        .map_err(|e| (format!("{at}: {e}"), e.kind() == std::io::ErrorKind::ConnectionRefused))?;
    let value = serde_json::from_str(&text).map_err(|e| (format!("{at}: {e}"), false))?;
    Ok((status, value))
}

fn need(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<Value, Failure> {
    let (status, value) = call(at, method, path, body).map_err(|(why, _)| Failure::Run(why))?;
    let why = || value["error"]["message"].as_str().unwrap_or_default().to_owned();
    match status {
        200 | 202 => Ok(value),
        400 => Err(Failure::Input(why())),
        404 if why().starts_with("no such path") => Err(Failure::Run(format!(
            "{at}: this router does not agree on a policy with others: its [fleet] has no founders"
        ))),
        _ => Err(Failure::Run(format!("{at}: {status}: {}", why()))),
    }
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("")
}

fn names(value: &Value) -> String {
    let all = value.as_array().map_or(&[][..], Vec::as_slice);
    let all: Vec<&str> = all.iter().filter_map(Value::as_str).collect();
    if all.is_empty() {
        "nobody that is known here".into()
    } else {
        all.join(", ")
    }
}

fn duration(text: &str) -> Result<Duration, Failure> {
    <Duration as slipreel_settings::Value>::read(text)
        .map_err(|expected| Failure::Input(format!("--wait {text:?}: expected {expected}")))
}

fn read(file: &Path) -> Result<String, Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let policy = policy_of(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))?;
    if !policy.left_aside.is_empty() {
        eprintln!("left aside, as they are a router's own: {}", policy.left_aside.join(", "));
    }
    Ok(policy.text)
}

fn why(outcome: &Value) -> String {
    let all = outcome["why"].as_array().map_or(&[][..], Vec::as_slice);
    let said: Vec<String> =
        all.iter().map(|n| format!("{}: {}", text(n, "router"), text(n, "why"))).collect();
    said.join("; ")
}

fn say(outcome: &Value) -> String {
    let id = text(outcome, "id");
    match text(outcome, "outcome") {
        "in force" => format!("{id}: in force as epoch {}", outcome["epoch"]),
        "dropped" => format!("{id}: dropped: {}", why(outcome)),
        "pending" => format!("{id}: under way, waits for {}", names(&outcome["waits_for"])),
        _ => format!("{id}: unknown here"),
    }
}

/// Ends as the outcome says.
fn end(outcome: &Value, json: bool) -> Outcome {
    if json {
        println!("{outcome}");
    } else {
        println!("{}", say(outcome));
    }
    match text(outcome, "outcome") {
        "in force" => Ok(()),
        "dropped" => Err(Failure::Code(DROPPED)),
        _ => Err(Failure::Code(UNKNOWN)),
    }
}

/// Sends a change and waits for its outcome.
fn change(args: &Change, path: impl Fn(&str) -> String, body: &str) -> Outcome {
    let (at, wait) = (args.at.at, duration(&args.wait)?);
    let id = args.id.clone().unwrap_or_else(|| format!("p-{:016x}", rand::random::<u64>()));
    if args.id.is_none() {
        eprintln!("its id is {id}");
    }
    let until = Instant::now() + wait;
    let unknown = serde_json::json!({"id": id, "outcome": "unknown"});
    let mut last = unknown.clone();
    let mut sent = false;
    loop {
        if !sent {
            match call(at, "POST", &path(&id), body) {
                Ok((202, _)) => sent = true,
                // Sent again under its id it is the same change.
                Ok((529, _)) | Err((_, false)) => {}
                Ok((400, value)) => return Err(Failure::Input(text(&value["error"], "message").to_owned())),
                Ok((status, value)) => {
                    return Err(Failure::Run(format!("{at}: {status}: {}", text(&value["error"], "message"))))
                }
                Err((why, true)) if Instant::now() >= until => return Err(Failure::Run(why)),
                Err((_, true)) => {}
            }
        } else if let Ok((200, outcome)) = call(at, "GET", &format!("/policy/status/{id}"), "") {
            if matches!(text(&outcome, "outcome"), "in force" | "dropped") {
                return end(&outcome, args.at.json);
            }
            last = outcome;
        }
        if Instant::now() >= until {
            return end(&last, args.at.json);
        }
        std::thread::sleep(LOOK.min(until.saturating_duration_since(Instant::now())));
    }
}

fn status(at: &At, id: Option<&String>) -> Outcome {
    if let Some(id) = id {
        let outcome = need(at.at, "GET", &format!("/policy/status/{id}"), "")?;
        return end(&outcome, at.json);
    }
    let value = need(at.at, "GET", "/policy/status", "")?;
    if at.json {
        println!("{value}");
        return Ok(());
    }
    let serving = if value["serving"] == true { "serving by it" } else { "not serving" };
    println!(
        "{}: epoch {}, digest {}, {serving}",
        text(&value, "name"),
        value["epoch"],
        text(&value, "digest")
    );
    let votes = if value["votes"] == true { "votes" } else { "does not vote" };
    println!(
        "voters: {}; this router {votes}; led by {}",
        names(&value["voters"]),
        value["leader"].as_str().unwrap_or("nobody known")
    );
    if let Some(id) = value["pending"]["id"].as_str() {
        println!(
            "under way: {id}, to be epoch {}, waits for {}",
            value["pending"]["epoch"],
            names(&value["pending"]["waits_for"])
        );
    }
    for trouble in value["trouble"].as_array().map_or(&[][..], Vec::as_slice) {
        println!("trouble: {}", trouble.as_str().unwrap_or_default());
    }
    Ok(())
}

fn history(at: &At) -> Outcome {
    let value = need(at.at, "GET", "/policy/history", "")?;
    if at.json {
        println!("{value}");
        return Ok(());
    }
    if value["whole"] != true {
        println!("this router does not vote: it knows the last few alone");
    }
    for o in value["outcomes"].as_array().map_or(&[][..], Vec::as_slice) {
        let back = o["back_to"].as_u64().map_or(String::new(), |e| format!(", back to epoch {e}"));
        println!(
            "{} s by {}'s clock, digest {}{back}: {}",
            o["when"],
            text(o, "from"),
            text(o, "digest"),
            say(o)
        );
    }
    Ok(())
}

pub(crate) fn run(args: &Args) -> Outcome {
    match &args.what {
        What::Show { at } => {
            let value = need(at.at, "GET", "/policy/text", "")?;
            let shown = masked(text(&value, "text"));
            if at.json {
                println!("{}", serde_json::json!({"epoch": value["epoch"], "text": shown}));
            } else {
                println!("; epoch {}; keys of tenants are shown as marks\n{shown}", value["epoch"]);
            }
            Ok(())
        }
        What::Diff { file, at } => {
            let proposed = read(file)?;
            let value = need(at.at, "GET", "/policy/text", "")?;
            let told =
                changes(text(&value, "text"), &proposed).map_err(|faults| Failure::Input(lines(&faults)))?;
            if at.json {
                println!("{}", serde_json::json!({"epoch": value["epoch"], "changes": told}));
            } else if told.is_empty() {
                println!("nothing: it is the policy of epoch {}", value["epoch"]);
            } else {
                told.iter().for_each(|line| println!("{line}"));
            }
            Ok(())
        }
        What::Propose { file, change: args } => {
            let proposed = read(file)?;
            change(args, |id| format!("/policy/propose/{id}"), &proposed)
        }
        What::Rollback { epoch, change: args } => {
            change(args, |id| format!("/policy/rollback/{id}/{epoch}"), "")
        }
        What::Status { id, at } => status(at, id.as_ref()),
        What::History { at } => history(at),
    }
}
