use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn lease_holder() -> LeaseHolder {
    LeaseHolder::new(Box::new(|text: &str| match text {
        "bad" => Err(InvalidPolicy::new("line 1: bad")),
        text => Ok(Arc::new(text.to_owned()) as CompiledPolicy),
    }))
}

fn prepared(id: &str, rejection: Option<&str>) -> PrepareResponse {
    PrepareResponse { id: id.into(), rejection: rejection.map(str::to_owned) }
}

fn grant(nonce: u64, epoch: u64, text: &str, lease_ms: u32) -> Grant {
    let granted_text = Some(text.to_owned());
    Grant { nonce, epoch, digest: digest(text), lease_ms, text: granted_text, ..Grant::default() }
}

fn prepare(id: &str, text: &str) -> PrepareRequest {
    PrepareRequest { id: id.into(), text: Some(text.into()), waits_for: Vec::new() }
}

#[test]
fn lease_counts_from_the_request_and_not_from_the_grant() {
    let mut holder = lease_holder();
    let request = holder.next_request(MS(1_000));
    holder.apply_grant(MS(1_900), grant(request.nonce, 1, "one", 3_000));
    assert_eq!((holder.epoch(), holder.until()), (1, MS(4_000)));
    holder.apply_grant(MS(1_900), grant(99, 1, "one", 3_000));
    assert_eq!(holder.until(), MS(4_000), "the grant answers no request");
}

#[test]
fn prepared_change_ends_the_long_lease_and_earlier_grants_do_not_count() {
    let mut holder = lease_holder();
    let first = holder.next_request(MS(0));
    holder.apply_grant(MS(1), grant(first.nonce, 1, "one", 3_000));
    let long_request = holder.next_request(MS(100));
    let announced =
        Grant { prepare_request: Some(prepare("x", "two")), lease_ms: 0, ..grant(0, 1, "one", 0) };
    assert!(holder.apply_grant(MS(110), announced.clone()).request_due);
    let short = holder.next_request(MS(111));
    assert!(short.short_leases_since == short.nonce && short.prepare_response == Some(prepared("x", None)));
    assert_eq!(holder.until(), MS(111) + timing::SHORT_LEASE);
    holder.apply_grant(
        MS(112),
        Grant {
            prepare_request: announced.prepare_request.clone(),
            ..grant(long_request.nonce, 1, "one", 3_000)
        },
    );
    assert_eq!(holder.until(), MS(111) + timing::SHORT_LEASE, "granted before the change was prepared");
    let next = holder.next_request(MS(131));
    holder.apply_grant(
        MS(132),
        Grant { prepare_request: announced.prepare_request.clone(), ..grant(next.nonce, 1, "one", 80) },
    );
    assert_eq!(holder.until(), MS(211));
    let effect = holder.apply_grant(MS(140), Grant { text: None, ..grant(next.nonce, 2, "two", 3_000) });
    assert!(effect.epoch_changed && holder.epoch() == 2 && holder.until() == MS(3_131));
    holder.apply_grant(MS(150), grant(next.nonce, 1, "one", 3_000));
    assert_eq!(holder.epoch(), 2, "a router does not return to an earlier epoch");
}

#[test]
fn rejected_policy_is_reported_and_the_long_lease_stays() {
    let mut holder = lease_holder();
    let first = holder.next_request(MS(0));
    holder.apply_grant(MS(1), grant(first.nonce, 1, "one", 3_000));
    let announced = Grant { prepare_request: Some(prepare("x", "bad")), ..grant(0, 1, "one", 0) };
    holder.apply_grant(MS(10), announced);
    let request = holder.next_request(MS(11));
    assert_eq!(
        (request.prepare_response, request.short_leases_since),
        (Some(prepared("x", Some("line 1: bad"))), 0)
    );
    assert_eq!(holder.until(), MS(3_000));
    let effect = holder
        .apply_grant(MS(20), Grant { text: Some("bad".into()), ..grant(request.nonce, 2, "bad", 3_000) });
    assert!(
        !effect.epoch_changed && holder.policy_error().is_some() && holder.until() == Duration::ZERO,
        "the policy can't be compiled"
    );
}

#[test]
fn released_lease_is_not_restored_by_a_late_grant() {
    let mut holder = lease_holder();
    let first = holder.next_request(MS(0));
    holder.apply_grant(MS(1), grant(first.nonce, 1, "one", 3_000));
    let late = holder.next_request(MS(500));
    assert!(holder.release().released && holder.until() == Duration::ZERO);
    holder.apply_grant(MS(501), grant(late.nonce, 1, "one", 3_000));
    assert_eq!(holder.until(), Duration::ZERO);
}

#[test]
fn missing_policy_is_requested_and_no_lease_is_held() {
    let mut holder = lease_holder();
    let first = holder.next_request(MS(0));
    let effect = holder.apply_grant(MS(1), Grant { text: None, ..grant(first.nonce, 3, "three", 3_000) });
    assert!(effect.request_due && holder.epoch() == 0 && holder.until() == Duration::ZERO);
}
