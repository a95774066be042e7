//! Reads and validates the fields of a job's JSON description.

use std::cell::RefCell;

use serde_json::{Map, Value};

/// The maximum length of a name in bytes. A longer name is a mistake, and it would not fit in the
/// stored record.
const MAX_NAME_BYTES: usize = 200;
/// The maximum number of entries in a list of names.
const MAX_LIST_NAMES: usize = 32;
/// The maximum number of characters of an invalid value that an error quotes.
const MAX_QUOTED_CHARS: usize = 60;

const FLAG: &str = "true or false";
const NUMBER: &str = "a number from 0";

/// A field of a job's description is missing or has an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: found {found}, allowed is {allowed}")]
pub struct InvalidField {
    field: &'static str,
    found: String,
    allowed: String,
}

impl InvalidField {
    pub(super) fn new(field: &'static str, found: Option<&Value>, allowed: &str) -> Self {
        Self {
            field,
            found: found.map_or_else(|| "nothing".to_string(), quote),
            allowed: allowed.to_string(),
        }
    }

    /// The name of the field on the wire.
    pub fn field(&self) -> &'static str {
        self.field
    }
}

/// Returns the value as JSON, truncated to [`MAX_QUOTED_CHARS`].
fn quote(value: &Value) -> String {
    let mut text = value.to_string();
    if let Some((end, _)) = text.char_indices().nth(MAX_QUOTED_CHARS) {
        text.truncate(end);
        text.push('…');
    }
    text
}

/// The fields of a job's description. A `null` counts as omitted.
///
/// The `*_or_*` methods read fields that are required in a submission but may be missing in a
/// stored record, because an earlier version may have written it. They return a default for a
/// missing field, and [`Fields::first_omitted`] returns the error for the first one.
pub(super) struct Fields<'a> {
    map: &'a Map<String, Value>,
    first_omitted: RefCell<Option<InvalidField>>,
}

impl<'a> Fields<'a> {
    /// Returns the fields of a JSON object, or an error if the value is not an object.
    pub(super) fn new(value: &'a Value) -> Result<Self, InvalidField> {
        let map = value
            .as_object()
            .ok_or_else(|| InvalidField::new("description", Some(value), "a JSON object"))?;
        Ok(Self {
            map,
            first_omitted: RefCell::new(None),
        })
    }

    /// Returns the error for the first field read that is missing but required in a submission.
    pub(super) fn first_omitted(self) -> Option<InvalidField> {
        self.first_omitted.into_inner()
    }

    pub(super) fn get(&self, name: &str) -> Option<&'a Value> {
        self.map.get(name).filter(|value| !value.is_null())
    }

    pub(super) fn invalid(&self, name: &'static str, allowed: &str) -> InvalidField {
        InvalidField::new(name, self.map.get(name), allowed)
    }

    fn record_omitted(&self, name: &'static str, allowed: &str) {
        let mut first = self.first_omitted.borrow_mut();
        first.get_or_insert_with(|| self.invalid(name, allowed));
    }

    /// Reads a required name.
    pub(super) fn name(&self, name: &'static str) -> Result<String, InvalidField> {
        let text = self.get(name).and_then(Value::as_str);
        text.filter(|s| !s.is_empty() && s.len() <= MAX_NAME_BYTES)
            .map(str::to_string)
            .ok_or_else(|| {
                let allowed = format!("a string of 1 to {MAX_NAME_BYTES} bytes");
                self.invalid(name, &allowed)
            })
    }

    pub(super) fn optional_name(&self, name: &'static str) -> Result<Option<String>, InvalidField> {
        match self.get(name) {
            None => Ok(None),
            Some(_) => self.name(name).map(Some),
        }
    }

    pub(super) fn optional_names(
        &self,
        name: &'static str,
    ) -> Result<Option<Vec<String>>, InvalidField> {
        let invalid = || {
            let allowed = format!("a list of at most {MAX_LIST_NAMES} names");
            self.invalid(name, &allowed)
        };
        let list = match self.get(name) {
            None => return Ok(None),
            Some(Value::Array(list)) if list.len() <= MAX_LIST_NAMES => list,
            Some(_) => return Err(invalid()),
        };
        let entry = |value: &Value| match value.as_str() {
            Some(text) if text.len() <= MAX_NAME_BYTES => Ok(text.to_string()),
            _ => Err(invalid()),
        };
        list.iter().map(entry).collect::<Result<_, _>>().map(Some)
    }

    /// Reads a required integer in the range.
    pub(super) fn count(
        &self,
        name: &'static str,
        range: std::ops::RangeInclusive<u32>,
    ) -> Result<u32, InvalidField> {
        let number = self.get(name).and_then(Value::as_u64);
        number
            .and_then(|n| u32::try_from(n).ok())
            .filter(|n| range.contains(n))
            .ok_or_else(|| {
                let allowed = format!("an integer from {} to {}", range.start(), range.end());
                self.invalid(name, &allowed)
            })
    }

    /// Reads a flag that may be missing in a stored record, where it defaults to `false`.
    pub(super) fn flag_or_false(&self, name: &'static str) -> Result<bool, InvalidField> {
        let flag = self.optional_flag(name)?;
        if flag.is_none() {
            self.record_omitted(name, FLAG);
        }
        Ok(flag.unwrap_or(false))
    }

    pub(super) fn optional_flag(&self, name: &'static str) -> Result<Option<bool>, InvalidField> {
        match self.get(name) {
            None => Ok(None),
            Some(Value::Bool(flag)) => Ok(Some(*flag)),
            Some(_) => Err(self.invalid(name, FLAG)),
        }
    }

    /// Reads a number that may be missing in a stored record, where it defaults to 0.
    pub(super) fn number_or_zero(&self, name: &'static str, max: f64) -> Result<f64, InvalidField> {
        let number = self.optional_number(name, max)?;
        if number.is_none() {
            self.record_omitted(name, NUMBER);
        }
        Ok(number.unwrap_or(0.0))
    }

    pub(super) fn optional_number(
        &self,
        name: &'static str,
        max: f64,
    ) -> Result<Option<f64>, InvalidField> {
        match self.get(name) {
            None => Ok(None),
            Some(_) => self.number(name, max).map(Some),
        }
    }

    /// Reads a required number from 0 to `max`.
    pub(super) fn number(&self, name: &'static str, max: f64) -> Result<f64, InvalidField> {
        let number = self.get(name).and_then(Value::as_f64);
        number
            .filter(|x| (0.0..=max).contains(x))
            .ok_or_else(|| self.invalid(name, &format!("{NUMBER} to {max}")))
    }
}
