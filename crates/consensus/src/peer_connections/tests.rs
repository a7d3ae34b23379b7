use super::*;

#[test]
fn frames_wait_for_the_connection_and_overdue_acknowledgement_aborts_it() {
    let (ms, to) = (Duration::from_millis, SocketAddr::from(([127, 0, 0, 1], 9)));
    let (mut connections, mut out) = (PeerConnections::default(), Vec::new());
    assert!(connections.send(ms(0), "a", to, vec![1; 3], &mut out));
    assert!(connections.send(ms(1), "a", to, vec![2; 4], &mut out));
    let [Output::Connect(conn, _)] = out[..] else { panic!("{out:?}") };
    assert!(PeerConnections::is_consensus_connection(conn) && connections.contains(conn));
    out.clear();
    connections.connected(conn, &mut out);
    assert_eq!(out, [Output::Write(conn, vec![1; 3]), Output::Write(conn, vec![2; 4])]);
    connections.acknowledge(conn, 1);
    out.clear();
    assert!(connections.close_overdue(ms(500), &mut out).is_empty(), "the first was acknowledged");
    assert_eq!(connections.close_overdue(ms(501), &mut out), ["a"]);
    assert_eq!(out, [Output::Abort(conn)]);
    out.clear();
    assert!(connections.send(ms(600), "a", to, vec![3], &mut out), "the frame is sent on a new connection");
    let [Output::Connect(conn, _)] = out[..] else { panic!("{out:?}") };
    assert_eq!(connections.lost(conn), Some("a".into()));
    assert_eq!(connections.lost(conn), None);
}
