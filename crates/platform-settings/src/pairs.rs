//! Settings as pairs of a path and a value, the common form of lines `path=value` and of nested JSON.

use crate::as_named;
use crate::error::SettingFault;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// The largest count that is accepted.
const MAX_COUNT: f64 = 65_536.0;

/// Pairs of a path and a value. An empty value counts as missing.
pub(crate) struct Pairs<'a> {
    values: BTreeMap<&'a str, &'a str>,
}

impl<'a> FromIterator<(&'a str, &'a str)> for Pairs<'a> {
    fn from_iter<I: IntoIterator<Item = (&'a str, &'a str)>>(pairs: I) -> Self {
        Pairs { values: pairs.into_iter().collect() }
    }
}

impl<'a> Pairs<'a> {
    /// The value of a key; `None` if it is missing or empty.
    pub(crate) fn get(&self, key: &str) -> Option<&'a str> {
        self.values.get(key).copied().filter(|value| !value.is_empty())
    }

    /// A finite number of 0 or more.
    ///
    /// # Errors
    /// The value is of another form, or it is missing and there is no default. This applies to all methods
    /// with a default.
    pub(crate) fn number(&self, key: &str, default: Option<f64>) -> Result<f64, SettingFault> {
        let Some(text) = self.get(key) else {
            return default.ok_or_else(|| SettingFault::Missing { key: key.to_owned() });
        };
        let invalid = || SettingFault::InvalidNumber { key: key.to_owned(), value: text.to_owned() };
        parse_number(text).ok_or_else(invalid)
    }

    /// A time in milliseconds.
    pub(crate) fn millis(&self, key: &str, default: Option<f64>) -> Result<Duration, SettingFault> {
        let milliseconds = self.number(key, default)?;
        Duration::try_from_secs_f64(milliseconds / 1e3).map_err(|_| SettingFault::TimeTooLong {
            key: key.to_owned(),
            milliseconds: milliseconds.to_string(),
        })
    }

    /// A time in milliseconds; `None` if the key is missing.
    pub(crate) fn optional_millis(&self, key: &str) -> Result<Option<Duration>, SettingFault> {
        self.get(key).map(|_| self.millis(key, None)).transpose()
    }

    /// A whole number up to [`MAX_COUNT`].
    pub(crate) fn count(&self, key: &str, default: Option<f64>) -> Result<u32, SettingFault> {
        let number = self.number(key, default)?;
        if number.fract() != 0.0 || number > MAX_COUNT {
            return Err(SettingFault::InvalidCount { key: key.to_owned(), number: number.to_string() });
        }
        Ok(number as u32)
    }

    /// A value `true` or `false`; it is false if the key is missing.
    pub(crate) fn flag(&self, key: &str) -> Result<bool, SettingFault> {
        self.word(key, &[("true", true), ("false", false)], Some(false))
    }

    /// One of several words, each with its meaning.
    pub(crate) fn word<T: Copy>(
        &self, key: &str, words: &[(&str, T)], default: Option<T>,
    ) -> Result<T, SettingFault> {
        let Some(text) = self.get(key) else {
            return default.ok_or_else(|| SettingFault::Missing { key: key.to_owned() });
        };
        let known = words.iter().find(|(word, _)| *word == text);
        known.map(|&(_, meaning)| meaning).ok_or_else(|| SettingFault::UnknownWord {
            key: key.to_owned(),
            value: text.to_owned(),
            expected: words.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", "),
        })
    }

    /// The comma-separated parts of a value; none if the key is missing.
    pub(crate) fn list(&self, key: &str) -> Vec<&'a str> {
        self.get(key).map(|value| value.split(',').collect()).unwrap_or_default()
    }

    /// A list of names.
    pub(crate) fn names(&self, key: &str) -> Vec<String> {
        self.list(key).into_iter().map(str::to_owned).collect()
    }

    /// A list of finite numbers of 0 or more.
    pub(crate) fn numbers(&self, key: &str) -> Result<Vec<f64>, SettingFault> {
        let parse = |text: &str| {
            let invalid = || SettingFault::InvalidListNumber { key: key.to_owned(), value: text.to_owned() };
            parse_number(text).ok_or_else(invalid)
        };
        self.list(key).into_iter().map(parse).collect()
    }
}

/// Parses a finite number of 0 or more.
fn parse_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

/// Appends the pairs of a value. The entries of a list of plain values are joined by commas; a list of
/// objects gets a `count`, and its entries are numbered.
pub(crate) fn flatten(path: &str, value: &Value, out: &mut Vec<(String, String)>) {
    let subpath = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, field)| flatten(&subpath(name), field, out));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.push((subpath("count"), items.len().to_string()));
            items
                .iter()
                .enumerate()
                .for_each(|(index, item)| flatten(&subpath(&index.to_string()), item, out));
        }
        Value::Array(items) => {
            out.push((path.to_owned(), items.iter().map(plain_text).collect::<Vec<_>>().join(",")));
        }
        plain => out.push((path.to_owned(), plain_text(plain))),
    }
}

/// The text of a value that is neither an object nor a list of objects.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => as_named(text),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
