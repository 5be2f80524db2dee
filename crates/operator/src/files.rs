//! The operator's files: validation, and comparison with the stored configuration.

use crate::error::OperatorError;
use camphorway_model::split::{ConfigurationPart, sections, split};
use camphorway_model::{CheckedConfiguration, PartReference};
use derive_more::Display;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Files that passed validation.
#[derive(Clone, Debug)]
pub struct CheckedFiles {
    /// The parts that are stored.
    pub parts: Vec<ConfigurationPart>,
    /// Number of services, servers and rules.
    pub counts: [usize; 3],
}

/// A section that differs between two configurations.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SectionChange {
    /// Only in the new configuration.
    #[display("+ [{_0}]")]
    Added(String),
    /// Only in the old configuration.
    #[display("- [{_0}]")]
    Removed(String),
    /// In both configurations, with different contents.
    #[display("~ [{_0}]")]
    Changed(String),
}

impl CheckedFiles {
    /// Reads and validates the files.
    ///
    /// # Errors
    /// Returns the file that can't be read, or all faults.
    pub fn read(paths: &[PathBuf]) -> Result<Self, OperatorError> {
        let mut texts = Vec::new();
        for path in paths {
            let text = std::fs::read_to_string(path).map_err(|cause| OperatorError::Read {
                path: path.clone(),
                cause,
            })?;
            texts.push((path.display().to_string(), text));
        }
        let sources: Vec<(&str, &str)> = texts
            .iter()
            .map(|(file, text)| (file.as_str(), text.as_str()))
            .collect();
        let configuration =
            CheckedConfiguration::parse(&sources).map_err(OperatorError::Invalid)?;
        let inventory = &configuration.inventory;
        Ok(Self {
            parts: split(texts.iter().map(|(_, text)| text.as_str())),
            counts: [
                inventory.services.len(),
                inventory.servers.len(),
                configuration.rules.requests.len(),
            ],
        })
    }

    /// Returns references to all parts.
    pub fn references(&self) -> Vec<PartReference> {
        let parts = self.parts.iter();
        parts
            .map(|part| PartReference::for_text(&part.name, &part.text))
            .collect()
    }

    /// Returns the sections in which these files differ from the texts `old`.
    pub fn changes_from(&self, old: &[String]) -> Vec<SectionChange> {
        let new = section_texts(self.parts.iter().map(|part| part.text.as_str()));
        let old = section_texts(old.iter().map(String::as_str));
        let mut changes = Vec::new();
        for (title, text) in &new {
            match old.get(title) {
                None => changes.push(SectionChange::Added(title.clone())),
                Some(before) if before != text => {
                    changes.push(SectionChange::Changed(title.clone()));
                }
                Some(_) => {}
            }
        }
        let removed = old.keys().filter(|title| !new.contains_key(*title));
        changes.extend(removed.map(|title| SectionChange::Removed(title.clone())));
        changes
    }
}

fn section_texts<'text, Texts>(texts: Texts) -> BTreeMap<String, String>
where
    Texts: IntoIterator<Item = &'text str>,
{
    let all = texts.into_iter().flat_map(sections);
    all.map(|section| (section.title, section.text)).collect()
}
