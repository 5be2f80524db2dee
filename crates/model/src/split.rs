//! Divides the operator's files into the parts that are stored: one for the
//! rules, one for the services, and one for each service's servers in each
//! failure domain, so that a change replaces only a small part.

use crate::ini;
use std::collections::BTreeMap;

/// A part's name and text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigurationPart {
    /// The part's name.
    pub name: String,
    /// The part's text.
    pub text: String,
}

/// The unparsed text of one section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawSection {
    /// The section's title, such as `server portal-1-a`.
    pub title: String,
    /// The section's lines, without comments and blank lines.
    pub text: String,
}

/// Splits a file that passed validation into its sections, in order.
pub fn sections(text: &str) -> Vec<RawSection> {
    let mut sections: Vec<RawSection> = Vec::new();
    for line in text.lines().map(str::trim) {
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(title) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            sections.push(RawSection {
                title: title.trim().to_owned(),
                text: format!("{line}\n"),
            });
        } else if let Some(section) = sections.last_mut() {
            section.text.push_str(line);
            section.text.push('\n');
        }
    }
    sections
}

/// Divides the files' texts into parts, ordered by name.
pub fn split<'text, Texts>(texts: Texts) -> Vec<ConfigurationPart>
where
    Texts: IntoIterator<Item = &'text str>,
{
    let mut parts: BTreeMap<String, String> = BTreeMap::new();
    for text in texts {
        for section in sections(text) {
            let part = parts.entry(part_name(&section)).or_default();
            part.push_str(&section.text);
        }
    }
    let part = |(name, text)| ConfigurationPart { name, text };
    parts.into_iter().map(part).collect()
}

fn part_name(section: &RawSection) -> String {
    let mut faults = Vec::new();
    let parsed = ini::parse("part", &section.text, &mut faults).pop();
    let Some(mut parsed) = parsed else {
        return "rules".to_owned();
    };
    let kind = parsed.title().0.to_owned();
    match kind.as_str() {
        "service" => "services".to_owned(),
        "server" => {
            let mut value = |key: &str| -> String {
                let text = parsed.optional(key, "a name", &mut faults);
                text.unwrap_or_default()
            };
            format!("servers-{}-{}", value("service"), value("failure-domain"))
        }
        _ => "rules".to_owned(),
    }
}
