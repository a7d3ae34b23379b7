use slipreel_day::*;
#[test]
fn dbg() {
    let text = include_str!("../../../deploy/days/bad.ini").replace("seed = 11", "seed = 8");
    let day = read_day(&text, "bad.ini").map_err(|f| f.iter().map(|f| f.to_string()).collect::<Vec<_>>()).unwrap();
    let played = play_in_memory(&day);
    for b in &played.breaks { println!("{b:?}"); }
    for r in played.records.iter().filter(|r| format!("{:?}", r.seen).contains("request: 481,")) { println!("{:?} {:?}", r.at, r.seen); }
}
