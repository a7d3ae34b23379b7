//! The cases of the review: `stand-ins CASE RECORD`, from the root of the repository.

mod never_ends;
mod pinned;
mod platform;
mod restart;
mod sites;
mod slow_list;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, record) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    platform::open_record(&record);
    platform::limit_run(110);
    let code = match case.as_str() {
        "never_ends" => never_ends::run(),
        "pinned" => pinned::run(),
        "restart" => restart::run(),
        "slow_list" => slow_list::run(),
        _ => 2,
    };
    std::process::exit(code);
}
