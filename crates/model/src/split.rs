//! Divides what an operator wrote into the parts that are stored: one for the
//! rules, one for the services, and one for each service's servers in each
//! failure domain. So a change replaces a small part only.

use crate::ini;
use std::collections::BTreeMap;

/// A part's name and text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigurationPart {
    /// Its name.
    pub name: String,
    /// Its text.
    pub text: String,
}

/// One section as written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WrittenSection {
    /// The section's title, such as `server portal-1-a`.
    pub title: String,
    /// Its lines without comments and blank lines, joined.
    pub text: String,
}

/// The sections of a file that passed its checks, in order.
pub fn sections(text: &str) -> Vec<WrittenSection> {
    let mut sections: Vec<WrittenSection> = Vec::new();
    for line in text.lines().map(str::trim) {
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(title) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            sections.push(WrittenSection {
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

/// Divides the files' texts into parts, in order of name.
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

fn part_name(section: &WrittenSection) -> String {
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
