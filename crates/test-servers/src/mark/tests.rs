use super::*;

#[test]
fn finds_the_last_mark() {
    let mark = Mark { attempt: ClientAttempt { request: 77, number: 2 }, length: 30, effect: Effect::Keyed };
    let older = Mark { attempt: ClientAttempt { request: 76, number: 0 }, length: 9, effect: Effect::Safe };
    assert_eq!(Mark::find(&format!("a {} b [x] {} c", older.text(), mark.text())), Some(mark));
    assert_eq!(Mark::find("none [[1.2]]"), None);
    assert_eq!(Mark::find("[[1.2.3.s"), None);
}
