use super::*;

#[test]
fn listeners_follow_the_order_of_directed_links() {
    let network = RelayNetwork::new(vec![SocketAddr::from(([127, 0, 0, 1], 1)); 4], 1);
    for (listener, link) in RelayNetwork::directed_links(4).enumerate() {
        assert_eq!(network.link_of(ListenerId(listener)), link);
    }
    assert_eq!(RelayNetwork::directed_links(4).count(), 12);
}
