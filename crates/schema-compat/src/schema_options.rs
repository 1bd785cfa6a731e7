//! Reads this crate's options from descriptors. An option of an unexpected type counts as absent.

use crate::error::SchemaError;
use prost_reflect::{DescriptorPool, DynamicMessage, ExtensionDescriptor, Value};

/// What a reader does with an enum value or a oneof's member that its version does not know.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) enum UnknownValuePolicy {
    #[default]
    Unstated,
    Accepted,
    Rejected,
}

/// The descriptors of the option extensions.
pub(crate) struct OptionExtensions {
    pub(crate) field: ExtensionDescriptor,
    pub(crate) message: ExtensionDescriptor,
    pub(crate) oneof: ExtensionDescriptor,
    pub(crate) enumeration: ExtensionDescriptor,
    pub(crate) value: ExtensionDescriptor,
}

impl OptionExtensions {
    pub(crate) fn from_pool(pool: &DescriptorPool) -> Result<Self, SchemaError> {
        let find = |name: &str| {
            pool.get_extension_by_name(&format!("sprucelink.compat.{name}"))
                .ok_or_else(|| SchemaError::Descriptor(format!("option {name} is missing")))
        };
        Ok(Self {
            field: find("field")?,
            message: find("message")?,
            oneof: find("oneof")?,
            enumeration: find("enumeration")?,
            value: find("value")?,
        })
    }
}

/// The value of one option message; `None` if the option is absent.
pub(crate) struct OptionValues(Option<DynamicMessage>);

impl OptionValues {
    pub(crate) fn from_options(options: &DynamicMessage, extension: &ExtensionDescriptor) -> Self {
        if !options.has_extension(extension) {
            return Self(None);
        }
        Self(options.get_extension(extension).as_message().cloned())
    }

    /// The value of the option message's field, if it is set.
    fn field(&self, name: &str) -> Option<Value> {
        let message = self.0.as_ref()?;
        message
            .has_field_by_name(name)
            .then(|| message.get_field_by_name(name).map(|value| value.into_owned()))?
    }

    pub(crate) fn number(&self, name: &str) -> u32 {
        self.field(name).and_then(|value| value.as_u32()).unwrap_or(0)
    }

    pub(crate) fn signed(&self, name: &str) -> Option<i64> {
        self.field(name)?.as_i64()
    }

    pub(crate) fn length(&self, name: &str) -> Option<u64> {
        self.field(name)?.as_u64()
    }

    pub(crate) fn flag(&self, name: &str) -> bool {
        self.field(name).and_then(|value| value.as_bool()).unwrap_or(false)
    }

    pub(crate) fn string(&self, name: &str) -> Option<String> {
        self.field(name)?.as_str().map(str::to_string)
    }

    pub(crate) fn strings(&self, name: &str) -> Vec<String> {
        let Some(Value::List(list)) = self.field(name) else { return Vec::new() };
        list.iter().filter_map(|value| value.as_str().map(str::to_string)).collect()
    }

    pub(crate) fn numbers(&self, name: &str) -> Vec<u32> {
        let Some(Value::List(list)) = self.field(name) else { return Vec::new() };
        list.iter().filter_map(Value::as_u32).collect()
    }

    /// Removed names and their replacement values.
    pub(crate) fn removed(&self) -> Vec<(String, String)> {
        let Some(Value::List(list)) = self.field("removed") else { return Vec::new() };
        let text = |entry: &DynamicMessage, name: &str| {
            entry
                .get_field_by_name(name)
                .and_then(|value| value.as_str().map(str::to_string))
                .unwrap_or_default()
        };
        list.iter()
            .filter_map(Value::as_message)
            .map(|entry| (text(entry, "name"), text(entry, "reads_as")))
            .collect()
    }

    pub(crate) fn unknown_value_policy(&self) -> UnknownValuePolicy {
        match self.field("unknown").and_then(|value| value.as_enum_number()) {
            Some(1) => UnknownValuePolicy::Accepted,
            Some(2) => UnknownValuePolicy::Rejected,
            _ => UnknownValuePolicy::Unstated,
        }
    }
}
