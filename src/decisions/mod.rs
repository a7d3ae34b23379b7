//! Every decision of slipreel, one file a concern. Its events and actions are types of `src/interface`; what
//! only looks things up is in `src/engine_index`. Nothing else decides.
//!
//! A request passes through `admission`, `prefill_affinity` or `decode_choice`, `probes`, `placement`,
//! `attempts`, `retries` and `release`. `saturation`, `eligibility`, `ejection` and `slow_start` say what
//! these may know of the engines.

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
