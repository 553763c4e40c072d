use std::fmt;

use serde::de::value::MapAccessDeserializer;
use serde::de::{IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use crate::{AnyResource, Problem, Result};

/// Parses one resource or a list of resources from JSON with comments (JSON5).
///
/// # Errors
///
/// A [`Problem`] with status 400 whose detail starts with line and column, and whose field is the
/// path of the invalid value.
pub fn parse_resources(text: &str) -> Result<Vec<AnyResource>> {
    // The first pass finds all syntax errors, including trailing text, which the incremental
    // deserializer below does not report.
    json5::from_str::<IgnoredAny>(text).map_err(|error| problem(text, "", &error))?;
    let mut deserializer = json5::Deserializer::from_str(text);
    let parsed: Resources = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| problem(text, &error.path().to_string(), error.inner()))?;
    Ok(parsed.0)
}

fn problem(text: &str, path: &str, error: &json5::Error) -> Problem {
    // The parser reports an unexpected end of input at the start of the enclosing value, which
    // may be the first line of the file.
    let position = match error.position() {
        Some(position) if !is_unexpected_eof(error) => position,
        _ => json5::Position::from_offset(text.len(), text),
    };
    let (line, column) = (position.line + 1, position.column + 1);
    let message = error.to_string();
    let reason = match error.position() {
        Some(position) => message.trim_end_matches(&format!(" at {position}")),
        None => &message,
    };
    let field = path.trim_matches('.');
    let separator = if field.is_empty() { "" } else { ": " };
    let detail = format!("line {line}, column {column}: {field}{separator}{reason}");
    Problem::malformed(field, reason, &detail)
}

fn is_unexpected_eof(error: &json5::Error) -> bool {
    use json5::ErrorCode as Code;
    matches!(
        error.code(),
        Some(
            Code::EofParsingArray
                | Code::EofParsingBool
                | Code::EofParsingComment
                | Code::EofParsingEscapeSequence
                | Code::EofParsingIdentifier
                | Code::EofParsingNull
                | Code::EofParsingNumber
                | Code::EofParsingObject
                | Code::EofParsingString
                | Code::EofParsingValue
        )
    )
}

struct Resources(Vec<AnyResource>);

impl<'de> Deserialize<'de> for Resources {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ResourcesVisitor)
    }
}

struct ResourcesVisitor;

impl<'de> Visitor<'de> for ResourcesVisitor {
    type Value = Resources;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a resource or a list of resources")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Resources, A::Error> {
        let resource = AnyResource::deserialize(MapAccessDeserializer::new(map))?;
        Ok(Resources(vec![resource]))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Resources, A::Error> {
        let mut resources = Vec::new();
        while let Some(resource) = seq.next_element()? {
            resources.push(resource);
        }
        Ok(Resources(resources))
    }
}
