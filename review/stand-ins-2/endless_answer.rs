//! One `serve`; one writer whose answers never end. A client asks for a whole answer (`stream` is false) and
//! waits for it, longer than its class waits.

use crate::chat_engine::{self, ChatEngine, Fault};
use crate::common::*;
use std::time::{Duration, Instant};

/// How long clients wait: the class says 4 s.
const WAIT: Duration = Duration::from_secs(75);

pub fn run(folder: &str) -> i32 {
    let case = Case::open(folder);
    let record = case.record.clone();
    let fault = if case.trouble { Fault::Endless } else { Fault::None };
    let (_reader, reader_at) = ChatEngine::start("reader", true, Fault::None, &record);
    let (writer, writer_at) = ChatEngine::start("writer", false, fault, &record);
    let engines =
        vec![("e0".to_owned(), reader_at, "read"), ("e1".to_owned(), writer_at, "write")];
    let (listen, operators) = (free_address(), free_address());
    // By docs/operators.md memory is at most `connections` x (`unsent` + `body`) and 8 KiB a stream: 20.5 MiB here.
    let bounds = "connections = 64\nrequests = 64\nbody = 256KiB\nunsent = 64KiB\nsilent_stream = 5s\nstalled_peer = 5s";
    let text = chat_engine::settings(listen, operators, "safe", bounds, &engines);
    let Some(router) = chat_engine::start_serve(&case, &text, listen) else {
        return case.could_not_run("the router was not healthy within 20 s");
    };
    let before = router.memory();
    let body = r#"{"model":"check-1","max_tokens":8,"messages":[{"role":"user","content":"about mark-1 please"}]}"#;
    let began = Instant::now();
    let clients: Vec<_> = (0..3)
        .map(|n| {
            let record = record.clone();
            std::thread::spawn(move || {
                let session = format!("s-{n}");
                let answer = ask(listen, &post("/v1/messages", &[("x-session-id", &session)], body), WAIT);
                let seconds = began.elapsed().as_secs_f64();
                match &answer {
                    Some(answer) => record.say(format!("client {n}: answered {} after {seconds:.1} s", answer.status)),
                    None => record.say(format!("client {n}: no answer after {seconds:.1} s")),
                }
                answer.is_some_and(|answer| answer.whole)
            })
        })
        .collect();
    let mut most = before;
    while !clients.iter().all(std::thread::JoinHandle::is_finished) {
        sleep(1_000);
        most = most.max(router.memory());
        record.line(format!("the router holds {:.1} MB", router.memory() as f64 / 1e6));
    }
    let answered = clients.into_iter().filter_map(|client| client.join().ok()).filter(|answered| *answered).count();
    record.say(format!(
        "{answered} of 3 requests answered; the writer ran {}; memory of the router: {:.1} MB before, {:.1} MB at most",
        writer.ran.lock().unwrap().len(),
        before as f64 / 1e6,
        most as f64 / 1e6
    ));
    router.log_text().lines().for_each(|line| record.line(format!("log of the router: {line}")));
    case.verdict(answered < 3, "each request that was taken gets a final answer")
}
