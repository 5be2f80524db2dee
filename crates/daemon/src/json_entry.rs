//! JSON documents whose entries come from several writers: an entry that can't be
//! read hides no other.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::marker::PhantomData;
use std::str::Chars;

/// Stands for bytes that no JSON text may hold. Unicode defines this code point to be
/// no character.
const UNREADABLE: char = '\u{ffff}';
/// Stands for such bytes in place of a value.
const UNREADABLE_VALUE: &str = "\"\u{ffff}\"";
/// Characters that may follow a backslash in a JSON string, besides `u`.
const ESCAPED: &str = "\"\\/bfnrt";

/// One entry of a document as it was sent.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub struct RawEntry<Content> {
    raw: Box<RawValue>,
    #[serde(skip)]
    content: PhantomData<Content>,
}

impl<Content> RawEntry<Content>
where
    Content: DeserializeOwned,
{
    /// Decodes the entry.
    ///
    /// # Errors
    /// Returns what can't be decoded.
    pub fn read(&self) -> Result<Content, String> {
        let text = self.raw.get();
        if text.contains(UNREADABLE) {
            return Err("it has bytes that are no text".to_owned());
        }
        serde_json::from_str(text).map_err(|cause| cause.to_string())
    }

    /// Decodes a part of the entry, whose other parts may be unreadable.
    pub fn read_part<Part>(&self) -> Option<Part>
    where
        Part: DeserializeOwned,
    {
        serde_json::from_str(self.raw.get()).ok()
    }
}

/// Whether `text` was read from bytes that are no text.
pub fn is_unreadable(text: &str) -> bool {
    text.contains(UNREADABLE)
}

/// Decodes a document. Strings in it may hold bytes that are no text: only the
/// [`RawEntry`] that has them can't be read.
///
/// # Errors
/// Returns why the document as a whole can't be decoded.
pub fn read_document<Document>(body: &[u8]) -> Result<Document, serde_json::Error>
where
    Document: DeserializeOwned,
{
    match serde_json::from_slice(body) {
        Ok(document) => Ok(document),
        Err(cause) => serde_json::from_str(&mark_unreadable(body)).or(Err(cause)),
    }
}

/// Replaces by [`UNREADABLE`] what no JSON text may hold within a string: bytes that
/// are not UTF-8, control characters and unknown escapes.
fn mark_unreadable(body: &[u8]) -> String {
    let mut text = String::with_capacity(body.len());
    let mut is_string = false;
    for chunk in body.utf8_chunks() {
        let mut characters = chunk.valid().chars();
        while let Some(character) = characters.next() {
            match character {
                '\\' if is_string => push_escape(&mut text, &mut characters),
                '"' => {
                    is_string = !is_string;
                    text.push(character);
                }
                '\0'..' ' if is_string => text.push(UNREADABLE),
                '\0'..' ' => text.push(' '),
                _ => text.push(character),
            }
        }
        if chunk.invalid().is_empty() {
            continue;
        }
        if is_string {
            text.push(UNREADABLE);
        } else if !text.ends_with(UNREADABLE_VALUE) {
            text.push_str(UNREADABLE_VALUE);
        }
    }
    text
}

/// Copies the escape that follows a backslash, if JSON has it.
fn push_escape(text: &mut String, characters: &mut Chars<'_>) {
    match characters.next() {
        Some('u') if has_code_unit(characters.as_str()) => text.push_str("\\u"),
        Some(escaped) if ESCAPED.contains(escaped) => text.extend(['\\', escaped]),
        Some(_) | None => text.push(UNREADABLE),
    }
}

fn has_code_unit(text: &str) -> bool {
    let digits = text.chars().take(4);
    digits.filter(char::is_ascii_hexdigit).count() == 4
}
