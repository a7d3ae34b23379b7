//! slipreel makes the decisions of a front (router) for a model service in which one set of
//! servers reads prompts and another writes the answers.
//!
//! The crate is sans-I/O: the host feeds a [`Router`] what happens and carries out the
//! [`Action`]s that it gets back. A router sees only its own traffic, and the same events with
//! the same seed give the same actions.
//!
//! ```
//! use slipreel::*;
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let settings = Settings {
//!     routers: 1,
//!     zone: ZoneId(0),
//!     tick: ms(1),
//!     classes: vec![Class {
//!         aim: ms(800),
//!         aim_per_1000: ms(40),
//!         worth: 1.0,
//!         effect: Effect::Safe,
//!         streams: true,
//!     }],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     kinds: vec![Role::Read, Role::Write],
//!     memory_tokens: vec![],
//!     writers_read: false,
//!     ask_for_engines: false,
//!     reports: ReportSource::Answers,
//!     limits: Limits {
//!         attempts: 4,
//!         cancel: true,
//!         probes: true,
//!         second_copies: false,
//!         retry_after: None,
//!         connect_timeout: ms(250),
//!     },
//!     cold_share: 0.3,
//!     cold_time: ms(10_000),
//!     cold_budget: Duration::ZERO,
//!     let_go_within: ms(500),
//! };
//! let mut router = Router::new(settings, 7);
//! let mut actions = Vec::new();
//!
//! let engine = |id, kind| Engine {
//!     id: EngineId(id),
//!     state: EngineState::Ready,
//!     kind: KindId(kind),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     started: None,
//! };
//! let engines = vec![engine(1, 0), engine(2, 1)];
//! router.handle(ms(0), Event::Engines { listing: Listing::Complete, engines }, &mut actions);
//! router.handle(
//!     ms(5),
//!     Event::Request(Request {
//!         id: RequestId(1),
//!         class: ClassId(0),
//!         tenant: TenantId(0),
//!         session: 11,
//!         shared_prefix: Some(3),
//!         prompt_tokens: 900.0,
//!         max_output_tokens: 200.0,
//!         time_left: ms(4000),
//!         whole: None,
//!         repeat: false,
//!         resumes: false,
//!     }),
//!     &mut actions,
//! );
//! // The prompt goes to the only reader first.
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { engine: EngineId(1), .. })));
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fleet;
mod interface;
mod rules;

pub use interface::*;
pub use rules::gauge::Places;
pub use rules::Router;
