//! `fleet`: shows and changes the fleet as a running router sees it, through requests to its operators' port.

use crate::{Failure, Outcome};
use clap::{Args as ClapArgs, Subcommand};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How often `watch` polls the router.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit for the connection to a router, and for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes after which an answer is cut off.
const MAX_ANSWER_LEN: u64 = 4 << 20;

#[derive(ClapArgs)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: FleetCommand,
}

#[derive(ClapArgs)]
struct At {
    /// The address of a router's operators' port.
    #[arg(long)]
    at: SocketAddr,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Show the members that this router knows.
    Status {
        #[command(flatten)]
        at: At,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print a line for each change, until the command is stopped.
    Watch {
        #[command(flatten)]
        at: At,
        /// Stop after this many seconds.
        #[arg(long = "for")]
        seconds: Option<u64>,
    },
    /// Make this router leave its fleet before a planned stop. It goes on serving but is no longer ready.
    Leave {
        #[command(flatten)]
        at: At,
    },
    /// Replace a voter on the policy that is permanently gone; another router votes in its place.
    Replace {
        /// The name of the voter that is gone.
        old: String,
        /// The name of the router that votes instead; by default the member that has been in the fleet
        /// longest.
        #[arg(long)]
        with: Option<String>,
        #[command(flatten)]
        at: At,
    },
    /// Remove a member that is permanently gone, so that it no longer counts. If it still runs, it joins
    /// again by itself.
    Forget {
        /// The member's name.
        name: String,
        #[command(flatten)]
        at: At,
    },
}

/// An HTTP answer of a router.
pub(crate) struct HttpAnswer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// Sends an HTTP request to an operators' port and reads the answer.
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

/// Sends a request without a body; returns the body of a successful answer.
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

/// A string member of a JSON object; empty if there is none.
fn string_member<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("")
}

fn members(view: &Value) -> &[Value] {
    view["members"].as_array().map_or(&[], Vec::as_slice)
}

fn print_status(view: &Value) {
    let settled = if view["settled"] == true { "settled" } else { "not settled" };
    println!(
        "{} of fleet {}: {}, {settled}, digest {}, {} routers to reckon with",
        string_member(view, "name"),
        string_member(view, "fleet"),
        string_member(view, "standing"),
        string_member(view, "digest"),
        view["routers"]
    );
    let name_width =
        members(view).iter().map(|member| string_member(member, "name").len()).max().unwrap_or(0).max(4);
    println!("{:name_width$}  {:8}  {:>11}  {:21}  for", "name", "state", "incarnation", "address");
    for member in members(view) {
        let since = Duration::from_millis(member["since_ms"].as_u64().unwrap_or(0) / 100 * 100);
        println!(
            "{:name_width$}  {:8}  {:>11}  {:21}  {since:?}{}",
            string_member(member, "name"),
            string_member(member, "state"),
            member["incarnation"].to_string(),
            string_member(member, "address"),
            if member["left"] == true { ", left in order" } else { "" }
        );
    }
}

/// The values that `watch` compares, by the label that it prints.
fn watched_values(view: &Value) -> BTreeMap<String, String> {
    let mut values: BTreeMap<String, String> = members(view)
        .iter()
        .map(|member| {
            let (state, address) = (string_member(member, "state"), string_member(member, "address"));
            let value = format!("{state} incarnation {} at {address}", member["incarnation"]);
            (format!("member {}", string_member(member, "name")), value)
        })
        .collect();
    let settled = if view["settled"] == true { "settled" } else { "not settled" };
    values.insert("view".into(), format!("{settled}, digest {}", string_member(view, "digest")));
    values.insert("standing".into(), string_member(view, "standing").to_owned());
    values.insert("routers".into(), view["routers"].to_string());
    values
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
    let mut last_values = BTreeMap::new();
    let mut unreachable = false;
    while seconds.is_none_or(|seconds| start.elapsed() < Duration::from_secs(seconds)) {
        let ms = start.elapsed().as_millis();
        match status(at) {
            Ok(view) => {
                let now = watched_values(&view);
                if std::mem::take(&mut unreachable) {
                    println!("{ms} ms: {at} answers again");
                }
                print_changes(ms, &last_values, &now);
                last_values = now;
            }
            Err(Failure::Code(_)) => {}
            Err(Failure::Run(why) | Failure::Input(why)) => {
                if !std::mem::replace(&mut unreachable, true) {
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
        FleetCommand::Status { at, json: false } => print_status(&status(at.at)?),
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
