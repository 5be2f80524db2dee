//! Decides which generation of the configuration is in force in one daemon.
//!
//! A generation is adopted only if it is higher than the one in force, complete
//! and valid. If it is incomplete or invalid, this is reported, and the one in
//! force stays.

use crate::items::{SharedItem, SharedItems};
use camphorway_model::ini::IniFault;
use camphorway_model::{CheckedConfiguration, Generation, HeadObject, PartReference};
use std::sync::Arc;

/// The key of the head item.
pub const HEAD_KEY: &str = "config/head";

/// The result of an offer.
#[derive(Debug)]
pub enum TrackerEvent {
    /// There is no readable head, its generation is not newer, or it was refused before.
    Unchanged,
    /// These parts are missing.
    Incomplete(Vec<PartReference>),
    /// The generation is now in force.
    Adopted(Arc<CheckedConfiguration>),
    /// The generation is invalid; the previous one stays in force.
    Refused(Vec<IniFault>),
}

/// The configuration in force in one daemon, and the last refused generation.
#[derive(Debug, Default)]
pub struct ConfigTracker {
    generation: Generation,
    refused: Option<(Generation, Vec<IniFault>)>,
    head: HeadObject,
    configuration: Arc<CheckedConfiguration>,
}

impl ConfigTracker {
    /// The generation in force, or 0 if there is none yet.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The head in force.
    pub fn head(&self) -> &HeadObject {
        &self.head
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<CheckedConfiguration> {
        &self.configuration
    }

    /// The last refused generation, with its faults.
    pub fn refused(&self) -> Option<(Generation, &[IniFault])> {
        let (generation, faults) = self.refused.as_ref()?;
        Some((*generation, faults))
    }

    /// Offers a head. `part` returns the text of a part if it is available.
    pub fn offer<'text, Part>(&mut self, head: &HeadObject, part: Part) -> TrackerEvent
    where
        Part: Fn(&PartReference) -> Option<&'text str>,
    {
        if head.generation <= self.generation {
            return TrackerEvent::Unchanged;
        }
        if self
            .refused
            .as_ref()
            .is_some_and(|(refused, _)| *refused == head.generation)
        {
            return TrackerEvent::Unchanged;
        }
        let mut texts = Vec::new();
        let mut missing = Vec::new();
        for reference in &head.parts {
            match part(reference) {
                Some(text) if reference.matches(text) => {
                    texts.push((reference.name.as_str(), text));
                }
                Some(_) | None => missing.push(reference.clone()),
            }
        }
        if !missing.is_empty() {
            return TrackerEvent::Incomplete(missing);
        }
        match CheckedConfiguration::parse(&texts) {
            Ok(configuration) => {
                self.generation = head.generation;
                self.head = head.clone();
                self.refused = None;
                self.configuration = Arc::new(configuration);
                TrackerEvent::Adopted(Arc::clone(&self.configuration))
            }
            Err(faults) => {
                self.refused = Some((head.generation, faults.clone()));
                TrackerEvent::Refused(faults)
            }
        }
    }

    /// Offers the head in `items`, with the parts in `items`.
    pub fn offer_items(&mut self, items: &SharedItems) -> TrackerEvent {
        let Some(text) = items.text(HEAD_KEY) else {
            return TrackerEvent::Unchanged;
        };
        let Ok(head) = serde_json::from_str::<HeadObject>(text) else {
            return TrackerEvent::Unchanged;
        };
        self.offer(&head, |part| items.text(&part.object_key()))
    }
}

/// Creates the shared item of a head.
pub fn head_item(head: &HeadObject) -> SharedItem {
    let text = serde_json::to_string(head).unwrap_or_default();
    SharedItem {
        key: HEAD_KEY.to_owned(),
        version: head.generation.0,
        text: Arc::from(text.as_str()),
    }
}
