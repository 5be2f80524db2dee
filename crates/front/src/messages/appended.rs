//! Fields that were appended to a message in a later release.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A field that an earlier release doesn't send: the last one of its message. Bytes that
/// aren't its value count as missing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Appended<Value>(pub Option<Value>);

impl<Value> Serialize for Appended<Value>
where
    Value: Serialize,
{
    fn serialize<Target>(&self, serializer: Target) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        match &self.0 {
            Some(value) => value.serialize(serializer),
            None => serializer.serialize_unit(),
        }
    }
}

impl<'bytes, Value> Deserialize<'bytes> for Appended<Value>
where
    Value: Deserialize<'bytes>,
{
    fn deserialize<Source>(deserializer: Source) -> Result<Self, Source::Error>
    where
        Source: Deserializer<'bytes>,
    {
        Ok(Self(Value::deserialize(deserializer).ok()))
    }
}
