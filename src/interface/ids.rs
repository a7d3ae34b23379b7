//! Identifiers of engines, requests and timers, and indices into the settings.

/// Identifies an engine, with the same value at every router and across restarts of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineId(pub u64);

/// Identifies a request; an id is never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a timer that the router has set with [`Action::SetTimer`](super::Action::SetTimer).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);

/// Index into [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`](super::Settings::tenants).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Index into [`Settings::kind_roles`](super::Settings::kind_roles).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub usize);

/// An availability zone: engines and routers that fail or are partitioned off together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// A cell: a small set of engines with fast links among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u32);
