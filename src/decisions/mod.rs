//! All decisions of slipreel, with one file for each concern. The types of events and actions are in
//! `src/interface`, and lookups that make no decisions are in `src/engine_index`.
//!
//! A request passes through `admission`, `prefill_affinity` or `decode_choice`, `probes`, `placement`,
//! `attempts`, `retries` and `release`. These assess the engines by means of `saturation`, `eligibility`,
//! `ejection` and `slow_start`.

mod admission;
mod attempts;
mod decode_choice;
mod ejection;
mod eligibility;
mod engines;
mod index_refresh;
mod inspection;
mod placement;
mod prefill_affinity;
mod probes;
mod release;
mod requests;
mod retries;
mod router;
mod saturation;
mod slow_start;
mod successor;
mod timers;
mod token_bucket;

pub use inspection::StateSizes;
pub use router::Router;
pub use successor::SettingsMapping;
