//! `fleet`: the fleet as a running router sees it, by requests to its operators' port.

use crate::{Failure, Outcome};
use clap::{Args as ClapArgs, Subcommand};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How often `watch` polls the router.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// How long a router may take to connect or to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest answer that is read, bytes.
const MAX_ANSWER_LEN: u64 = 4 << 20;

#[derive(ClapArgs)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: FleetCommand,
}

#[derive(ClapArgs)]
struct At {
    /// The operators' port of the router that is asked.
    #[arg(long)]
    at: SocketAddr,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Who is there, as this router knows.
    Status {
        #[command(flatten)]
        at: At,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// A line for each change, until it is stopped.
    Watch {
        #[command(flatten)]
        at: At,
        /// End after so many seconds.
        #[arg(long = "for")]
        seconds: Option<u64>,
    },
    /// This router says goodbye to its fleet, ahead of a planned stop. It goes on serving and is not ready any more.
    Leave {
        #[command(flatten)]
        at: At,
    },
    /// A voter on the policy is gone for good: another router votes in its place.
    Replace {
        /// Its name.
        old: String,
        /// Who takes its place; if it is not said, the one that has been there longest.
        #[arg(long)]
        with: Option<String>,
        #[command(flatten)]
        at: At,
    },
    /// A member is gone for good: it does not count any more. If it runs, it comes back by itself.
    Forget {
        /// Its name.
        name: String,
        #[command(flatten)]
        at: At,
    },
}

/// The answer of a router.
pub(crate) struct HttpAnswer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// Sends a request to an operators' port, and reads the answer.
pub(crate) fn http_request(
    at: SocketAddr, method: &str, path: &str, body: &str,
) -> std::io::Result<HttpAnswer> {
    let mut stream = TcpStream::connect_timeout(&at, ANSWER_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {at}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    let mut text = String::new();
    stream.take(MAX_ANSWER_LEN).read_to_string(&mut text)?;
    let malformed = || std::io::Error::new(std::io::ErrorKind::InvalidData, "not an answer of a router");
    let status = text.get(9..12).and_then(|digits| digits.parse().ok()).ok_or_else(malformed)?;
    let body = text.split_once("\r\n\r\n").ok_or_else(malformed)?.1;
    Ok(HttpAnswer { status, body: body.to_owned() })
}

/// The body of an answer that reports success.
fn successful_body(at: SocketAddr, method: &str, path: &str) -> Result<String, Failure> {
    let answer = http_request(at, method, path, "").map_err(|e| Failure::Run(format!("{at}: {e}")))?;
    let HttpAnswer { status, body } = answer;
    let error_message = || {
        let error = serde_json::from_str::<Value>(&body).ok();
        let message = error.and_then(|error| error["error"]["message"].as_str().map(str::to_owned));
        message.unwrap_or_else(|| body.clone())
    };
    match status {
        200 | 202 => Ok(body),
        404 if path == "/fleet/status" => Err(Failure::Run(format!(
            "{at}: this router is no member of a fleet: its settings have no [fleet]"
        ))),
        _ => Err(Failure::Run(format!("{at}: {status}: {}", error_message()))),
    }
}

fn status(at: SocketAddr) -> Result<Value, Failure> {
    let body = successful_body(at, "GET", "/fleet/status")?;
    serde_json::from_str(&body).map_err(|e| Failure::Run(format!("{at}: {e}")))
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("")
}

fn members(view: &Value) -> &[Value] {
    view["members"].as_array().map_or(&[], Vec::as_slice)
}

fn print(view: &Value) {
    let settled = if view["settled"] == true { "settled" } else { "not settled" };
    println!(
        "{} of fleet {}: {}, {settled}, digest {}, {} routers to reckon with",
        text(view, "name"),
        text(view, "fleet"),
        text(view, "standing"),
        text(view, "digest"),
        view["routers"]
    );
    let widest = members(view).iter().map(|member| text(member, "name").len()).max().unwrap_or(0).max(4);
    println!("{:widest$}  {:8}  {:>11}  {:21}  for", "name", "state", "incarnation", "address");
    for member in members(view) {
        let since = Duration::from_millis(member["since_ms"].as_u64().unwrap_or(0) / 100 * 100);
        println!(
            "{:widest$}  {:8}  {:>11}  {:21}  {since:?}{}",
            text(member, "name"),
            text(member, "state"),
            member["incarnation"].to_string(),
            text(member, "address"),
            if member["left"] == true { ", left in order" } else { "" }
        );
    }
}

/// The facts that `watch` compares, by their subjects.
fn facts(view: &Value) -> BTreeMap<String, String> {
    let mut facts: BTreeMap<String, String> = members(view)
        .iter()
        .map(|member| {
            let (state, address) = (text(member, "state"), text(member, "address"));
            let fact = format!("{state} incarnation {} at {address}", member["incarnation"]);
            (format!("member {}", text(member, "name")), fact)
        })
        .collect();
    let settled = if view["settled"] == true { "settled" } else { "not settled" };
    facts.insert("view".into(), format!("{settled}, digest {}", text(view, "digest")));
    facts.insert("standing".into(), text(view, "standing").to_owned());
    facts.insert("routers".into(), view["routers"].to_string());
    facts
}

fn print_changes(ms: u128, before: &BTreeMap<String, String>, now: &BTreeMap<String, String>) {
    for (key, value) in now {
        if before.get(key) != Some(value) {
            println!("{ms} ms: {key}: {value}");
        }
    }
    for key in before.keys().filter(|key| !now.contains_key(*key)) {
        println!("{ms} ms: {key}: not listed any more");
    }
}

/// Prints changes until `seconds` have passed; `None`: until the process is stopped.
fn watch(at: SocketAddr, seconds: Option<u64>) {
    let start = std::time::Instant::now();
    let mut known = BTreeMap::new();
    let mut silent = false;
    while seconds.is_none_or(|seconds| start.elapsed() < Duration::from_secs(seconds)) {
        let ms = start.elapsed().as_millis();
        match status(at) {
            Ok(view) => {
                let now = facts(&view);
                if std::mem::take(&mut silent) {
                    println!("{ms} ms: {at} answers again");
                }
                print_changes(ms, &known, &now);
                known = now;
            }
            Err(Failure::Code(_)) => {}
            Err(Failure::Run(why) | Failure::Input(why)) => {
                if !std::mem::replace(&mut silent, true) {
                    println!("{ms} ms: {why}");
                }
            }
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

pub(crate) fn run(args: &Args) -> Outcome {
    match &args.command {
        FleetCommand::Status { at, json: true } => {
            println!("{}", successful_body(at.at, "GET", "/fleet/status")?);
        }
        FleetCommand::Status { at, json: false } => print(&status(at.at)?),
        FleetCommand::Watch { at, seconds } => watch(at.at, *seconds),
        FleetCommand::Leave { at } => {
            successful_body(at.at, "POST", "/fleet/leave")?;
            println!("{}: says goodbye", at.at);
        }
        FleetCommand::Replace { old, with, at } => {
            let with = with.as_ref().map(|name| format!("/{name}")).unwrap_or_default();
            successful_body(at.at, "POST", &format!("/policy/replace/{old}{with}"))?;
            println!("{old}: another takes its vote; `slipreel policy status` shows who votes");
        }
        FleetCommand::Forget { name, at } => {
            successful_body(at.at, "POST", &format!("/fleet/forget/{name}"))?;
            println!("{name}: declared gone");
        }
    }
    Ok(())
}
