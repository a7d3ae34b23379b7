use super::*;

#[test]
fn positions_are_found_by_cell_and_zone() {
    let mut candidates = CandidateIndex::default();
    for (id, cell, zone) in [(1, 1, 1), (2, 1, 2), (3, 2, 1), (4, 2, 2), (5, 1, 1)] {
        candidates.push(EngineId(id), 1.0, CellId(cell), ZoneId(zone));
    }
    assert_eq!(candidates.in_cell_and_zone(CellId(1), ZoneId(1)), [0, 4]);
    assert_eq!(
        candidates.in_cell_or_zone(CellId(1), ZoneId(1))[..],
        [0, 1, 2, 4],
        "a cell that spans two zones"
    );
    assert_eq!(candidates.in_cell_or_zone(CellId(9), ZoneId(2))[..], [1, 3]);
    assert_eq!((candidates.position(EngineId(4)), candidates.position(EngineId(9))), (Some(3), None));
}
