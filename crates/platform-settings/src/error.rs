//! Why settings cannot be used.

/// A setting that cannot be used. `Display` gives its key, the value found and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("setting {fault}")]
pub struct SettingsError {
    fault: SettingFault,
}

impl SettingsError {
    /// What is wrong with which setting.
    pub fn fault(&self) -> &SettingFault {
        &self.fault
    }
}

impl From<SettingFault> for SettingsError {
    fn from(fault: SettingFault) -> Self {
        SettingsError { fault }
    }
}

/// What is wrong with a setting. `Display` begins with its key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingFault {
    /// The settings are no JSON object.
    #[error("settings: expected an object")]
    NotAnObject,
    /// A value is missing where no default is safe.
    #[error("{key}: missing")]
    Missing {
        /// Its key.
        key: String,
    },
    /// A value is no number, or negative.
    #[error("{key}: '{value}' is no number of 0 or more")]
    InvalidNumber {
        /// Its key.
        key: String,
        /// The value found.
        value: String,
    },
    /// An entry of a list is no number, or negative.
    #[error("{key}: '{value}' is no number")]
    InvalidListNumber {
        /// The key of the list.
        key: String,
        /// The value found.
        value: String,
    },
    /// A time in milliseconds is too long for a `Duration`.
    #[error("{key}: {milliseconds} is too long")]
    TimeTooLong {
        /// Its key.
        key: String,
        /// The value found, as it is printed.
        milliseconds: String,
    },
    /// A time of a list is too long for a `Duration`.
    #[error("{key}: too long")]
    ListTimeTooLong {
        /// The key of the list.
        key: String,
    },
    /// A number that is no count, or too large for one.
    #[error("{key}: {number} is no count")]
    InvalidCount {
        /// Its key.
        key: String,
        /// The value found, as it is printed.
        number: String,
    },
    /// A word that is none of those that are expected.
    #[error("{key}: '{value}' is not known: expected one of {expected}")]
    UnknownWord {
        /// Its key.
        key: String,
        /// The value found.
        value: String,
        /// The words that are known, separated by commas.
        expected: String,
    },
    /// A role of engines that is not known.
    #[error("{key}: '{value}' is not known")]
    UnknownRole {
        /// Its key.
        key: String,
        /// The value found.
        value: String,
    },
    /// Two classes of one name differ in how they may be repeated, so that the class of a request is
    /// ambiguous.
    #[error(
        "classes.{index}.name: '{name}' is also the name of classes.{first}, which may be repeated differently: \
         expected a name of its own, or the same idempotency, group and window"
    )]
    AmbiguousClassName {
        /// The number of the class.
        index: usize,
        /// The number of the other class.
        first: usize,
        /// The name of both.
        name: String,
    },
    /// A setting of a class cannot be used.
    #[error("{fault} (of class '{name}')")]
    OfClass {
        /// The name of the class.
        name: String,
        /// What is wrong.
        #[source]
        fault: Box<SettingFault>,
    },
}
