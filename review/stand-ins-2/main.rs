//! Stand-ins and judges of the cases 6 to 10. `main CASE FOLDER` plays one case from the root of the
//! repository and ends with 0, 1 or 2, as the case's `run.sh` does.

#[allow(dead_code)]
mod common;
mod chat_engine;
mod endless_answer;
mod frozen_roles;
mod half_requests;
mod lost_decision;
mod orders;
mod platform;
mod reload_during_change;
mod restart_with_old_file;
mod second_answer;
mod slow_reader;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let folder = words.get(2).cloned().unwrap_or_default();
    // A case that is not over in time could not run. The processes that it started end with this one.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(112));
        println!("could not run: not over within 112 s");
        common::remove_folder();
        std::process::exit(2);
    });
    let play = move || match words.get(1).map(String::as_str) {
        Some("reload-during-change") => reload_during_change::run(&folder),
        Some("slow-reader") => slow_reader::run(&folder),
        Some("second-answer") => second_answer::run(&folder),
        Some("endless-answer") => endless_answer::run(&folder),
        Some("frozen-roles") => frozen_roles::run(&folder),
        Some("restart-with-old-file") => restart_with_old_file::run(&folder),
        Some("half-requests") => half_requests::run(&folder),
        Some("orders") => orders::run(&folder),
        Some("lost-decision") => lost_decision::run(&folder),
        _ => {
            eprintln!("expected the name of a case and its folder");
            2
        }
    };
    // A stand-in that can't do its part says nothing about the rule.
    let code = std::panic::catch_unwind(play).unwrap_or(2);
    std::process::exit(code);
}
