use super::*;

#[test]
fn both_sides_and_reserved_descriptors_fit_into_the_limit() {
    for descriptors in [40, 256, 1024] {
        let limits = ResourceLimits::new(descriptors, 64);
        let connections = limits.client_connections + limits.engine_connections;
        assert!(connections + RESERVED_DESCRIPTORS <= descriptors, "{limits:?}");
        assert!(
            limits.client_connections * 3 >= descriptors || descriptors < 256,
            "clients need a third for requests: {limits:?}"
        );
    }
}
