use super::*;
use crate::policy_state;

#[test]
fn incomplete_frame_needs_more_bytes_and_changed_frame_is_rejected() {
    let from = Peer { name: "a".into(), disk: 3, incarnation: 4 };
    let request = LeaseRequest {
        nonce: 7,
        prepare_response: Some(PrepareResponse { id: "x".into(), rejection: None }),
        ..LeaseRequest::default()
    };
    let bytes =
        Frame { fleet: "f".into(), from: from.clone(), body: Body::LeaseRequest(request.clone()) }.encode();
    for cut in 0..bytes.len() {
        assert!(matches!(Frame::decode(&bytes[..cut]), Ok(None)), "cut at {cut}");
    }
    let DecodedFrame { frame, encoded_len } =
        Frame::decode(&[&bytes[..], b"more"].concat()).expect("a valid frame").expect("complete");
    assert_eq!((frame.from, encoded_len), (from, bytes.len()));
    assert!(matches!(frame.body, Body::LeaseRequest(decoded) if decoded == request));
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1;
        assert!(!matches!(Frame::decode(&damaged), Ok(Some(_))), "byte {at}");
    }
    assert_eq!(Frame::decode(b"slFT").err(), Some(FrameError::NotAFrame));
}

/// One frame of each kind as the build before issue 50 encoded them. They must not be regenerated.
const FRAMES: &[u8] = include_bytes!("../../tests/data/wire-frames.bin");

fn sent_peer(name: &str) -> Peer {
    Peer { name: name.into(), disk: 300, incarnation: u64::MAX }
}

fn sent_proposal() -> Proposal {
    Proposal {
        id: "x".into(),
        text: "policy".into(),
        from: "router-b".into(),
        submitted_unix_s: 9,
        base_epoch: 2,
        restores_epoch: Some(1),
    }
}

fn sent_term() -> Term {
    Term { configuration: 7, ballot: 5, voter: 2 }
}

fn sent_rejection() -> policy_state::Rejection {
    policy_state::Rejection { router: "router-c".into(), reason: "expected a time".into() }
}

fn sent_lease_request() -> LeaseRequest {
    LeaseRequest {
        nonce: 1,
        epoch: 2,
        digest: 3,
        version: StateVersion { configuration: 4, applied: 5 },
        prepare_response: Some(PrepareResponse { id: "x".into(), rejection: Some("expected a time".into()) }),
        short_leases_since: 6,
        released: true,
    }
}

fn sent_grant() -> Grant {
    let outcome = ProposalOutcome {
        id: "w".into(),
        from: "router-b".into(),
        submitted_unix_s: 8,
        digest: 9,
        epoch: Some(2),
        restores_epoch: Some(1),
        rejections: vec![sent_rejection()],
    };
    Grant {
        nonce: 1,
        term: sent_term(),
        leader: "router-a".into(),
        epoch: 2,
        digest: 3,
        lease_ms: 3_000,
        text: Some("policy".into()),
        prepare_request: Some(PrepareRequest {
            id: "x".into(),
            text: Some("next".into()),
            waits_for: vec!["router-c".into()],
        }),
        version: StateVersion { configuration: 4, applied: 5 },
        recent: Some(vec![outcome]),
        voters: vec!["router-a".into(), "router-b".into()],
    }
}

fn sent_configuration() -> Configuration {
    let voters = vec![crate::voter_identity::VoterIdentity { name: "router-a".into(), disk: 11 }];
    Configuration {
        number: 7,
        voters,
        initial_state: policy_state::PolicyState::founded("policy", "router-a", 9),
    }
}

/// Messages of the consensus library between voters: entries, and a heartbeat of the election.
fn sent_vote_messages() -> [Message<Entry>; 2] {
    use omnipaxos::ballot_leader_election::Ballot;
    use omnipaxos::messages::ballot_leader_election::{BLEMessage, HeartbeatMsg, HeartbeatRequest};
    use omnipaxos::messages::sequence_paxos::{AcceptDecide, PaxosMessage, PaxosMsg};
    use omnipaxos::util::SequenceNumber;
    let entries = vec![
        Entry::Propose(sent_proposal()),
        Entry::Decide("x".into(), policy_state::Decision::InForce),
        Entry::Decide("y".into(), policy_state::Decision::Dropped(vec![sent_rejection()])),
        Entry::Reconfigure(sent_configuration().voters),
    ];
    let accept = PaxosMsg::AcceptDecide(AcceptDecide {
        n: Ballot::with(7, 5, 1, 2),
        seq_num: SequenceNumber { session: 1, counter: 2 },
        decided_idx: 3,
        entries,
    });
    let heartbeat = HeartbeatMsg::Request(HeartbeatRequest { round: 4 });
    [
        Message::SequencePaxos(PaxosMessage { from: 1, to: 2, msg: accept }),
        Message::BLE(BLEMessage { from: 1, to: 2, msg: heartbeat }),
    ]
}

fn sent_bodies() -> Vec<Body> {
    let leader_heartbeat = Heartbeat { term: sent_term(), round: 1, log_len: 2, decided_len: 3 };
    let replace = |new| OperatorRequest::Replace { old: "router-c".into(), new };
    let [accept, election_heartbeat] = sent_vote_messages();
    vec![
        Body::Vote { configuration: 7, message: accept },
        Body::Vote { configuration: 7, message: election_heartbeat },
        Body::Heartbeat(leader_heartbeat),
        Body::HeartbeatAck { term: sent_term(), round: 1 },
        Body::LeaseRequest(sent_lease_request()),
        Body::ForwardedLeaseRequest { origin: sent_peer("router-d"), request: sent_lease_request() },
        Body::Grant(sent_grant()),
        Body::ForwardedGrant { router: "router-d".into(), grant: sent_grant() },
        Body::OperatorRequest(OperatorRequest::Propose(sent_proposal())),
        Body::OperatorRequest(replace(None)),
        Body::OperatorRequest(replace(Some("router-e".into()))),
        Body::Bootstrap("policy".into()),
        Body::ConfigurationRequest(6),
        Body::Configuration(sent_configuration()),
    ]
}

#[test]
fn frames_are_encoded_as_an_earlier_build_encoded_them() {
    let encode = |body| Frame { fleet: "fleet".into(), from: sent_peer("router-a"), body }.encode();
    let bytes: Vec<u8> = sent_bodies().into_iter().flat_map(encode).collect();
    assert_eq!(bytes, FRAMES);
}

#[test]
fn frames_of_an_earlier_build_are_decoded_to_the_same_messages() {
    let mut rest = FRAMES;
    for body in sent_bodies() {
        let DecodedFrame { frame, encoded_len } =
            Frame::decode(rest).expect("a valid frame").expect("complete");
        assert_eq!((frame.fleet.as_str(), frame.from), ("fleet", sent_peer("router-a")));
        assert_eq!(format!("{:?}", frame.body), format!("{body:?}"));
        rest = &rest[encoded_len..];
    }
    assert!(rest.is_empty());
}
