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

/// Guards against limits that exceed the memory together.
#[test]
fn buffers_and_closing_connections_leave_three_eighths_of_the_memory_for_the_rest() {
    for memory_mb in [32, 64, 80, 192] {
        let limits = ResourceLimits::new(1_024, memory_mb);
        let bounded = limits.buffer_bytes + limits.closing_bytes();
        assert!(bounded * 8 <= (memory_mb << 20) * 5, "{limits:?}");
        assert!(limits.request_bytes * 2 <= limits.buffer_bytes, "each request has one copy: {limits:?}");
        assert!(limits.list_object_bytes * 8 <= limits.buffer_bytes, "{limits:?}");
    }
}

#[test]
fn scarcity_begins_above_three_quarters_of_the_buffers_and_ends_below_five_eighths() {
    let limits = ResourceLimits::new(1_024, 64);
    let eighth = limits.buffer_bytes / 8;
    assert!(!limits.is_memory_scarce(6 * eighth, false));
    assert!(limits.is_memory_scarce(6 * eighth + 1, false));
    assert!(limits.is_memory_scarce(5 * eighth + 1, true));
    assert!(!limits.is_memory_scarce(5 * eighth, true));
}
