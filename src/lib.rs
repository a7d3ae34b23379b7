//! slipreel makes the routing decisions for a language-model service in which separate engines
//! prefill prompts and decode answers.
//!
//! The crate is sans-I/O: the host passes each [`Event`] to a [`Router`] and carries out the
//! [`Action`]s that it returns. A router sees only its own traffic, and the same events with
//! the same seed give the same actions.
//!
//! ```
//! use slipreel::*;
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let settings = Settings {
//!     router_count: 1,
//!     zone: ZoneId(0),
//!     tick: ms(1),
//!     classes: vec![Class {
//!         latency_objective: ms(800),
//!         latency_objective_per_1000_tokens: ms(40),
//!         priority_weight: 1.0,
//!         idempotency: Idempotency::Idempotent,
//!         streams: true,
//!     }],
//!     tenants: vec![],
//!     over_quota_weight: 1.0,
//!     kind_roles: vec![Role::Prefill, Role::Decode],
//!     memory_tokens: vec![],
//!     decode_engines_prefill: false,
//!     requests_engine_list: false,
//!     report_source: ReportSource::Answers,
//!     limits: Limits {
//!         max_attempts: 4,
//!         cancellation: true,
//!         probes: true,
//!         hedged_requests: false,
//!         max_retry_after: None,
//!         connect_timeout: ms(250),
//!     },
//!     warmup_initial_share: 0.3,
//!     warmup_time: ms(10_000),
//!     warmup_budget: Duration::ZERO,
//!     held_state_limit: ms(500),
//!     release_spares_awaited_state: true,
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
//!     started_at: None,
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
//!         client_timeout: ms(4000),
//!         complete_answer_timeout: None,
//!         is_retry: false,
//!         is_resumption: false,
//!     }),
//!     &mut actions,
//! );
//! // The prompt goes to the only prefill engine first.
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { engine: EngineId(1), .. })));
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decisions;
mod engine_index;
mod interface;

pub use decisions::{Router, SettingsMapping, StateSizes};
pub use interface::*;
