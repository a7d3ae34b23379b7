//! The classes of requests: their latency objectives, and how often a request of a class may run.

use crate::error::SettingFault;
use crate::pairs::Pairs;
use slipreel::{Class, DeduplicationScope, Idempotency};
use std::collections::BTreeMap;
use std::time::Duration;

/// The key of the latency objectives by prompt length: microseconds for each 1,000 prompt tokens, by class.
const OBJECTIVE_PER_TOKENS: &str = "extra.aim_us_per_1000_prompt_tokens";

/// The values of `classes.N.group`.
const SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("cell", DeduplicationScope::Cell),
];
/// The values of `classes.N.idempotency`.
const REPEAT_RULES: [(&str, RepeatRule); 3] =
    [("safe", RepeatRule::Safe), ("keyed", RepeatRule::Keyed), ("unsafe", RepeatRule::Unsafe)];

/// How requests of a class may be repeated, by the names of the settings.
#[derive(Clone, Copy)]
enum RepeatRule {
    Safe,
    Keyed,
    Unsafe,
}

/// The classes, in the order of their numbers.
pub(crate) fn read(pairs: &Pairs<'_>) -> Result<Vec<Class>, SettingFault> {
    let objectives_per_1000_tokens = pairs.numbers(OBJECTIVE_PER_TOKENS)?;
    let count = pairs.count("classes.count", None)?;
    (0..count as usize).map(|index| class(pairs, index, &objectives_per_1000_tokens)).collect()
}

/// Checks that classes of the same name have the same idempotency, as a request gives its class by name.
pub(crate) fn check_names(pairs: &Pairs<'_>, classes: &[Class]) -> Result<(), SettingFault> {
    let mut first_by_name: BTreeMap<&str, (usize, Idempotency)> = BTreeMap::new();
    for (index, class) in classes.iter().enumerate() {
        let name = pairs.get(&format!("classes.{index}.name")).unwrap_or_default();
        let &mut (first, idempotency) = first_by_name.entry(name).or_insert((index, class.idempotency));
        if idempotency != class.idempotency {
            return Err(SettingFault::AmbiguousClassName { index, first, name: name.to_owned() });
        }
    }
    Ok(())
}

/// The longest deadline of a class; `None` if none is set.
pub(crate) fn longest_deadline(
    pairs: &Pairs<'_>, class_count: usize,
) -> Result<Option<Duration>, SettingFault> {
    let class_deadline = |index| pairs.optional_millis(&format!("classes.{index}.deadline"));
    let deadlines = (0..class_count).map(class_deadline).collect::<Result<Vec<_>, _>>()?;
    Ok(deadlines.into_iter().flatten().max())
}

/// Reads one class, by its number. `objectives_per_1000_tokens` has the value of [`OBJECTIVE_PER_TOKENS`] for
/// each class, in microseconds.
fn class(pairs: &Pairs<'_>, index: usize, objectives_per_1000_tokens: &[f64]) -> Result<Class, SettingFault> {
    let key = |field: &str| format!("classes.{index}.{field}");
    let name = pairs.get(&key("name")).unwrap_or_default();
    let idempotency = idempotency(pairs, index)
        .map_err(|fault| SettingFault::OfClass { name: name.to_owned(), fault: Box::new(fault) })?;
    let latency_objective = pairs.millis(&key("target"), None)?;
    let microseconds = objectives_per_1000_tokens.get(index).copied().unwrap_or(0.0);
    let latency_objective_per_1000_tokens = Duration::try_from_secs_f64(microseconds / 1e6)
        .map_err(|_| SettingFault::ListTimeTooLong { key: OBJECTIVE_PER_TOKENS.to_owned() })?;
    Ok(Class {
        latency_objective,
        latency_objective_per_1000_tokens,
        priority_weight: pairs.number(&key("worth"), None)?,
        idempotency,
        streams: pairs.flag(&key("streaming"))?,
    })
}

/// How often a request of a class may run. A missing value gets the strictest meaning: not idempotent; the
/// scope of one cell; a window of 0.
fn idempotency(pairs: &Pairs<'_>, index: usize) -> Result<Idempotency, SettingFault> {
    let key = |field: &str| format!("classes.{index}.{field}");
    Ok(match pairs.word(&key("idempotency"), &REPEAT_RULES, Some(RepeatRule::Unsafe))? {
        RepeatRule::Safe => Idempotency::Idempotent,
        RepeatRule::Keyed => Idempotency::WithKey {
            scope: pairs.word(&key("group"), &SCOPES, Some(DeduplicationScope::Cell))?,
            window: pairs.millis(&key("window"), Some(0.0))?,
        },
        RepeatRule::Unsafe => Idempotency::NotIdempotent,
    })
}
