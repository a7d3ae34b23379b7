//! `policy`: shows and changes the policy of a fleet, through requests to a router's operators' port.

use crate::fleet::{http_request, HttpAnswer};
use crate::{lines, Failure, Outcome};
use clap::{Args as ClapArgs, Subcommand};
use serde_json::Value;
use slipreel_settings::{changes, masked, policy_of};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How often the outcome of a change is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Exit code: the change was dropped.
const EXIT_DROPPED: u8 = 3;
/// Exit code: the outcome of the change is not known yet.
const EXIT_UNKNOWN: u8 = 4;

#[derive(ClapArgs)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: PolicyCommand,
}

#[derive(ClapArgs)]
struct At {
    /// The address of a router's operators' port.
    #[arg(long)]
    at: SocketAddr,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(ClapArgs)]
struct Change {
    #[command(flatten)]
    at: At,
    /// How long to wait for the outcome, e.g. 10s; 0s does not wait.
    #[arg(long, default_value = "10s")]
    wait: String,
    /// The id of the change. Sent twice with the same id, it is applied once; by default the id is random.
    #[arg(long)]
    id: Option<String>,
}

#[derive(Subcommand)]
enum PolicyCommand {
    /// Show the policy in force.
    Show {
        #[command(flatten)]
        at: At,
    },
    /// Show what a file's policy would change.
    Diff {
        /// A settings file, or a file with only policy sections.
        file: PathBuf,
        #[command(flatten)]
        at: At,
    },
    /// Propose a file's policy; the exit code is 0 if it is in force everywhere, 3 if dropped, 4 if not known
    /// yet.
    Propose {
        /// A settings file, or a file with only policy sections.
        file: PathBuf,
        #[command(flatten)]
        change: Change,
    },
    /// Show the epoch in force and the change in progress; with an id, the state of that change.
    Status {
        /// The id of a change.
        id: Option<String>,
        #[command(flatten)]
        at: At,
    },
    /// Show the outcomes of past changes.
    History {
        #[command(flatten)]
        at: At,
    },
    /// Propose the policy of an earlier epoch again, as a new epoch.
    Rollback {
        /// The earlier epoch.
        epoch: u64,
        #[command(flatten)]
        change: Change,
    },
}

/// The answer of a router, with its JSON body.
struct JsonAnswer {
    status: u16,
    value: Value,
}

/// Why a request has no answer, with the message to print.
enum RequestError {
    /// The router can't have received the request.
    NotReceived(String),
    /// The router may have received the request.
    NoAnswer(String),
}

impl From<RequestError> for Failure {
    fn from(error: RequestError) -> Failure {
        match error {
            RequestError::NotReceived(reason) | RequestError::NoAnswer(reason) => Failure::Run(reason),
        }
    }
}

/// Sends a request to an operators' port and parses the JSON answer.
fn json_request(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<JsonAnswer, RequestError> {
    let answer = http_request(at, method, path, body).map_err(|error| {
        let reason = format!("{at}: {error}");
        match error.kind() {
            std::io::ErrorKind::ConnectionRefused => RequestError::NotReceived(reason),
            _ => RequestError::NoAnswer(reason),
        }
    })?;
    let HttpAnswer { status, body } = answer;
    let value =
        serde_json::from_str(&body).map_err(|error| RequestError::NoAnswer(format!("{at}: {error}")))?;
    Ok(JsonAnswer { status, value })
}

/// Sends a request; returns the JSON body of a successful answer.
fn successful_value(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<Value, Failure> {
    let JsonAnswer { status, value } = json_request(at, method, path, body)?;
    let error_message = || value["error"]["message"].as_str().unwrap_or_default().to_owned();
    match status {
        200 | 202 => Ok(value),
        400 => Err(Failure::Input(error_message())),
        404 if error_message().starts_with("no such path") => Err(Failure::Run(format!(
            "{at}: this router does not agree on a policy with others: its [fleet] has no founders"
        ))),
        _ => Err(Failure::Run(format!("{at}: {status}: {}", error_message()))),
    }
}

/// A string member of a JSON object; empty if there is none.
fn string_member<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("")
}

/// The names in a JSON array, as a list to print.
fn name_list(value: &Value) -> String {
    let names = value.as_array().map_or(&[][..], Vec::as_slice);
    let names: Vec<&str> = names.iter().filter_map(Value::as_str).collect();
    if names.is_empty() {
        "nobody that is known here".into()
    } else {
        names.join(", ")
    }
}

fn wait_duration(text: &str) -> Result<Duration, Failure> {
    <Duration as slipreel_settings::Value>::read(text)
        .map_err(|expected| Failure::Input(format!("--wait {text:?}: expected {expected}")))
}

/// Reads the policy of a settings file; the router's own settings in it are reported and ignored.
fn read_policy(file: &Path) -> Result<String, Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let policy = policy_of(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))?;
    if !policy.non_policy_keys.is_empty() {
        eprintln!("left aside, as they are a router's own: {}", policy.non_policy_keys.join(", "));
    }
    Ok(policy.text)
}

fn rejections_text(outcome: &Value) -> String {
    let rejections = outcome["why"].as_array().map_or(&[][..], Vec::as_slice);
    let rejection_text = |rejection: &Value| {
        format!("{}: {}", string_member(rejection, "router"), string_member(rejection, "why"))
    };
    let rejections: Vec<String> = rejections.iter().map(rejection_text).collect();
    rejections.join("; ")
}

fn outcome_text(outcome: &Value) -> String {
    let id = string_member(outcome, "id");
    match string_member(outcome, "outcome") {
        "in force" => format!("{id}: in force as epoch {}", outcome["epoch"]),
        "dropped" => format!("{id}: dropped: {}", rejections_text(outcome)),
        "pending" => format!("{id}: under way, waits for {}", name_list(&outcome["waits_for"])),
        _ => format!("{id}: unknown here"),
    }
}

/// Prints an outcome; the result carries its exit code.
fn report_outcome(outcome: &Value, json: bool) -> Outcome {
    if json {
        println!("{outcome}");
    } else {
        println!("{}", outcome_text(outcome));
    }
    match string_member(outcome, "outcome") {
        "in force" => Ok(()),
        "dropped" => Err(Failure::Code(EXIT_DROPPED)),
        _ => Err(Failure::Code(EXIT_UNKNOWN)),
    }
}

/// Whether a router has accepted a change; `false`: the router is overloaded, and the change has to be sent
/// again.
fn was_accepted(at: SocketAddr, answer: &JsonAnswer) -> Result<bool, Failure> {
    let error_message = || string_member(&answer.value["error"], "message");
    match answer.status {
        202 => Ok(true),
        529 => Ok(false),
        400 => Err(Failure::Input(error_message().to_owned())),
        status => Err(Failure::Run(format!("{at}: {status}: {}", error_message()))),
    }
}

/// Sends a change until a router accepts it, and waits for its outcome.
fn send_change(args: &Change, path: impl Fn(&str) -> String, body: &str) -> Outcome {
    let (at, wait) = (args.at.at, wait_duration(&args.wait)?);
    let id = args.id.clone().unwrap_or_else(|| format!("p-{:016x}", rand::random::<u64>()));
    if args.id.is_none() {
        eprintln!("its id is {id}");
    }
    let deadline = Instant::now() + wait;
    let unknown = serde_json::json!({"id": id, "outcome": "unknown"});
    let mut last = unknown.clone();
    let mut sent = false;
    loop {
        if !sent {
            match json_request(at, "POST", &path(&id), body) {
                Ok(answer) => sent = was_accepted(at, &answer)?,
                Err(error @ RequestError::NotReceived(_)) if Instant::now() >= deadline => {
                    return Err(error.into());
                }
                // Sent again: with the same id it is the same change.
                Err(_) => {}
            }
        } else if let Ok(JsonAnswer { status: 200, value: outcome }) =
            json_request(at, "GET", &format!("/policy/status/{id}"), "")
        {
            if matches!(string_member(&outcome, "outcome"), "in force" | "dropped") {
                return report_outcome(&outcome, args.at.json);
            }
            last = outcome;
        }
        if Instant::now() >= deadline {
            return report_outcome(&last, args.at.json);
        }
        std::thread::sleep(POLL_INTERVAL.min(deadline.saturating_duration_since(Instant::now())));
    }
}

/// Prints the status of the router's policy, or the outcome of one change.
fn status(at: &At, id: Option<&String>) -> Outcome {
    if let Some(id) = id {
        let outcome = successful_value(at.at, "GET", &format!("/policy/status/{id}"), "")?;
        return report_outcome(&outcome, at.json);
    }
    let value = successful_value(at.at, "GET", "/policy/status", "")?;
    if at.json {
        println!("{value}");
        return Ok(());
    }
    let serving = if value["serving"] == true { "serving by it" } else { "not serving" };
    println!(
        "{}: epoch {}, digest {}, {serving}",
        string_member(&value, "name"),
        value["epoch"],
        string_member(&value, "digest")
    );
    let votes = if value["votes"] == true { "votes" } else { "does not vote" };
    println!(
        "voters: {}; this router {votes}; led by {}",
        name_list(&value["voters"]),
        value["leader"].as_str().unwrap_or("nobody known")
    );
    if let Some(id) = value["pending"]["id"].as_str() {
        println!(
            "under way: {id}, to be epoch {}, waits for {}",
            value["pending"]["epoch"],
            name_list(&value["pending"]["waits_for"])
        );
    }
    for fault in value["trouble"].as_array().map_or(&[][..], Vec::as_slice) {
        println!("trouble: {}", fault.as_str().unwrap_or_default());
    }
    Ok(())
}

fn history(at: &At) -> Outcome {
    let value = successful_value(at.at, "GET", "/policy/history", "")?;
    if at.json {
        println!("{value}");
        return Ok(());
    }
    if value["whole"] != true {
        println!("this router does not vote: it knows the last few alone");
    }
    for outcome in value["outcomes"].as_array().map_or(&[][..], Vec::as_slice) {
        let restored = outcome["back_to"].as_u64();
        let restored = restored.map_or(String::new(), |epoch| format!(", back to epoch {epoch}"));
        println!(
            "{} s by {}'s clock, digest {}{restored}: {}",
            outcome["when"],
            string_member(outcome, "from"),
            string_member(outcome, "digest"),
            outcome_text(outcome)
        );
    }
    Ok(())
}

pub(crate) fn run(args: &Args) -> Outcome {
    match &args.command {
        PolicyCommand::Show { at } => {
            let value = successful_value(at.at, "GET", "/policy/text", "")?;
            let shown = masked(string_member(&value, "text"));
            if at.json {
                println!("{}", serde_json::json!({"epoch": value["epoch"], "text": shown}));
            } else {
                println!("; epoch {}; keys of tenants are shown as marks\n{shown}", value["epoch"]);
            }
            Ok(())
        }
        PolicyCommand::Diff { file, at } => {
            let proposed = read_policy(file)?;
            let value = successful_value(at.at, "GET", "/policy/text", "")?;
            let differences = changes(string_member(&value, "text"), &proposed)
                .map_err(|faults| Failure::Input(lines(&faults)))?;
            if at.json {
                println!("{}", serde_json::json!({"epoch": value["epoch"], "changes": differences}));
            } else if differences.is_empty() {
                println!("nothing: it is the policy of epoch {}", value["epoch"]);
            } else {
                differences.iter().for_each(|line| println!("{line}"));
            }
            Ok(())
        }
        PolicyCommand::Propose { file, change: args } => {
            let proposed = read_policy(file)?;
            send_change(args, |id| format!("/policy/propose/{id}"), &proposed)
        }
        PolicyCommand::Rollback { epoch, change: args } => {
            send_change(args, |id| format!("/policy/rollback/{id}/{epoch}"), "")
        }
        PolicyCommand::Status { id, at } => status(at, id.as_ref()),
        PolicyCommand::History { at } => history(at),
    }
}
