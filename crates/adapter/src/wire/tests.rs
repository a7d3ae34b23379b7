use super::decode::outcome_of;
use super::*;
use slipreel::{
    Action, CellId, EjectionCause, EngineId, EngineState, Event, Listing, LoadReport, LogEvent, Outcome,
    RequestId, TimerId,
};
use slipreel_platform_settings::Column;
use std::time::Duration;

/// Parses hexadecimal digits; white space is skipped.
fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap();
    digits.chunks(2).map(pair).collect()
}

/// A batch of one record.
fn batch(code: u8, fields: &str) -> Vec<u8> {
    let fields = bytes(fields);
    let clock = 240f64.to_be_bytes();
    let size = (fields.len() as u32).to_be_bytes();
    [&clock[..], &1u32.to_be_bytes(), &[code], &size, &fields].concat()
}

/// Decodes a batch of one record.
fn decode(code: u8, fields: &str) -> Result<Input, MalformedFrame> {
    let frame = batch(code, fields);
    let columns = [Column::MemoryShare, Column::WaitingThousands];
    let mut batch = Batch::open(&frame)?;
    assert_eq!(batch.clock, Some(Duration::from_millis(240)));
    let input = batch.next(|_| &columns)?.expect("one record");
    assert_eq!(batch.next(|_| &columns), Ok(None));
    Ok(input)
}

/// Decodes a record of an event for router 3.
fn event(code: u8, fields: &str) -> Event {
    match decode(code, fields) {
        Ok(Input::Event(3, event)) => event,
        other => panic!("{other:?}"),
    }
}

const ENGINE: u64 = 0x0a12_4a07_2bc3;
/// The fields of router 3 and of a request's id.
const ROUTER_AND_REQUEST: &str = "0003 000a5e3e5d3a91c4";

#[test]
fn each_event_record_is_decoded() {
    assert_eq!(
        decode(1, "0003 0000000000000007 00000003 613d31"),
        Ok(Input::Attach { router: 3, seed: 7, profile: "a=1".into() })
    );
    assert_eq!(decode(10, "0003"), Ok(Input::Stop(3)));
    let list = "0003 02 00000029 00000002
        00 00 0000 0000000000000000 3f800000 0000 0a124a07 2bc3
        03 00 0001 40b7d40000000000 3fc00000 0002 0a9011f2 2bec";
    let Event::Engines { listing, engines } = event(2, list) else { panic!() };
    assert_eq!((listing, engines.len()), (Listing::Cached, 2));
    assert_eq!((engines[0].id, engines[0].started_at), (EngineId(ENGINE), None));
    assert_eq!((engines[1].state, engines[1].cell), (EngineState::Draining, CellId(2)));
    assert_eq!(engines[1].started_at, Some(Duration::from_millis(6100)));
    let request_record = "0003 000a5e3e5d3a91c4 2b8e6401d9f37c10 0000 44e10000 0000 01 44960000
        91f03b7c55d20a64 43800000 4028000000000000 406e000000000000";
    let Event::Request(request) = event(3, request_record) else { panic!() };
    assert_eq!(request.id, RequestId(0x000a_5e3e_5d3a_91c4));
    assert_eq!(request.shared_prefix, Some(0x2b8e_6401_d9f3_7c10));
    assert_eq!((request.prompt_tokens, request.max_output_tokens), (1800.0, 256.0));
    assert_eq!(request.client_timeout, Duration::from_millis(240));
    let first = event(4, &format!("{ROUTER_AND_REQUEST} 4032800000000000 0001 0a124a07 2bc3"));
    assert!(matches!(first, Event::FirstToken { attempt: 1, .. }));
    let ended_record = format!(
        "{ROUTER_AND_REQUEST} 0000 0a124a07 2bc3 00ca 4032800000000000 00 00000064 02 3ecccccd 3fa00000"
    );
    let Event::AttemptEnded(ended) = event(5, &ended_record) else { panic!() };
    assert_eq!(
        (ended.outcome, ended.request_finished, ended.cached_tokens),
        (Outcome::Prefilled, false, 100.0)
    );
    assert_eq!(ended.report.waiting_tokens, Some(1250.0));
    assert_eq!(event(6, ROUTER_AND_REQUEST), Event::ClientDisconnected(RequestId(0x000a_5e3e_5d3a_91c4)));
    assert_eq!(event(7, "0003 000000000000004d"), Event::TimerFired(TimerId(0x4d)));
    let probed = event(8, "0003 0a124a07 2bc3 0001 4032800000000000 00");
    assert!(matches!(
        probed,
        Event::ProbeEnded { engine: EngineId(ENGINE), outcome: Outcome::Completed, .. }
    ));
    assert_eq!(event(9, "0003 00000001 0002 6869"), Event::PeerMessage { from: 1, body: b"hi".to_vec() });
    let answer = event(11, &format!("{ROUTER_AND_REQUEST} 0000 0a124a07 2bc3 01 00000000"));
    assert!(matches!(answer, Event::ReservationAnswered { granted: true, .. }));
}

#[test]
fn each_status_gives_its_outcome_and_an_unknown_one_gives_none() {
    let rejected = |state_missing| Some(Outcome::Rejected { state_missing });
    assert_eq!((outcome_of(2, 0), outcome_of(2, 1)), (rejected(false), rejected(true)));
    for (status, proves) in
        [(0, false), (3, false), (4, true), (5, false), (6, false), (7, true), (202, true)]
    {
        assert_eq!(outcome_of(status, 0).unwrap().proves_not_run(), proves, "{status}");
    }
    assert_eq!(outcome_of(99, 0), None);
}

#[test]
fn each_action_is_encoded() {
    let id = RequestId(0x000a_5e3e_5d3a_91c4);
    let engine = EngineId(ENGINE);
    let wait = Duration::from_millis(80);
    let cases: Vec<(Action, String)> = vec![
        (Action::Fail(id), format!("01 0000000a {ROUTER_AND_REQUEST}")),
        (Action::CloseIdleConnections(engine), "03 00000008 0003 0a124a07 2bc3".into()),
        (Action::MigrateStream(id), format!("04 0000000a {ROUTER_AND_REQUEST}")),
        (Action::WatchEngines(true), "05 00000003 0003 01".into()),
        (
            Action::Log(LogEvent::EngineEjected {
                engine,
                duration: Duration::from_millis(1_250),
                cause: EjectionCause::ConnectFailed,
            }),
            // "engine a124a072bc3 ejected for 1250 ms: no connection"
            "06 00000039 0003 0035 656e67696e6520613132346130373262633320656a656374656420666f722031323530206d733a206e6f20636f6e6e656374696f6e"
                .into(),
        ),
        (Action::FetchEngines, "07 00000002 0003".into()),
        (
            Action::Send { request: id, engine, timeout: Some(wait) },
            format!("08 00000018 {ROUTER_AND_REQUEST} 0a124a07 2bc3 4054000000000000"),
        ),
        (
            Action::Reject { request: id, retry_after: None, over_quota: false },
            format!("09 00000012 {ROUTER_AND_REQUEST} 0000000000000000"),
        ),
        (Action::Reserve { request: id, engine }, format!("0a 00000010 {ROUTER_AND_REQUEST} 0a124a07 2bc3")),
        (Action::Probe(engine), "0b 00000008 0003 0a124a07 2bc3".into()),
        (
            Action::SendToPeer { to: None, body: b"hi 7".to_vec() },
            "0c 0000000a 0003 ffff 0004 68692037".into(),
        ),
        (
            Action::SetTimer { timer: TimerId(0x4d), after: wait },
            "0d 00000012 0003 000000000000004d 4054000000000000".into(),
        ),
        (Action::Release(id), format!("0e 0000000a {ROUTER_AND_REQUEST}")),
        (Action::Cancel { request: id, attempt: 1 }, format!("0f 0000000c {ROUTER_AND_REQUEST} 0001")),
    ];
    for (action, hex) in cases {
        let mut reply = Reply::default();
        reply.add_action(3, &action);
        assert_eq!(reply.frame()[8..], bytes(&hex), "{action:?}");
    }
    let mut reply = Reply::default();
    reply.add_fault(3, "hi");
    reply.add_fault(4, "gone");
    reply.discard(4);
    assert_eq!(reply.frame(), bytes("0000000f 00000001 02 00000006 0003 0002 6869"));
}

#[test]
fn invalid_times_and_lengths_are_treated_as_absent() {
    let nan = "7ff8000000000000";
    let request_record =
        format!("{ROUTER_AND_REQUEST} 0000000000000000 0000 ffc00000 0000 00 bf800000 0000000000000001 7f800000 {nan} {nan}");
    let Event::Request(request) = event(3, &request_record) else { panic!() };
    assert_eq!((request.prompt_tokens, request.max_output_tokens), (0.0, 0.0));
    assert_eq!((request.client_timeout, request.shared_prefix), (Duration::ZERO, None));
    let negative = format!(
        "{ROUTER_AND_REQUEST} 0000 0a124a07 2bc3 0001 bff0000000000000 01 00000000 02 7fc00000 bf800000"
    );
    let Event::AttemptEnded(ended) = event(5, &negative) else { panic!() };
    assert_eq!((ended.latency, ended.report), (Duration::ZERO, LoadReport::default()));
}

#[test]
fn unknown_codes_are_skipped_and_longer_records_are_decoded() {
    assert_eq!(decode(77, "ff"), Ok(Input::Unknown));
    assert_eq!(decode(10, "0003 ffff"), Ok(Input::Stop(3)));
}

#[test]
fn the_error_of_a_malformed_frame_gives_its_offset() {
    assert_eq!(decode(6, "0003 00"), Err(MalformedFrame { at: 23, reason: "field runs past its record" }));
    let short = decode(1, "0003 0000000000000007 ffffffff 61");
    assert_eq!(short, Err(MalformedFrame { at: 35, reason: "content is shorter than its count" }));
    assert!(decode(2, "0003 00 00000000 ffffffff 00").is_err());
    let mut frame = batch(6, ROUTER_AND_REQUEST);
    frame.truncate(20);
    assert!(Batch::open(&frame).unwrap().next(|_| &[]).is_err());
    frame = batch(6, ROUTER_AND_REQUEST);
    frame.push(0);
    let mut batch = Batch::open(&frame).unwrap();
    batch.next(|_| &[]).unwrap();
    assert_eq!(batch.next(|_| &[]).unwrap_err().reason, "bytes after the last record");
    assert!(Batch::open(&[0; 5]).is_err());
}

#[test]
fn a_truncated_stream_is_an_error_and_a_clean_end_is_not() {
    assert_eq!(read_frame(&mut &[][..]).unwrap(), None);
    assert_eq!(read_frame(&mut &bytes("00000001 07")[..]).unwrap(), Some(vec![7]));
    for truncated in ["0000", "ffffffff 00"] {
        assert!(read_frame(&mut &bytes(truncated)[..]).is_err(), "{truncated}");
    }
}
