use slipreel_day::*;
#[test]
fn dbg() {
    let text = include_str!("../../../deploy/days/bad.ini");
    let day = read_day(text, "bad.ini").map_err(|f| f.iter().map(|f| f.to_string()).collect::<Vec<_>>()).unwrap();
    let played = play_in_memory(&day);
    for b in &played.breaks { println!("{b:?}"); }
    for r in played.records.iter().filter(|r| format!("{:?}", r.seen).contains("1048582500074")) { println!("{:?} {:?}", r.at, r.seen); }
    for r in played.records.iter().filter(|r| format!("{:?}", r.seen).contains("state: ") && format!("{:?}", r.seen).contains("LetGo") && r.at.as_millis() > 1048590500 && r.at.as_millis() < 1048591600) { println!("{:?} {:?}", r.at, r.seen); }
    for r in played.records.iter().filter(|r| format!("{:?}", r.seen).contains("RouterDied")) { println!("{:?} {:?}", r.at, r.seen); }
}
