use super::*;
use host::panic_text;
use std::panic::catch_unwind;

const PROFILE: &str = "classes.count=1\nclasses.0.target=800\nclasses.0.worth=1\n\
                       classes.0.streaming=true\nextra.role_by_kind=read,write\n";

/// A batch of records, without the frame's length field.
fn frame(records: &[Vec<u8>]) -> Vec<u8> {
    let clock = 240f64.to_be_bytes();
    [&clock[..], &(records.len() as u32).to_be_bytes(), &records.concat()].concat()
}

/// A record for router 3.
fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let fields = [&3u16.to_be_bytes()[..], &fields.concat()].concat();
    [&[code][..], &(fields.len() as u32).to_be_bytes(), &fields].concat()
}

fn attach(profile: &str) -> Vec<u8> {
    let length = (profile.len() as u32).to_be_bytes();
    record(1, &[&7u64.to_be_bytes(), &length, profile.as_bytes()])
}

/// A request with a client timeout of 4,000 ms; its other fields are 0.
fn request(id: u64) -> Vec<u8> {
    let client_timeout = 4000f64.to_be_bytes();
    record(
        3,
        &[
            &id.to_be_bytes(),
            &[0; 8],
            &[0; 2],
            &[0; 4],
            &[0; 2],
            &[0],
            &[0; 4],
            &[0; 8],
            &[0; 4],
            &[0; 8],
            &client_timeout,
        ],
    )
}

/// The number of records in a reply.
fn record_count(reply: &[u8]) -> u32 {
    u32::from_be_bytes(reply[4..8].try_into().unwrap())
}

#[test]
fn an_empty_batch_is_answered_by_an_empty_reply() {
    assert_eq!(Host::default().process_batch(&frame(&[])), Ok(vec![0, 0, 0, 4, 0, 0, 0, 0]));
}

#[test]
fn a_request_without_any_engines_is_rejected() {
    let reply = Host::default().process_batch(&frame(&[attach(PROFILE), request(9)])).unwrap();
    assert_eq!((reply[8], record_count(&reply) >= 1), (13, true));
    assert!(reply.windows(13).any(|w| w[0] == 9 && w[7..15.min(w.len())].starts_with(&[0; 5])));
}

#[test]
fn a_restart_within_a_batch_discards_earlier_actions() {
    let batch = frame(&[attach(PROFILE), request(9), record(10, &[]), attach(PROFILE)]);
    assert_eq!(record_count(&Host::default().process_batch(&batch).unwrap()), 0);
}

#[test]
fn an_invalid_setting_is_a_fault_that_names_its_key() {
    let reply = Host::default().process_batch(&frame(&[attach("classes.count=x")])).unwrap();
    assert_eq!(reply[8], 2);
    assert!(String::from_utf8_lossy(&reply).contains("classes.count"));
}

#[test]
fn malformed_input_ends_the_run_with_an_error() {
    let error = run(&[0, 0, 0, 9, 1][..], Vec::new()).unwrap_err();
    assert_eq!(error.to_string(), "frame truncated at byte 5");
    assert!(matches!(run(&[][..], Vec::new()), Ok(())));
}

#[test]
fn a_panic_is_reported_with_its_message() {
    let panic = catch_unwind(|| panic!("no {}", "way")).unwrap_err();
    assert_eq!(panic_text(&*panic), "no way");
}
