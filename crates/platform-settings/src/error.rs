//! The errors of settings that can't be used.

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
    /// The settings are not a JSON object.
    #[error("settings: expected an object")]
    NotAnObject,
    /// A value is missing where no default is safe.
    #[error("{key}: missing")]
    Missing {
        /// Its key.
        key: String,
    },
    /// A value is not a finite number, or is negative.
    #[error("{key}: '{value}' is no number of 0 or more")]
    InvalidNumber {
        /// Its key.
        key: String,
        /// The value found.
        value: String,
    },
    /// An entry of a list is not a finite number, or is negative.
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
    /// A time in a list is too long for a `Duration`.
    #[error("{key}: too long")]
    ListTimeTooLong {
        /// The key of the list.
        key: String,
    },
    /// A number is not whole, or is too large for a count.
    #[error("{key}: {number} is no count")]
    InvalidCount {
        /// Its key.
        key: String,
        /// The value found, as it is printed.
        number: String,
    },
    /// A value is not one of the expected words.
    #[error("{key}: '{value}' is not known: expected one of {expected}")]
    UnknownWord {
        /// Its key.
        key: String,
        /// The value found.
        value: String,
        /// The expected words, separated by commas.
        expected: String,
    },
    /// A role of engines is unknown.
    #[error("{key}: '{value}' is not known")]
    UnknownRole {
        /// Its key.
        key: String,
        /// The value found.
        value: String,
    },
    /// Two classes of the same name differ in their idempotency, so the class of a request would be
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
        /// The name that both classes have.
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
